package policy

import (
	"time"
)

// retryAllowed tells whether effects allow another attempt, at ep if it is given.
func (d *Dispatcher) retryAllowed(m *message, ep *endpoint) bool {
	first := m.firstExecuted()
	switch {
	case first == nil || m.class.Idempotency == Idempotent:
		return true
	case m.class.Idempotency == NotIdempotent:
		return false
	case ep != nil && m.class.KeyPerZone && (first.call.endpoint.Zone != ep.Zone || ep.Zone <= unknownZone):
		return false
	}
	return d.now < d.keyExpiry(m)
}

// keyExpiry is when a destination may not remember any more that a keyed message has run there.
func (d *Dispatcher) keyExpiry(m *message) time.Duration {
	return m.firstExecuted().sent + m.class.KeyTTL - 2*d.settings.BatchInterval
}

// retryableCall tells whether every message of a call may be sent again after it.
func (d *Dispatcher) retryableCall(c *call) bool {
	for _, m := range c.messages {
		if m.class.Idempotency == NotIdempotent || !d.retryAllowed(m, nil) || len(m.attempts) >= d.settings.MaxAttempts {
			return false
		}
	}
	return true
}
