package simulation

import (
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// receive handles a response on the attempt's connection, which may belong to an earlier request.
func (a *attempt) receive(e policy.AttemptEnded) {
	now, c, responder := a.relay.fleet.now, a.conn, a.relay.responder(a.endpoint.id)
	latency := now - a.writtenAt
	switch {
	case e.Outcome == policy.ConnectionReset:
		a.interrupt(e)
		return
	case a.unconfirmed != nil:
		responder.ExtraResponse(epoch.Add(now), true)
		a.unconfirmedFollowed(e.Response())
		return
	}
	response := e.Response()
	if a.relay.fleet.Bug.ForgetsEnds {
		response = policy.Response{Outcome: e.Outcome}
	}
	owner := policy.OwnResponse
	if c.used && !a.relay.fleet.Bug.TakesEveryResponse {
		owner = responder.Owner(policy.Exchange{
			Response: response, Latency: latency, Retryable: a.isRetryable(), Distrusted: responder.Distrusted(epoch.Add(now)),
		})
	}
	if owner == policy.OwnResponse || owner == policy.DoubtfulResponse {
		a.unconfirmed, a.respondedAt = &e, now
		a.decide(owner == policy.OwnResponse, true)
		return
	}
	a.awaitConfirmation(e, owner == policy.LikelyOwnResponse)
}

// awaitConfirmation keeps a response until another one follows, or until none has followed for the confirmation time.
func (a *attempt) awaitConfirmation(e policy.AttemptEnded, likelyOwn bool) {
	f := a.relay.fleet
	a.unconfirmed, a.likelyOwn, a.respondedAt = &e, likelyOwn, f.now
	a.relay.enqueue(policy.ResponseUnconfirmed(a.identified(e)))
	confirmation, timeLeft := a.relay.responder(a.endpoint.id).ConfirmationTime(), a.request.deadline-deadlineMargin-f.now
	f.after(max(0, min(confirmation, timeLeft)), func() {
		if a.state != attemptEnded {
			certain := confirmation <= timeLeft
			a.decide(certain || likelyOwn, certain)
		}
	})
}

// unconfirmedFollowed decides on the unconfirmed response after another one has followed.
func (a *attempt) unconfirmedFollowed(response policy.Response) {
	combined, own := a.unconfirmed.Response().FollowedBy(response)
	a.unconfirmed.SetResponse(combined)
	a.decide(own, false)
}

// interrupt ends the attempt, unless it has a response that is to be confirmed: a timeout or a cancellation does not end that. If the
// connection is reset, the request may have executed; a likely delivery counts unless another attempt delivers the request.
func (a *attempt) interrupt(e policy.AttemptEnded) {
	switch {
	case a.unconfirmed == nil:
		a.end(e, false)
	case e.Outcome == policy.ConnectionReset:
		a.request.likelyDelivered = a.request.likelyDelivered || a.hasLikelyDelivery()
		a.decide(false, false)
	}
}

// hasLikelyDelivery reports whether the attempt most likely delivered its request.
func (a *attempt) hasLikelyDelivery() bool {
	return a.unconfirmed != nil && a.likelyOwn && a.unconfirmed.Outcome == policy.Succeeded
}

// decide ends the attempt with its response if that is its own, else as one that may have executed.
func (a *attempt) decide(own, keepConn bool) {
	e := *a.unconfirmed
	if !own {
		e.SetResponse(e.Response().InDoubt())
		e.AttemptsExhausted = e.AttemptsExhausted && !a.relay.fleet.Bug.ForgetsEnds
		a.end(e, false)
		return
	}
	a.relay.responder(a.endpoint.id).Accepted(e.Outcome, a.respondedAt-a.writtenAt, a.conn.used)
	a.conn.used, a.conn.respondedAt = true, a.relay.fleet.now
	a.end(e, keepConn)
}

// isRetryable reports whether the attempt's request may be executed more than once.
func (a *attempt) isRetryable() bool {
	return a.relay.fleet.Scenario.Classes[a.request.message.Class].Idempotency != scenario.NotIdempotent
}
