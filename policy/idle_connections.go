package policy

import "math"

const (
	// minConnReuses of a connection must be expected within its idle time, or it is closed after a
	// call. At half of this, failed connections cost more than the handshakes saved.
	minConnReuses = 4
	// smallFleet is the largest number of relays that may all keep their idle connections: even
	// small destinations take as many.
	smallFleet = 6
	// mediumFleet is about all the connections that a small destination takes: in a larger fleet a
	// connection that idles at one relay is a call rejected at another, and no relay keeps any.
	mediumFleet = 9
	// maxTokenDebt calls may be sent ahead of the send rate on a connection that has just carried a
	// call, where idle connections are not kept: a new connection takes one of the destination's
	// few places for some round trips before its call has begun, and a call on an open one does
	// not. The send rate then falls behind by as many.
	maxTokenDebt = 3
	// tokenDebtShare of what a destination takes in a counting span is the most sent ahead, so that
	// a few relays do not fill it.
	tokenDebtShare = 1.0 / 16
	// connLimitIncrease is added to a learned connection limit by each success.
	connLimitIncrease = 0.05
)

// keepsIdleConns reports whether relays are few enough for any of them to keep idle connections.
func (d *Dispatcher) keepsIdleConns() bool { return d.settings.Instances <= mediumFleet }

// closesIdleConn reports whether a connection to an endpoint is closed after its call: it would
// idle until its timeout, or the endpoint takes few connections, and many relays that keep idle
// ones leave no room for each other. It costs a handshake where that is wrong.
func (d *Dispatcher) closesIdleConn(ep *endpoint) bool {
	// Counted, not as a rate: at the start one arrival looks like many.
	expected := ep.queue.arrivals.count(d.now) * float64(d.settings.IdleConnTimeout) / float64(counterTimeConstant)
	return ep.connLimit > 0 || !d.keepsIdleConns() ||
		d.settings.Instances > smallFleet && expected < minConnReuses*float64(max(1, len(ep.queue.endpoints)))
}

// closeIdleConns closes connections that have ended their calls in this batch and carry no further
// one, where they are not worth keeping open. None is reusable after the batch.
func (d *Dispatcher) closeIdleConns() {
	for _, ep := range d.idleCandidates {
		ep.queue.reusableConn = nil
		usedAgain := ep.lastUsed == d.now
		if !usedAgain && (len(ep.inFlight) == 0 || !d.keepsIdleConns()) && d.closesIdleConn(ep) {
			d.emit(CloseIdleConns{Endpoint: ep.ID})
		}
	}
	d.idleCandidates = nil
}

// tokenDebt returns how many calls a queue may send on a reusable connection before its send rate
// allows them: none where the rate limit was lowered or has rejected a call not long ago, since
// there the send rate is what keeps the sum of all relays within it.
func (d *Dispatcher) tokenDebt(q *queue) float64 {
	if q.totalRate() < q.listedRate || q.lastLimitRejection > 0 && d.now-q.lastLimitRejection < unavailableAfter {
		return 0
	}
	return math.Min(maxTokenDebt, tokenDebtShare*q.totalRate()*countingSpan.Seconds())
}
