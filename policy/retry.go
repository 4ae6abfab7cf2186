package policy

import "time"

// attemptAllowed reports whether MaxAttempts, the deadline and the message order allow another
// attempt of a queued message now.
func (d *Dispatcher) attemptAllowed(m *message) bool {
	return !d.attemptsExhausted(m) && d.now < m.deadline && d.isNextInOrder(m)
}

// retryAllowed reports whether idempotency allows another attempt of a message at endpoint ep, or
// at any endpoint if ep is nil.
func (d *Dispatcher) retryAllowed(m *message, ep *endpoint) bool {
	first := m.firstExecuted()
	switch {
	case first == nil || m.terms.Idempotency == Idempotent:
		return true
	case m.terms.Idempotency == NotIdempotent:
		return false
	case ep != nil && m.terms.KeyPerZone && (first.call.endpoint.Zone != ep.Zone || ep.Zone <= unknownZone):
		return false
	}
	return d.now < d.keyExpiry(m)
}

// keyExpiry returns the time from which a message that may have executed is not sent again, because
// the destination may forget its idempotency key: KeyTTL after the start of the first attempt that may
// have executed, less a margin of two batch intervals and the message's KeyMargin.
func (d *Dispatcher) keyExpiry(m *message) time.Duration {
	return m.firstExecuted().sent + m.terms.KeyTTL - 2*d.settings.BatchInterval - m.KeyMargin
}

// retryableCall reports whether every message of a call may be sent again if the call is cancelled.
func (d *Dispatcher) retryableCall(c *call) bool {
	for _, m := range c.messages {
		if m.terms.Idempotency == NotIdempotent || d.attemptsExhausted(m) || !d.retryAllowed(m, nil) {
			return false
		}
	}
	return true
}

// afterAttempt determines how a message continues after an attempt has ended: it is completed,
// waits for another attempt in flight, is given up, or is queued for a retry.
func (d *Dispatcher) afterAttempt(m *message, e *AttemptEnded) {
	switch {
	case e.Final || e.Outcome == Succeeded:
		d.complete(m, messageCompleted)
	case m.state != messageActive:
		d.evict(m)
	case m.openAttempts > 0:
	case m.Background, d.attemptsExhausted(m),
		d.now >= m.deadline-d.settings.BatchInterval, !d.retryAllowed(m, nil):
		d.giveUp(m)
	default:
		d.enqueue(d.selectRoute(m), m)
	}
}
