package policy

import (
	"math"
)

const (
	// minConnReuses of a connection must be expected within its idle time, or it is closed after a call.
	// At half of this failed connections cost more than the handshakes saved. Where relays are no more than
	// idleRoom, which even small receivers take, all may keep theirs; where they are more than connRoom,
	// about all that a small one takes, a connection that idles at one relay is a call refused at another.
	minConnReuses, alwaysKeepRelays, maxKeepRelays = 4, 6, 9
	// maxTokenDebt of its pace a queue may send on a connection that has just carried a call, where
	// connections are not kept: a new one keeps one of the host's few places for some round trips before
	// its call has begun, and a call on one that stands for one. The pace falls behind by as many. A row is
	// aheadShare of what the destination takes in a span at most, so that a few relays do not fill it.
	maxTokenDebt, tokenDebtShare = 3, 1.0 / 16
	// connLimitIncrease is added to a learned connection cap by each success.
	connLimitIncrease = 0.05
)

// closesIdleConn tells whether a connection to an endpoint would close unused, or the endpoint takes few: many
// relays that keep idle ones leave no room for each other. It costs a handshake where it is wrong.
func (d *Dispatcher) closesIdleConn(ep *endpoint) bool {
	// Counted, not as a rate: at the start one arrival looks like many.
	expected := ep.queue.arrivals.count(d.now) * float64(d.settings.IdleConnTimeout) / float64(counterTimeConstant)
	return ep.connLimit > 0 || !d.keepsIdleConns() ||
		d.settings.Instances > alwaysKeepRelays && expected < minConnReuses*float64(max(1, len(ep.queue.endpoints)))
}

// keepsIdleConns tells whether relays are few enough for any of them to keep a connection that idles.
func (d *Dispatcher) keepsIdleConns() bool { return d.settings.Instances <= maxKeepRelays }

// closeIdleConns closes connections that have ended their calls and carry no further one, where they are not
// worth keeping, and lets go of those that stood for one.
func (d *Dispatcher) closeIdleConns() {
	for _, ep := range d.idleCandidates {
		ep.queue.reusableConn = nil
		if ep.lastUsed != d.now && (len(ep.inFlight) == 0 || !d.keepsIdleConns()) && d.closesIdleConn(ep) {
			d.emit(CloseIdleConns{Endpoint: ep.ID})
		}
	}
	d.idleCandidates = nil
}

// tokenDebt is how many calls a queue may send before its pace allows them: none where the limit was lowered
// or has refused a call not long ago, since there the pace is what keeps the sum of all relays to it.
func (d *Dispatcher) tokenDebt(q *queue) float64 {
	if q.totalRate() < q.listedRate || q.lastLimitRejection > 0 && d.now-q.lastLimitRejection < unavailableAfter {
		return 0
	}
	return math.Min(maxTokenDebt, tokenDebtShare*q.totalRate()*countingSpan.Seconds())
}
