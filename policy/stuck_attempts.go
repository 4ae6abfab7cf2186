package policy

import (
	"math"
	"slices"
	"time"
)

// The following factors count usual latencies of a call; see overdueAt.
const (
	// unresponsiveFactor without an outcome make an endpoint unresponsive, and a call that a later
	// one has overtaken lost.
	unresponsiveFactor = 6
	// stuckFactor make a call stuck where its slot is wanted and overdue calls, mostly, are never
	// answered.
	stuckFactor = 3
	// lastAttemptFactor times as long is waited before a call is cancelled whose message then
	// fails: a slot serves a message worth as much in each mean latency.
	lastAttemptFactor = 2
	// mostlyUnanswered is the share of overdue calls without a success above which stuckFactor
	// holds.
	mostlyUnanswered = 0.5
)

// cancelStuck cancels calls that are in flight far longer than usual, so that their messages can be
// sent again. It guards against lost calls and answers, and against hangs that fill the slots,
// whatever the cause. It costs the work of a call that was merely slow, so calls are cancelled
// later with each attempt, and those that no later call has overtaken only for want of a slot. A
// call that may not be repeated is cancelled for want of a slot alone, lastAttemptFactor times as
// late: its message fails, but the slot serves others.
func (d *Dispatcher) cancelStuck() {
	if !d.settings.CanCancel {
		return
	}
	slotWanted := d.slotWanted()
	for _, q := range d.activeQueues {
		for _, c := range q.inFlight {
			if c.cancelled {
				continue
			}
			switch lost := d.lost(c); {
			case lost && d.now >= d.overdueAt(c, unresponsiveFactor):
				d.cancelCall(c)
			case slotWanted && d.overdueForSlot(c):
				d.cancelCall(c)
				slotWanted = lost // one call that may still be answered is given up for a slot, not more
			}
		}
	}
}

// slotWanted reports whether all slots are in use and a queue has a message to send.
func (d *Dispatcher) slotWanted() bool {
	return d.inFlight >= d.settings.MaxInFlight && slices.ContainsFunc(d.activeQueues, func(q *queue) bool {
		_, m := d.nextSend(q)
		return m != nil
	})
}

// lost reports whether a call that may be repeated was overtaken: one sent later has succeeded.
func (d *Dispatcher) lost(c *call) bool {
	return d.retryableCall(c) && c.endpoint.latestSuccessSent > c.sent
}

// overdueForSlot reports whether a call is cancelled where its slot is wanted.
func (d *Dispatcher) overdueForSlot(c *call) bool {
	factor := d.cancelFactor()
	if !d.retryableCall(c) {
		factor *= lastAttemptFactor
	}
	return d.now >= d.overdueAt(c, factor)
}

// cancelFactor returns the number of usual latencies after which a call that may be repeated is
// cancelled for want of a slot: fewer where overdue calls have mostly not been answered at all
// (loss, hangs) than where they have (slowness, heavy work).
func (d *Dispatcher) cancelFactor() float64 {
	if d.unansweredShare > mostlyUnanswered {
		return stuckFactor
	}
	return unresponsiveFactor
}

// cancelCall cancels all attempts of a call.
func (d *Dispatcher) cancelCall(c *call) {
	c.cancelled = true
	for _, m := range c.messages {
		if i, ok := m.openAttemptOf(c); ok {
			d.emit(CancelAttempt{ID: m.ID, Attempt: i})
		}
	}
}

// openAttemptOf returns the number of a message's last attempt, if that is in flight as part of a
// call.
func (m *message) openAttemptOf(c *call) (number int, ok bool) {
	last := len(m.attempts) - 1
	a := &m.attempts[last]
	return last, a.call == c && a.state == attemptInFlight
}

// overdueAt returns when a call has been in flight for so many usual latencies, doubled with each
// earlier attempt of its message; never where no latency is known.
func (d *Dispatcher) overdueAt(c *call, factor float64) time.Duration {
	usual := math.Max(c.endpoint.queue.latency.mean, c.endpoint.lastLatency)
	for _, m := range c.messages {
		usual = math.Max(usual, c.endpoint.queue.latency.byClass[m.Class])
	}
	if usual == 0 {
		return never
	}
	doublings := math.Pow(2, float64(len(c.messages[0].attempts)-1))
	return c.sent + time.Duration(factor*doublings*usual*float64(time.Second))
}
