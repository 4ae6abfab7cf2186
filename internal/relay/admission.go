package relay

import (
	"net/http"

	"frostlink/internal/admin"
	"frostlink/internal/deadletter"
	"frostlink/internal/frontend"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// addCandidate makes a request a candidate, so that the dispatcher decides on it in this batch. Redeliveries are background
// requests: the dispatcher decides on them after all submissions.
func (l *loop) addCandidate(r *request) {
	l.requests[r.ID] = r
	l.candidates = append(l.candidates, r)
	arrived := policy.Arrived{
		ID: r.ID, Class: l.classIndex(r.Class), Destination: r.Destination, OrderKey: r.OrderKey,
		TimeLeft: r.Deadline.Sub(l.timeline.Now()),
	}
	if r.Redelivery {
		arrived.Background, arrived.KeyMargin = true, deadletter.KeyMargin
		for _, a := range r.EarlierAttempts {
			arrived.EarlierAttempts = append(arrived.EarlierAttempts, l.priorAttempt(a))
		}
	}
	l.events = append(l.events, arrived)
}

// acceptCandidates accepts the candidates of this batch that the dispatcher has not rejected.
func (l *loop) acceptCandidates() {
	for _, r := range l.candidates {
		if !r.completed() {
			l.accept(r)
		}
	}
}

func (l *loop) accept(r *request) {
	if class := l.classIndex(r.Class); class >= 0 {
		l.journal.SetTerms(r.Entry, l.cfg.policy.Classes[class])
	}
	l.journal.Accept(r.Entry)
	r.transition(stateAccepted)
	l.traceRequest(trace.Accepted, r.Entry, r.retryInfo, trace.Event{})
	l.countAccepted(r)
	for _, s := range l.subsystems {
		s.accepted(r)
	}
	l.deadlines.Add(r.ID, r.Deadline)
}

// countAccepted counts an accepted request in the metrics. Redeliveries are not counted, since no client submitted them.
func (l *loop) countAccepted(r *request) {
	if !r.Redelivery {
		r.countedInFlight = true
		l.metrics.Accepted()
	}
}

// respondToCandidate answers the submissions of a candidate that are not answered yet. durable says whether the records of
// the batch are durable.
func (l *loop) respondToCandidate(r *request, durable bool) {
	switch {
	case durable && r.responses != nil:
		responses := r.responses
		r.responses = nil
		respondAll(responses, frontend.Response{Status: http.StatusAccepted})
	case !durable && (r.responses != nil || r.Redelivery && !r.completed()):
		l.rejectUnrecorded(r)
	}
}

// rejectUnrecorded rejects a candidate whose record was not written.
func (l *loop) rejectUnrecorded(r *request) {
	response := frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
	if l.journal.MayHoldUncommitted() {
		// A later process may find the record and deliver the request, but a 503 would promise that the request has no effect.
		response = frontend.Response{Status: http.StatusBadGateway}
	}
	respondAll(r.responses, response)
	l.traceRejected(r.Entry, r.retryInfo, rejectedUnrecorded, response.RetryAfter)
	l.countCompleted(r, admin.Shed)
	l.wakeDispatcher(policy.MessageCanceled{ID: r.ID})
}

// dropUnrecorded drops a candidate whose record was not written.
func (l *loop) dropUnrecorded(r *request) {
	switch {
	case r.responses != nil:
		l.withdraw(r)
	case !r.completed():
		for _, s := range l.subsystems {
			s.acceptanceNotWritten(r)
		}
	}
}

// respondAll sends a response to all submissions of a request.
func respondAll(to []chan frontend.Response, response frontend.Response) {
	for _, c := range to {
		c <- response
	}
}
