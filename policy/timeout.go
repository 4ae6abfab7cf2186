package policy

import (
	"math"
	"time"
)

const (
	// timeoutShare of the time left is waited for an answer where the message may be sent again, and
	// timeoutMeans mean latencies at least, so that slow receivers are not timed out for nothing.
	timeoutShare, timeoutLatencies = 1.0 / 3, 8
)

// attemptTimeout is how long an answer is waited for; an unsafe message waits to its end, since after a
// time-out it could only be failed.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	left := m.deadline - d.now
	if m.class.Idempotency == NotIdempotent || len(m.attempts) >= d.settings.MaxAttempts {
		return 0
	}
	wait := math.Max(timeoutShare*left.Seconds(), timeoutLatencies*c.endpoint.queue.meanLatency)
	return min(left, time.Duration(wait*float64(time.Second)))
}
