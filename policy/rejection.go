package policy

import (
	"math"
	"time"
)

const (
	// backoffCalls at the send rate is the first backoff after a rejection.
	backoffCalls = 0.5
	// minBackoff is the first backoff where no send rate is known.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest: about the longest span in which destinations count calls.
	maxBackoff = time.Second
)

// recordRejection learns from a rejection by the destination: it lowers the send rate and begins a
// backoff. A run of rejections is a destination that is unavailable. A rejection of the connection,
// before the rate limit was looked at, says nothing of the limit: it leaves the send rate and holds
// back new connections only.
func (d *Dispatcher) recordRejection(q *queue, ofConnection bool) {
	if q.rejections++; q.rejections == 1 {
		q.firstRejection = d.now
	}
	if q.sendRate > 0 && !ofConnection {
		d.lowerSendRate(q)
	}
	backoffUntil := d.now + time.Duration(d.rejectionBackoff(q)*float64(time.Second))
	if ofConnection {
		q.connHoldUntil = max(q.connHoldUntil, backoffUntil) // open connections may go on
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

// rejectionBackoff returns the seconds to wait after a rejection: twice as long for each in a row,
// since rejected calls may count against the limit, and at random within half to three halves of
// that, so that relays that were rejected together do not come back together.
func (d *Dispatcher) rejectionBackoff(q *queue) float64 {
	first := math.Max(minBackoff.Seconds(), q.latency.mean)
	if q.sendRate > 0 {
		first = backoffCalls / math.Max(q.sendRate, minStartRate())
	}
	backoff := math.Min(first*math.Pow(2, float64(q.rejections-1)), math.Max(first, maxBackoff.Seconds()))
	return backoff * (0.5 + d.random.Float64())
}
