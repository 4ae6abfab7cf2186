package policy

import (
	"math"
	"time"
)

// complete notes that a message needs nothing more to be decided for it, and evicts it where
// nothing else is pending.
func (d *Dispatcher) complete(m *message, state messageState) {
	if m.state == messageActive {
		m.state = state
		m.dequeue()
		d.unfinished = remove(d.unfinished, m)
	}
	d.evict(m)
}

// completeWithNotice completes a message whose terminal outcome was just given: where
// acknowledgements are awaited, its order key is free once that is acknowledged.
func (d *Dispatcher) completeWithNotice(m *message) {
	if d.settings.AwaitAcknowledgement && m.ordered() {
		d.complete(m, messageUnacknowledged)
	} else {
		d.complete(m, messageCompleted)
	}
}

// acknowledge notes that a message's terminal outcome has reached the party it was owed to.
func (d *Dispatcher) acknowledge(id string) {
	if m := d.messages[id]; m != nil && m.state == messageUnacknowledged {
		m.state = messageCompleted
		d.evict(m)
	}
}

// evict drops a completed message that has nothing in flight, and lets the next of its order key
// go.
func (d *Dispatcher) evict(m *message) {
	if m.state != messageCompleted || m.openAttempts > 0 || d.coolDown(m) {
		return
	}
	delete(d.messages, m.ID)
	d.releaseOrderKey(m)
}

// cancelMessage drops a message that nobody wants any more.
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

// deadlineExceeded gives a terminal outcome to a message whose attempt is still in flight.
func (d *Dispatcher) deadlineExceeded(id string) {
	if m := d.messages[id]; m != nil && m.state == messageActive {
		d.giveUp(m)
	}
}

// expireQueued gives terminal outcomes to queued messages that have no time left for another
// attempt of mean latency, and to those that can't be sent again any more, also since new settings
// allow fewer attempts.
func (d *Dispatcher) expireQueued() {
	var expired []*message
	for _, m := range d.unfinished {
		if m.queue == nil {
			continue
		}
		if len(m.attempts) >= d.settings.MaxAttempts || d.now >= d.giveUpTime(m) || !d.retryAllowed(m, nil) {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		d.giveUp(m)
	}
}

// giveUpTime returns when a queued message is given up: its time left is then its expected latency.
func (d *Dispatcher) giveUpTime(m *message) time.Duration {
	latency := time.Duration(m.queue.latency.byClass[m.Class] * float64(time.Second))
	return m.deadline - max(2*d.settings.BatchInterval, latency)
}

// giveUp ends a message: it is rejected where submitting it again is harmless, and fails otherwise.
func (d *Dispatcher) giveUp(m *message) {
	if m.safeToResubmit() {
		d.reject(m, 0)
		return
	}
	d.emit(Fail{ID: m.ID})
	d.completeWithNotice(m)
}

// safeToResubmit reports whether a client may submit a message again without a second execution.
func (m *message) safeToResubmit() bool {
	return m.firstExecuted() == nil || m.terms.Idempotency == Idempotent ||
		m.terms.Idempotency == IdempotentByKey && !m.terms.KeyPerZone
}

// reject ends a message undelivered, with the seconds after which submitting it again may help.
func (d *Dispatcher) reject(m *message, retryAfter float64) {
	seconds := math.Min(math.Max(0, retryAfter), d.settings.MaxRetryAfter.Seconds())
	d.emit(Reject{ID: m.ID, RetryAfter: time.Duration(seconds * float64(time.Second))})
	d.completeWithNotice(m)
}
