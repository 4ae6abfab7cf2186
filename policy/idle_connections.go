package policy

import (
	"math"
)

const (
	// reuses of a connection must be expected within its idle time, or it is closed after a call.
	// At half of this failed connections cost more than the handshakes saved. Where relays are no more than
	// idleRoom, which even small receivers take, all may keep theirs; where they are more than connRoom,
	// about all that a small one takes, a connection that idles at one relay is a call refused at another.
	reuses, idleRoom, connRoom = 4, 6, 9
	// aheadCalls of its pace a queue may send on a connection that has just carried a call, where
	// connections are not kept: a new one keeps one of the host's few places for some round trips before
	// its call has begun, and a call on one that stands for one. The pace falls behind by as many. A row is
	// aheadShare of what the destination takes in a span at most, so that a few relays do not fill it.
	aheadCalls, aheadShare = 3, 1.0 / 16
	// connRaise is added to a learned connection cap by each success.
	connRaise = 0.05
)

// seldom tells whether a connection to an endpoint would close unused, or the endpoint takes few: many
// relays that keep idle ones leave no room for each other. It costs a handshake where it is wrong.
func (d *Dispatcher) seldom(ep *endpoint) bool {
	// Counted, not as a rate: at the start one arrival looks like many.
	expected := ep.q.arrivals.count(d.now) * float64(d.s.IdleConnTimeout) / float64(counterAge)
	return ep.connCap > 0 || !d.keeps() ||
		d.s.Instances > idleRoom && expected < reuses*float64(max(1, len(ep.q.eps)))
}

// keeps tells whether relays are few enough for any of them to keep a connection that idles.
func (d *Dispatcher) keeps() bool { return d.s.Instances <= connRoom }

// closeIdle closes connections that have ended their calls and carry no further one, where they are not
// worth keeping, and lets go of those that stood for one.
func (d *Dispatcher) closeIdle() {
	for _, ep := range d.done {
		ep.q.warm = nil
		if ep.lastUsed != d.now && (len(ep.out) == 0 || !d.keeps()) && d.seldom(ep) {
			d.act(CloseIdleConns{Endpoint: ep.ID})
		}
	}
	d.done = nil
}

// ahead is how many calls a queue may send before its pace allows them: none where the limit was lowered
// or has refused a call not long ago, since there the pace is what keeps the sum of all relays to it.
func (d *Dispatcher) ahead(q *queue) float64 {
	if q.rate() < q.weight || q.limitAt > 0 && d.now-q.limitAt < shutAfter {
		return 0
	}
	return math.Min(aheadCalls, aheadShare*q.rate()*burstSpan.Seconds())
}
