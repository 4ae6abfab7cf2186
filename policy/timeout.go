package policy

import (
	"math"
	"time"
)

const (
	// timeoutShare of the time left is waited for an answer where the message may be sent again.
	timeoutShare = 1.0 / 3
	// timeoutLatencies mean latencies are waited at least: slow destinations are not timed out for
	// nothing.
	timeoutLatencies = 8
)

// attemptTimeout returns how long the answer to an attempt is waited for; 0 is until the deadline.
// A message that is not idempotent waits that long, since after a timeout it could only fail, and
// so does the last attempt.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	timeLeft := m.deadline - d.now
	if m.terms.Idempotency == NotIdempotent || len(m.attempts) >= d.settings.MaxAttempts {
		return 0
	}
	wait := math.Max(timeoutShare*timeLeft.Seconds(), timeoutLatencies*c.endpoint.queue.latency.mean)
	return min(timeLeft, time.Duration(wait*float64(time.Second)))
}
