package policy

import (
	"math"
	"time"
)

const (
	// backoffCalls is the first backoff after a rejection, as the number of calls that the send
	// rate allows in that time.
	backoffCalls = 0.5
	// minBackoff is the least first backoff if there is no send rate.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest backoff before randomization, unless the first backoff is longer.
	// It is about the longest rate limit window of destinations.
	maxBackoff = time.Second
)

// recordRejection records a rejection by the destination: it lowers the send rate and starts a
// backoff. After a series of rejections, the destination counts as unavailable and its endpoints as
// unhealthy. A rejection of the connection occurs before the destination checks its rate limit. It
// therefore leaves the send rate unchanged, and does not count as a rejection by a rate limit.
func (d *Dispatcher) recordRejection(q *queue, ofConnection bool) {
	if q.rejections++; q.rejections == 1 {
		q.firstRejection = d.now
	}
	if q.sendRate > 0 && !ofConnection {
		d.lowerSendRate(q)
	}
	backoffUntil := d.now + time.Duration(d.rejectionBackoff(q)*float64(time.Second))
	if ofConnection {
		q.connHoldUntil = max(q.connHoldUntil, backoffUntil)
	} else {
		q.lastLimitRejection = d.now
		q.backoffUntil = max(q.backoffUntil, backoffUntil)
	}
	q.backoffStart = d.now
	if d.unhealthyEarly(q, q.rejections) ||
		q.rejections > unhealthyThreshold && d.now-q.firstRejection > unavailableAfter {
		d.markAllUnhealthy(q)
	}
}

// rejectionBackoff returns the backoff after a rejection, in seconds. It doubles with each
// consecutive rejection, since rejected calls may count against the rate limit. A random factor
// from 0.5 to 1.5 keeps relays that were rejected at the same time from sending again at the same
// time.
func (d *Dispatcher) rejectionBackoff(q *queue) float64 {
	first := math.Max(minBackoff.Seconds(), q.latency.mean)
	if q.sendRate > 0 {
		first = backoffCalls / math.Max(q.sendRate, minStartRate())
	}
	backoff := math.Min(first*math.Pow(2, float64(q.rejections-1)), math.Max(first, maxBackoff.Seconds()))
	return backoff * (0.5 + d.random.Float64())
}
