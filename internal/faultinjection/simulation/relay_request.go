package simulation

import (
	"slices"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// recoverySlack is the time after the start of a process during which terminal outcomes may be late, because a deadline can pass while
// the relay is down.
const recoverySlack = 1500 * time.Millisecond

// openRequest is a message that was submitted to a relay, until its terminal outcome.
type openRequest struct {
	message    *scenario.Message
	submission int // number of earlier submissions of the message
	id         string
	deadline   time.Duration
	attempts   []policy.PriorAttempt
	ended      []bool   // for each attempt: whether its outcome is known
	inFlight   *attempt // nil: no attempt is in flight
	accepted   bool     // the relay has responded with statusAccepted, or would have if the client had not left
	clientLeft bool     // its client left before the response
	// likelyDelivered is set if an attempt most likely delivered the request. That counts unless another attempt delivers it.
	likelyDelivered bool
}

// receive handles a submission.
func (r *relay) receive(m *scenario.Message, submission int, timeLeft time.Duration) {
	f := r.fleet
	request := &openRequest{message: m, submission: submission, id: f.random.RequestID(m.Number, submission), deadline: f.now + timeLeft}
	r.requests[request.id] = request
	r.order = append(r.order, request)
	r.arrivals = append(r.arrivals, request)
	r.recordSubmission(request)
	if request.clientLeft = f.clientLeaves(m, submission); request.clientLeft {
		f.after(m.ResubmitDelay, func() { f.submit(m, submission+1) })
	} else {
		f.submitted[request.id] = m
	}
	r.enqueue(policy.Arrived{ID: request.id, Class: m.Class, Destination: m.Destination, OrderKey: m.OrderKey, TimeLeft: timeLeft})
}

// remove deletes a request.
func (r *relay) remove(request *openRequest) {
	delete(r.requests, request.id)
	r.order = slices.DeleteFunc(r.order, func(other *openRequest) bool { return other == request })
}

// evict deletes a request that has its terminal outcome, and reports a failure if that came too late.
func (r *relay) evict(request *openRequest) {
	f := r.fleet
	r.remove(request)
	if f.now > request.deadline+scenario.Seconds(f.Scenario.Rules.AnswerSlack) && f.now > r.readyAt+recoverySlack {
		f.result.recordFailure("%s ended %v after its time", request.id, f.now-request.deadline)
	}
}

// fail ends a request undelivered. After a rejection its client may submit the message again, after a backoff.
func (r *relay) fail(id string, retryAfter time.Duration, rejected bool) {
	f, request := r.fleet, r.requests[id]
	if request == nil {
		f.result.recordFailure("%s was ended twice", id)
		// The decision module's action is carried out all the same, so that the checker gets the second outcome.
		f.record(checker.Event{Kind: checker.Notified, ID: id, Relay: r.number, State: checker.Undeliverable})
		return
	}
	if request.likelyDelivered {
		r.delivered(request)
		return
	}
	r.recordFailed(request, rejected)
	r.evict(request)
	f.result.GivenUp++
	if request.clientLeft {
		return // the client has already submitted the message again
	}
	m := request.message
	if rejected && request.submission < len(m.Backoff) {
		delay := m.Backoff[request.submission]
		if m.HonoursRetryAfter {
			delay = max(delay, retryAfter)
		}
		f.after(delay, func() { f.submit(m, request.submission+1) })
	}
	f.completed[m.Number] = true
}

// delivered completes a request that was delivered.
func (r *relay) delivered(request *openRequest) {
	r.evict(request)
	if !request.clientLeft {
		r.fleet.countDelivery(request.message)
	}
}
