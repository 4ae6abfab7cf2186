package policy

import (
	"time"
)

// repeatable tells whether effects allow another attempt, at ep if it is given.
func (d *Dispatcher) repeatable(m *message, ep *endpoint) bool {
	first := m.firstRun()
	switch {
	case first == nil || m.class.Idempotency == Idempotent:
		return true
	case m.class.Idempotency == NotIdempotent:
		return false
	case ep != nil && m.class.KeyPerZone && (first.call.ep.Zone != ep.Zone || ep.Zone <= nowhere):
		return false
	}
	return d.now < d.forgotten(m)
}

// forgotten is when a destination may not remember any more that a keyed message has run there.
func (d *Dispatcher) forgotten(m *message) time.Duration {
	return m.firstRun().sent + m.class.KeyTTL - 2*d.s.BatchInterval
}

// expendable tells whether every message of a call may be sent again after it.
func (d *Dispatcher) expendable(c *call) bool {
	for _, m := range c.msgs {
		if m.class.Idempotency == NotIdempotent || !d.repeatable(m, nil) || len(m.attempts) >= d.s.MaxAttempts {
			return false
		}
	}
	return true
}
