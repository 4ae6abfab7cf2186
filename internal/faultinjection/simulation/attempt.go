package simulation

import (
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// attemptState is the progress of an attempt.
type attemptState int

const (
	attemptConnecting attemptState = iota
	attemptConnected               // the attempt has a connection, and its request is not written yet
	attemptSent                    // the attempt's request is written
	attemptEnded
)

// resetState states whether an attempt's connection was reset, and whether the relay has noticed.
type resetState int

const (
	notReset       resetState = iota
	resetUnnoticed            // the relay has not noticed it yet
	resetNoticed              // the relay has noticed it, or is about to: its notice is scheduled
)

// attempt is an attempt by a relay to deliver a request to an endpoint.
type attempt struct {
	relay        *relay
	incarnation  int
	request      *openRequest
	index        int // among the attempts of its request, from 0
	endpoint     *endpoint
	model        *destination.Attempt
	conn         *connection // nil until the attempt has one, or dials one
	resting      *connection // the idle connection whose rest the attempt awaits; nil: none
	sentAt       time.Duration
	writtenAt    time.Duration
	state        attemptState
	reset        resetState
	responseLost bool
	unconfirmed  *policy.AttemptEnded // a response that may belong to an earlier request; nil: none
	likelyOwn    bool                 // of unconfirmed: it counts unless another response follows
	respondedAt  time.Duration        // when the response arrived; 0: not yet
	number       int                  // its number in the event log, from its arrival at the endpoint until its end is recorded; 0 otherwise
}

// maxAttemptsPerSubmission is more than the attempts of any submission. The service time of an attempt is drawn by its number among all
// attempts of its message, in which each submission has a range of maxAttemptsPerSubmission numbers.
const maxAttemptsPerSubmission = 100

// send begins an attempt, on an idle connection if there is one that has rested before a new one could be dialed.
func (r *relay) send(action policy.Send) {
	f, request, to := r.fleet, r.requests[action.ID], r.fleet.endpoints[action.Endpoint]
	if request == nil || to == nil {
		f.result.recordFailure("%s sent after its end, or to the unknown host %s", action.ID, action.Endpoint)
		return
	}
	r.checkSend(request, action)
	if len(request.attempts) == 0 && request.submission == 0 {
		f.result.AttemptedMessages++
	}
	a := r.newAttempt(request, to)
	timeout := action.Timeout
	if timeout == 0 {
		timeout = request.deadline - f.now
	}
	f.after(timeout, func() { a.interrupt(policy.AttemptEnded{Outcome: policy.TimedOut}) })
	r.closeIdle(to.id, f.now-scenario.Seconds(f.Scenario.Limits.IdleConnTimeout))
	switch c, rest := r.takeIdle(to); {
	case c == nil:
		a.dial()
	case rest == 0:
		a.use(c)
	default:
		a.awaitRest(c, rest)
	}
}

// dial opens a new connection for the attempt.
func (a *attempt) dial() {
	f := a.relay.fleet
	a.conn = &connection{relay: a.relay, incarnation: a.incarnation, endpoint: a.endpoint, attempt: a}
	f.result.Connections++
	a.model.NewConnection = true
	f.after(f.oneWay(), a.connect)
}

// checkSend records a failure for an attempt that a relay must not make, whatever its decision module decides: an attempt at an endpoint
// of another destination, at an endpoint that has drained for longer than the drain grace, or while another attempt of the request is in
// flight.
func (r *relay) checkSend(request *openRequest, action policy.Send) {
	f := r.fleet
	listed, known := r.listed[action.Endpoint]
	drainingAt, isDraining := r.drainingAt[action.Endpoint]
	switch {
	case !known || listed.Destination != request.message.Destination:
		f.result.recordFailure("%s sent to %s, which is not of its destination", action.ID, action.Endpoint)
	case isDraining && f.now > drainingAt+scenario.Seconds(f.Scenario.Rules.DrainGrace):
		f.result.recordFailure("%s sent to %s %v after it drained", action.ID, action.Endpoint, f.now-drainingAt)
	case request.inFlight != nil:
		f.result.recordFailure("%s sent while an attempt is out", action.ID)
	}
}

func (r *relay) newAttempt(request *openRequest, to *endpoint) *attempt {
	f, m := r.fleet, request.message
	a := &attempt{relay: r, incarnation: r.incarnation, request: request, index: len(request.attempts), endpoint: to, sentAt: f.now}
	a.model = &destination.Attempt{
		ID: request.id, Relay: r.number, Key: m.Key, KeyTTL: scenario.Seconds(f.Scenario.Classes[m.Class].KeyTTL),
		ServiceTime: f.Scenario.ServiceTime(f.random, m, request.submission*maxAttemptsPerSubmission+a.index),
		Draw:        f.random.Stream("chance", m.Number, request.submission, a.index).Float64(),
	}
	request.attempts = append(request.attempts, policy.PriorAttempt{Endpoint: to.id, SentAt: f.now})
	request.ended = append(request.ended, false)
	request.inFlight = a
	return a
}

// closeIdle closes the connections to an endpoint that became idle before a time.
func (r *relay) closeIdle(id string, before time.Duration) {
	e := r.fleet.endpoints[id]
	for len(r.idleConns[id]) > 0 && r.idleConns[id][0].idleSince < before {
		r.idleConns[id][0].closed = true
		r.idleConns[id] = r.idleConns[id][1:]
		e.destination.Disconnect(e.index)
	}
}

// connect handles the arrival of a new connection at the endpoint.
func (a *attempt) connect() {
	f, d := a.relay.fleet, a.endpoint.destination
	mode := d.Mode(a.endpoint.index)
	switch {
	case a.state == attemptEnded:
	case f.isPartitioned(a.relay, a.endpoint) || mode >= destination.ModeUnresponsive:
		timeLeft := scenario.Seconds(f.Scenario.Limits.ConnectTimeout) - (f.now - a.sentAt)
		f.after(timeLeft, func() { a.end(policy.AttemptEnded{Outcome: policy.ConnectError}, false) })
	case mode >= destination.ModeRefusing:
		f.currentSecond(d).Attempts++
		f.after(f.oneWay(), func() { a.end(policy.AttemptEnded{Outcome: policy.ConnectError}, false) })
	case d.Connect(a.endpoint.index):
		a.rejectConnection()
	default:
		a.state = attemptConnected
		f.after((2*handshakeRoundTrips-1)*f.oneWay(), a.write)
	}
}

// rejectConnection rejects an attempt whose connection exceeds the endpoint's limit of connections. The attempt counts towards
// the load of a destination in slow start all the same.
func (a *attempt) rejectConnection() {
	f, d := a.relay.fleet, a.endpoint.destination
	d.Disconnect(a.endpoint.index)
	f.result.ConnectionRejected++
	f.currentSecond(d).Attempts++
	a.recordArrival()
	f.carryOut(d, d.Arrive(f.now, a.endpoint.index, &destination.Attempt{ID: a.model.ID, OverConnectionLimit: true}))
	a.recordEnd(checker.Event{Outcome: checker.Rejected})
	f.after(f.oneWay(), func() { a.end(policy.AttemptEnded{Outcome: policy.Rejected}, false) })
}

// write sends the attempt on its connection.
func (a *attempt) write() {
	if a.state == attemptConnected {
		a.state, a.writtenAt = attemptSent, a.relay.fleet.now
	}
	a.relay.fleet.after(a.relay.fleet.oneWay(), a.arrive)
}

// arrive handles the complete arrival of the request at the endpoint.
func (a *attempt) arrive() {
	f, d := a.relay.fleet, a.endpoint.destination
	if a.state == attemptEnded || f.isPartitioned(a.relay, a.endpoint) {
		return
	}
	harm := f.drawHarm(a)
	if harm == resetBefore {
		f.after(f.oneWay(), func() { a.end(policy.AttemptEnded{Outcome: policy.ConnectError}, false) })
		return
	}
	f.currentSecond(d).Attempts++
	switch mode := d.Mode(a.endpoint.index); {
	case mode > destination.ModeRefusing:
		return
	case mode == destination.ModeRefusing:
		f.after(f.oneWay(), func() { a.end(policy.AttemptEnded{Outcome: policy.ConnectionReset}, false) })
		return
	}
	a.recordArrival()
	if a.endEarly() {
		return
	}
	d.attempts[a.model] = a
	f.carryOut(d, d.Arrive(f.now, a.endpoint.index, a.model))
	switch harm {
	case resetAfter:
		a.resetAtEndpoint()
	case responseLost:
		a.responseLost = true
	default:
	}
}

// resetAtEndpoint resets the attempt's connection. The endpoint completes an execution that it has begun.
func (a *attempt) resetAtEndpoint() {
	f, d := a.relay.fleet, a.endpoint.destination
	if _, waits := d.attempts[a.model]; !waits {
		return // the response to the attempt is already on its way
	}
	delete(d.attempts, a.model)
	a.recordEnd(checker.Event{Outcome: checker.Interrupted})
	f.after(f.oneWay(), func() { a.interrupt(policy.AttemptEnded{Outcome: policy.ConnectionReset}) })
}

// identified returns an outcome of the attempt with the attempt's identity and latency.
func (a *attempt) identified(e policy.AttemptEnded) policy.AttemptEnded {
	endedAt := a.relay.fleet.now
	if a.respondedAt > 0 {
		endedAt = a.respondedAt
	}
	e.ID, e.Endpoint, e.Attempt, e.Latency = a.request.id, a.endpoint.id, a.index, endedAt-a.sentAt
	return e
}

// end ends the attempt and reports its outcome to the decision module. With keepConn, an open connection becomes idle; without it,
// the connection is closed.
func (a *attempt) end(e policy.AttemptEnded, keepConn bool) {
	r, f := a.relay, a.relay.fleet
	if a.state == attemptEnded || !r.runs(a.incarnation) {
		return
	}
	if keepConn && a.hasConn() {
		a.state = attemptEnded
		a.conn.attempt, a.conn.idleSince = nil, f.now
		r.idleConns[a.endpoint.id] = append(r.idleConns[a.endpoint.id], a.conn)
	} else {
		a.abandon()
	}
	request := a.request
	request.inFlight = nil
	e = a.identified(e)
	request.ended[a.index] = true
	request.attempts[a.index].NotExecuted = !e.OutcomeUnknown &&
		(e.Outcome == policy.Rejected || e.Outcome == policy.ConnectError || e.Outcome == policy.NotSent)
	switch {
	case r.requests[request.id] != request:
	case e.Outcome == policy.Succeeded:
		r.delivered(request)
	case e.Final:
		r.withdrawn(request)
	}
	r.enqueue(e)
}

func (a *attempt) hasConn() bool { return a.state == attemptConnected || a.state == attemptSent }

// abandon ends the attempt and closes its connection.
func (a *attempt) abandon() {
	f, d := a.relay.fleet, a.endpoint.destination
	hadConn := a.hasConn()
	a.state = attemptEnded
	a.giveBack()
	if a.conn != nil {
		a.conn.closed = true
	}
	a.recordEnd(checker.Event{Outcome: checker.Abandoned})
	if _, waits := d.attempts[a.model]; waits {
		delete(d.attempts, a.model)
		f.carryOut(d, d.Cancel(f.now, a.model))
	}
	switch {
	case !hadConn:
	case f.isPartitioned(a.relay, a.endpoint):
		f.unnoticed = append(f.unnoticed, a.endpoint)
	default:
		d.Disconnect(a.endpoint.index)
	}
}
