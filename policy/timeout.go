package policy

import (
	"math"
	"time"
)

const (
	// answerShare of the time left is waited for an answer where the message may be sent again, and
	// timeoutMeans mean latencies at least, so that slow receivers are not timed out for nothing.
	answerShare, timeoutMeans = 1.0 / 3, 8
)

// timeout is how long an answer is waited for; an unsafe message waits to its end, since after a
// time-out it could only be failed.
func (d *Dispatcher) timeout(m *message, c *call) time.Duration {
	left := m.expires - d.now
	if m.class.Idempotency == NotIdempotent || len(m.attempts) >= d.s.MaxAttempts {
		return 0
	}
	wait := math.Max(answerShare*left.Seconds(), timeoutMeans*c.ep.q.mean)
	return min(left, time.Duration(wait*float64(time.Second)))
}
