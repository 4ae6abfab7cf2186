package policy

import (
	"math"
	"time"
)

// complete moves an active message to the given state, and evicts the message if nothing else is
// pending for it.
func (d *Dispatcher) complete(m *message, state messageState) {
	if m.state == messageActive {
		m.state = state
		m.dequeue()
		d.unfinished = remove(d.unfinished, m)
	}
	d.evict(m)
}

// completeWithNotice completes a message that has just got its terminal outcome. With
// AwaitAcknowledgement, an ordered message blocks its order key until the outcome is acknowledged.
func (d *Dispatcher) completeWithNotice(m *message) {
	if d.settings.AwaitAcknowledgement && m.ordered() {
		d.complete(m, messageUnacknowledged)
	} else {
		d.complete(m, messageCompleted)
	}
}

// acknowledge records that a message's terminal outcome was acknowledged.
func (d *Dispatcher) acknowledge(id string) {
	if m := d.messages[id]; m != nil && m.state == messageUnacknowledged {
		m.state = messageCompleted
		d.evict(m)
	}
}

// evict removes a completed message and releases its order key, unless an attempt is in flight or
// the order key is in cooldown.
func (d *Dispatcher) evict(m *message) {
	if m.state != messageCompleted || m.openAttempts > 0 || d.trackKeyCooldown(m) {
		return
	}
	delete(d.messages, m.ID)
	d.releaseOrderKey(m)
}

// cancelMessage completes a message without a terminal outcome and cancels its attempts in flight.
func (d *Dispatcher) cancelMessage(id string) {
	m := d.messages[id]
	if m == nil || m.state != messageActive {
		return
	}
	d.complete(m, messageCompleted)
	for i := range m.attempts {
		if m.attempts[i].state == attemptInFlight && d.settings.CanCancel {
			d.emit(CancelAttempt{ID: m.ID, Attempt: i})
		}
	}
}

// deadlineExceeded gives up an active message whose deadline has passed.
func (d *Dispatcher) deadlineExceeded(id string) {
	if m := d.messages[id]; m != nil && m.state == messageActive {
		d.giveUp(m)
	}
}

// expireQueued gives up queued messages whose time left is too short for another attempt of mean
// latency, and queued messages that cannot be sent again, for example because new settings allow
// fewer attempts.
func (d *Dispatcher) expireQueued() {
	var expired []*message
	for _, m := range d.unfinished {
		if m.queue == nil {
			continue
		}
		if d.attemptsExhausted(m) || d.now >= d.giveUpTime(m) || !d.retryAllowed(m, nil) {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		d.giveUp(m)
	}
}

// giveUpTime returns the time at which a queued message is given up: its time left has then fallen
// to its expected latency, or to two batch intervals if these are longer.
func (d *Dispatcher) giveUpTime(m *message) time.Duration {
	latency := time.Duration(m.queue.latency.byClass[m.Class] * float64(time.Second))
	return m.deadline - max(2*d.settings.BatchInterval, latency)
}

// giveUp ends a message that was not delivered. The message is rejected if the client may safely
// submit it again, and fails otherwise.
func (d *Dispatcher) giveUp(m *message) {
	if m.safeToResubmit() {
		d.reject(m, 0)
		return
	}
	d.emit(Fail{ID: m.ID})
	d.completeWithNotice(m)
}

// safeToResubmit reports whether a client may submit a message again: a second execution is either
// impossible or harmless.
func (m *message) safeToResubmit() bool {
	return m.firstExecuted() == nil || m.terms.Idempotency == Idempotent ||
		m.terms.Idempotency == IdempotentByKey && !m.terms.KeyPerZone
}

// reject ends a message that was not delivered and asks the client to wait for retryAfter seconds,
// at most MaxRetryAfter, before it submits the message again.
func (d *Dispatcher) reject(m *message, retryAfter float64) {
	seconds := math.Min(math.Max(0, retryAfter), d.settings.MaxRetryAfter.Seconds())
	d.emit(Reject{ID: m.ID, RetryAfter: time.Duration(seconds * float64(time.Second))})
	d.completeWithNotice(m)
}
