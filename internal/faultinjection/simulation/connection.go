package simulation

import (
	"cmp"
	"slices"
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

const (
	// deadlineMargin is the time before a request's deadline at which a relay no longer awaits the confirmation of a response.
	deadlineMargin = 100 * time.Millisecond
	// maxCopyDelay is the longest time after which an endpoint writes a response once more. A relay lets a connection rest for longer.
	maxCopyDelay = 250 * time.Millisecond
	// leastDialTime is the least time that a dial takes: the round trips of the handshake on the fastest network.
	leastDialTime = 2 * handshakeRoundTrips * 15 * time.Millisecond
)

// connection is a connection from a process of a relay to an endpoint.
type connection struct {
	relay       *relay
	incarnation int // of the relay's process
	endpoint    *endpoint
	attempt     *attempt // in flight on the connection; nil: none
	used        bool     // the connection has carried a response
	closed      bool
	respondedAt time.Duration // when the last response arrived
	idleSince   time.Duration
	arrivesAt   time.Duration // when the last response that the endpoint has written arrives
}

// epoch is the wall-clock time at which a day begins.
var epoch = time.Unix(0, 0)

// responder returns what a relay knows about an endpoint as the writer of responses.
func (r *relay) responder(id string) *policy.Responder {
	responder := r.responders[id]
	if responder == nil {
		responder = &policy.Responder{}
		r.responders[id] = responder
	}
	return responder
}

// takeIdle removes and returns the newest idle connection to an endpoint that may carry another request, or the one that may do so soonest
// if it has to rest for less time than a dial takes, and how long it has to rest. It returns nil if there is neither.
func (r *relay) takeIdle(to *endpoint) (c *connection, rest time.Duration) {
	best, shortest := -1, leastDialTime
	for i, c := range slices.Backward(r.idleConns[to.id]) {
		if rest, reusable := r.restTime(c); reusable && rest < shortest {
			best, shortest = i, rest
		}
	}
	if best < 0 {
		return nil, 0
	}
	c = r.idleConns[to.id][best]
	r.idleConns[to.id] = slices.Delete(r.idleConns[to.id], best, best+1)
	return c, shortest
}

func (r *relay) restTime(c *connection) (rest time.Duration, reusable bool) {
	if !c.used || r.fleet.Bug.TakesEveryResponse {
		return 0, true
	}
	now := r.fleet.now
	return r.responder(c.endpoint.id).RestTime(epoch.Add(now), now-c.respondedAt)
}

// awaitRest writes the attempt's request on a connection once that has rested, or dials if the connection is closed by then.
func (a *attempt) awaitRest(c *connection, rest time.Duration) {
	a.resting = c
	a.relay.fleet.after(rest, func() {
		switch {
		case a.state == attemptEnded || !a.relay.runs(a.incarnation):
		case c.closed:
			a.resting = nil
			a.dial()
		default:
			a.resting = nil
			a.use(c)
		}
	})
}

// use writes the attempt's request on an idle connection.
func (a *attempt) use(c *connection) {
	a.conn, c.attempt, a.state = c, a, attemptConnected
	a.write()
}

// giveBack makes the connection whose rest the attempt awaits idle again.
func (a *attempt) giveBack() {
	r, c := a.relay, a.resting
	a.resting = nil
	switch {
	case c == nil || c.closed:
	case !r.runs(c.incarnation):
		c.closed = true
		c.endpoint.destination.Disconnect(c.endpoint.index)
	default:
		idle := append(r.idleConns[c.endpoint.id], c)
		slices.SortStableFunc(idle, func(x, y *connection) int { return cmp.Compare(x.idleSince, y.idleSince) })
		r.idleConns[c.endpoint.id] = idle
	}
}

// arrival returns when a response that the endpoint writes now arrives. Responses on a connection arrive in order.
func (c *connection) arrival() time.Duration {
	f := c.relay.fleet
	c.arrivesAt = max(c.arrivesAt, f.now+f.oneWay())
	return c.arrivesAt
}

// receive handles the arrival of a response at the relay.
func (c *connection) receive(e policy.AttemptEnded) {
	switch {
	case c.closed || !c.relay.runs(c.incarnation):
	case c.attempt == nil:
		c.relay.closeUnasked(c)
	default:
		c.attempt.receive(e)
	}
}

// closeUnasked closes an idle connection on which a response has arrived that nobody asked for.
func (r *relay) closeUnasked(c *connection) {
	now := r.fleet.now
	rest, _ := r.responder(c.endpoint.id).RestTime(epoch.Add(now), now-c.respondedAt)
	r.responder(c.endpoint.id).ExtraResponse(epoch.Add(now), rest == 0)
	r.closeIdleConn(c)
}

// closeIdleConn closes an idle connection.
func (r *relay) closeIdleConn(c *connection) {
	id := c.endpoint.id
	r.idleConns[id] = slices.DeleteFunc(r.idleConns[id], func(other *connection) bool { return other == c })
	c.closed = true
	c.endpoint.destination.Disconnect(c.endpoint.index)
}

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

// unconfirmedFollowed decides on the unconfirmed response after another one has followed. One of the two is the request's own; if they
// mean the same, it does not matter which.
func (a *attempt) unconfirmedFollowed(response policy.Response) {
	own := response.Means(a.unconfirmed.Response())
	if own {
		a.unconfirmed.RetryAfter = max(a.unconfirmed.RetryAfter, response.RetryAfter)
	} else {
		a.unconfirmed.SetResponse(a.unconfirmed.Response().And(response))
	}
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

// copyResponse has an endpoint write a share of its responses once more after a while, as long as such a fault lasts.
func (f *fleet) copyResponse(a *attempt, e policy.AttemptEnded) {
	if f.copiedShare == 0 {
		return
	}
	random := f.random.Stream("copied response", a.request.message.Number, a.request.submission, a.index)
	if random.Float64() >= f.copiedShare {
		return
	}
	c := a.conn
	f.after(time.Duration(random.Int64N(int64(maxCopyDelay))), func() {
		if c.closed || !c.relay.runs(c.incarnation) || f.isPartitioned(a.relay, a.endpoint) {
			return
		}
		f.result.CopiedResponses++
		f.at(c.arrival(), func() { c.receive(e) })
	})
}

// isRetryable reports whether the attempt's request may be executed more than once.
func (a *attempt) isRetryable() bool {
	return a.relay.fleet.Scenario.Classes[a.request.message.Class].Idempotency != scenario.NotIdempotent
}
