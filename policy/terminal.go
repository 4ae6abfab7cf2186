package policy

import (
	"math"
	"slices"
	"time"
)

// cancelMessage drops a message that nobody wants any more.
func (d *Dispatcher) cancelMessage(id string) {
	m := d.messages[id]
	if m == nil || m.over {
		return
	}
	d.complete(m)
	for i := range m.attempts {
		if m.attempts[i].open && d.settings.CanCancel {
			d.emit(CancelAttempt{ID: m.ID, Attempt: i})
		}
	}
}

// expireQueued gives final answers to held messages that have no time left for another attempt of mean latency,
// and to those that cannot be sent again any more, also since new settings allow fewer attempts.
func (d *Dispatcher) expireQueued() {
	var ended []*message
	for _, m := range d.unfinished {
		spent := len(m.attempts) >= d.settings.MaxAttempts
		if m.queue != nil && (spent || d.now >= d.giveUpTime(m) || !d.retryAllowed(m, nil)) {
			ended = append(ended, m)
		}
	}
	for _, m := range ended {
		d.giveUp(m)
	}
}

// giveUpTime is when a held message is given up: its time left is then its expected latency.
func (d *Dispatcher) giveUpTime(m *message) time.Duration {
	x := time.Duration(m.queue.classLatency[m.Class] * float64(time.Second))
	return m.deadline - max(2*d.settings.BatchInterval, x)
}

// giveUp ends a message: a refusal where trying again is harmless, else a failure.
func (d *Dispatcher) giveUp(m *message) {
	if m.firstExecuted() == nil || m.class.Idempotency == Idempotent || m.class.Idempotency == IdempotentByKey && !m.class.KeyPerZone {
		d.reject(m, 0)
		return
	}
	d.emit(Fail{ID: m.ID})
	d.completeAndAwaitAck(m)
}

func (d *Dispatcher) reject(m *message, after float64) {
	stay := time.Duration(math.Min(math.Max(0, after), d.settings.MaxRetryAfter.Seconds()) * float64(time.Second))
	d.emit(Reject{ID: m.ID, RetryAfter: stay})
	d.completeAndAwaitAck(m)
}

// complete notes that a message has its final answer.
func (d *Dispatcher) complete(m *message) {
	if !m.over {
		m.over = true
		m.dequeue()
		d.unfinished = remove(d.unfinished, m)
	}
	d.evict(m)
}

// completeAndAwaitAck finishes a message whose end was just given: its key is free once that is known where it is owed.
func (d *Dispatcher) completeAndAwaitAck(m *message) {
	m.telling = d.settings.AwaitAcknowledgement && m.class.Ordered && m.OrderKey != ""
	d.complete(m)
}

// acknowledge notes that a message's end is known where it is owed.
func (d *Dispatcher) acknowledge(id string) {
	if m := d.messages[id]; m != nil && m.telling {
		m.telling = false
		d.evict(m)
	}
}

// evict forgets a message that is over and has nothing out, and lets the next of its key go.
func (d *Dispatcher) evict(m *message) {
	if !m.over || m.open > 0 || m.telling {
		return
	}
	if d.now < m.cooldownUntil {
		if !slices.Contains(d.coolingDown, m) {
			d.coolingDown = append(d.coolingDown, m)
		}
		return
	}
	d.coolingDown = remove(d.coolingDown, m)
	delete(d.messages, m.ID)
	if line := remove(d.orderKeys[m.OrderKey], m); len(line) > 0 {
		d.orderKeys[m.OrderKey] = line
	} else {
		delete(d.orderKeys, m.OrderKey)
	}
}
