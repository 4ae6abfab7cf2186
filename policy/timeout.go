package policy

import (
	"math"
	"time"
)

const (
	// timeoutShare is the timeout of an attempt that may be followed by another, as a share of the
	// message's time left.
	timeoutShare = 1.0 / 3
	// timeoutLatencies is the least timeout as a multiple of the mean latency, so that calls to
	// slow destinations do not time out needlessly.
	timeoutLatencies = 8
)

// attemptTimeout returns the timeout of an attempt; 0 means the message's deadline. The timeout is 0
// if the message is not idempotent, since it could only fail after an earlier timeout, and for the
// last allowed attempt of a message.
func (d *Dispatcher) attemptTimeout(m *message, c *call) time.Duration {
	timeLeft := m.deadline - d.now
	if m.terms.Idempotency == NotIdempotent || d.attemptsExhausted(m) {
		return 0
	}
	wait := math.Max(timeoutShare*timeLeft.Seconds(), timeoutLatencies*c.endpoint.queue.latency.mean)
	return min(timeLeft, time.Duration(wait*float64(time.Second)))
}
