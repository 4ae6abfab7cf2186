package simulation

import (
	"cmp"
	"slices"
	"time"

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
