package policy

import (
	"math"
	"slices"
	"time"
)

// withdraw drops a message that nobody wants any more.
func (d *Dispatcher) withdraw(id string) {
	m := d.messages[id]
	if m == nil || m.over {
		return
	}
	d.finish(m)
	for i := range m.attempts {
		if m.attempts[i].open && d.s.CanCancel {
			d.act(CancelAttempt{ID: m.ID, Attempt: i})
		}
	}
}

// expire gives final answers to held messages that have no time left for another attempt of mean latency,
// and to those that cannot be sent again any more, also since new settings allow fewer attempts.
func (d *Dispatcher) expire() {
	var ended []*message
	for _, m := range d.live {
		spent := len(m.attempts) >= d.s.MaxAttempts
		if m.q != nil && (spent || d.now >= d.lastChance(m) || !d.repeatable(m, nil)) {
			ended = append(ended, m)
		}
	}
	for _, m := range ended {
		d.giveUp(m)
	}
}

// lastChance is when a held message is given up: its time left is then its expected latency.
func (d *Dispatcher) lastChance(m *message) time.Duration {
	x := time.Duration(m.q.class[m.Class] * float64(time.Second))
	return m.expires - max(2*d.s.BatchInterval, x)
}

// giveUp ends a message: a refusal where trying again is harmless, else a failure.
func (d *Dispatcher) giveUp(m *message) {
	if m.firstRun() == nil || m.class.Idempotency == Idempotent || m.class.Idempotency == IdempotentByKey && !m.class.KeyPerZone {
		d.refuse(m, 0)
		return
	}
	d.act(Fail{ID: m.ID})
	d.told(m)
}

func (d *Dispatcher) refuse(m *message, after float64) {
	stay := time.Duration(math.Min(math.Max(0, after), d.s.MaxRetryAfter.Seconds()) * float64(time.Second))
	d.act(Reject{ID: m.ID, RetryAfter: stay})
	d.told(m)
}

// finish notes that a message has its final answer.
func (d *Dispatcher) finish(m *message) {
	if !m.over {
		m.over = true
		m.release()
		d.live = remove(d.live, m)
	}
	d.retire(m)
}

// told finishes a message whose end was just given: its key is free once that is known where it is owed.
func (d *Dispatcher) told(m *message) {
	m.telling = d.s.AwaitAcknowledgement && m.class.Ordered && m.OrderKey != ""
	d.finish(m)
}

// settle notes that a message's end is known where it is owed.
func (d *Dispatcher) settle(id string) {
	if m := d.messages[id]; m != nil && m.telling {
		m.telling = false
		d.retire(m)
	}
}

// retire forgets a message that is over and has nothing out, and lets the next of its key go.
func (d *Dispatcher) retire(m *message) {
	if !m.over || m.open > 0 || m.telling {
		return
	}
	if d.now < m.rest {
		if !slices.Contains(d.resting, m) {
			d.resting = append(d.resting, m)
		}
		return
	}
	d.resting = remove(d.resting, m)
	delete(d.messages, m.ID)
	if line := remove(d.keys[m.OrderKey], m); len(line) > 0 {
		d.keys[m.OrderKey] = line
	} else {
		delete(d.keys, m.OrderKey)
	}
}
