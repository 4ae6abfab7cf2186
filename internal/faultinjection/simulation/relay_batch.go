package simulation

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// enqueue adds an event to the next batch for the decision module, which is handled at the next tick at the latest.
func (r *relay) enqueue(e policy.Event) {
	r.events = append(r.events, e)
	r.scheduleBatch(r.fleet.now)
}

// scheduleBatch schedules a batch for a time, rounded up to the next tick. Only the earliest scheduled batch is kept.
func (r *relay) scheduleBatch(at time.Duration) {
	interval := scenario.Milliseconds(r.fleet.Scenario.Relay.BatchIntervalMS)
	at = (at + interval - 1) / interval * interval
	if at >= r.batchAt {
		return
	}
	r.batchAt = at
	incarnation := r.incarnation
	r.fleet.at(at, func() {
		if r.runs(incarnation) && r.batchAt == at {
			r.batchAt = never
			r.handleBatch()
		}
	})
}

// setTimer schedules a batch for a time. The decision module relies on a batch at that time, so an earlier one does not replace it.
func (r *relay) setTimer(at time.Duration) {
	incarnation := r.incarnation
	r.fleet.at(at, func() {
		if r.runs(incarnation) {
			r.scheduleBatch(at)
		}
	})
}

// handleBatch has the decision module handle a batch, and carries its actions out: first those that end requests, then the
// responses to accepted submissions, then all others.
func (r *relay) handleBatch() {
	actions := r.decide()
	arrivals := r.arrivals
	r.arrivals = nil
	for _, action := range actions {
		switch a := action.(type) {
		case policy.Reject:
			r.fail(a.ID, a.RetryAfter, true)
		case policy.Fail:
			r.fail(a.ID, 0, false)
		}
	}
	for _, request := range arrivals {
		if r.requests[request.id] == request {
			r.respond(request, statusAccepted)
		}
	}
	for _, action := range actions {
		r.carryOut(action)
	}
	if r.fleet.Bug.UncoordinatedProbes {
		r.probeUncoordinated()
	}
}

// decide returns the actions of the decision module for the events of a batch.
func (r *relay) decide() []policy.Action {
	f := r.fleet
	events := r.events
	r.events = nil
	if f.Bug.Events != nil {
		events = f.Bug.Events(r.number, events)
	}
	actions := r.dispatcher.Handle(f.now, append(events, policy.TimerFired{}))
	if f.Bug.Actions != nil {
		actions = f.Bug.Actions(r.number, f.now, actions)
	}
	return actions
}

// carryOut carries out an action, except those that end a request.
func (r *relay) carryOut(action policy.Action) {
	f := r.fleet
	switch a := action.(type) {
	case policy.Send:
		r.send(a)
	case policy.CancelAttempt:
		if attempt := r.attemptInFlight(a.ID, a.Attempt); attempt != nil {
			attempt.interrupt(policy.AttemptEnded{Outcome: policy.Canceled})
		}
	case policy.CancelBeforeSend:
		if attempt := r.attemptInFlight(a.ID, a.Attempt); attempt != nil && attempt.state != attemptSent {
			attempt.end(policy.AttemptEnded{Outcome: policy.NotSent}, true)
		}
	case policy.CloseIdleConns:
		r.closeIdle(a.Endpoint, f.now+time.Nanosecond)
	case policy.SetTimer:
		r.setTimer(f.now + a.After)
	case policy.WatchEndpoints:
		r.schedulePoll()
	case policy.PersistHealth:
		r.health[a.Endpoint] = a
	}
}

// attemptInFlight returns the attempt of a request with the given index if that attempt is in flight, or nil.
func (r *relay) attemptInFlight(id string, index int) *attempt {
	request := r.requests[id]
	if request == nil || request.inFlight == nil || request.inFlight.index != index {
		return nil
	}
	return request.inFlight
}
