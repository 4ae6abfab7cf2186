package policy

import (
	"math"
	"slices"
	"time"
)

// unresponsiveFactor and stuckFactor are in usual latencies of a call; see overdueAt.
const (
	// unresponsiveFactor is the time in flight after which a call makes its endpoint unresponsive.
	// The call is then cancelled as lost if a call sent later to the endpoint has succeeded, and as
	// stuck if its slot is needed.
	unresponsiveFactor = 6
	// stuckFactor is the time in flight after which a call is already cancelled as stuck, if its
	// slot is needed and most overdue calls are never answered.
	stuckFactor = 3
	// nonRetryableFactor multiplies the time after which a call is cancelled as stuck if its
	// messages cannot be sent again. These messages fail when the call is cancelled, but in each mean
	// latency from then on the freed slot can serve another message of equal value.
	nonRetryableFactor = 2
	// unansweredThreshold is a share of overdue calls. If more than this share does not succeed,
	// stuckFactor applies instead of unresponsiveFactor.
	unansweredThreshold = 0.5
)

// cancelStuck cancels calls that are in flight far longer than usual, so that their messages can be
// sent again. It handles lost calls, lost answers, and calls that hang and occupy the slots,
// whatever the cause. Cancelling a call that was merely slow wastes the work done for it. Calls are
// therefore cancelled later with each attempt, and a call that no later call has overtaken is
// cancelled only if its slot is needed. A call whose messages cannot be sent again is cancelled
// only if its slot is needed, and only after nonRetryableFactor times as long: its messages fail,
// but other messages can use the slot.
func (d *Dispatcher) cancelStuck() {
	if !d.settings.CanCancel {
		return
	}
	slotNeeded := d.slotNeeded()
	for _, q := range d.activeQueues {
		for _, c := range q.inFlight {
			if c.cancelled {
				continue
			}
			switch lost := d.presumedLost(c); {
			case lost && d.now >= d.overdueAt(c, unresponsiveFactor):
				d.cancelCall(c)
			case slotNeeded && d.overdueForSlot(c):
				d.cancelCall(c)
				slotNeeded = lost // cancel at most one call per batch that may still be answered
			}
		}
	}
}

// slotNeeded reports whether all slots are in use while a queue has a message to send.
func (d *Dispatcher) slotNeeded() bool {
	return d.inFlight >= d.settings.MaxInFlight && slices.ContainsFunc(d.activeQueues, func(q *queue) bool {
		_, m := d.nextSend(q)
		return m != nil
	})
}

// presumedLost reports whether a call is retryable and a call sent later to the same endpoint has
// succeeded.
func (d *Dispatcher) presumedLost(c *call) bool {
	return d.retryableCall(c) && c.endpoint.latestSuccessSent > c.sent
}

// overdueForSlot reports whether a call is overdue enough to be cancelled if its slot is needed.
func (d *Dispatcher) overdueForSlot(c *call) bool {
	factor := d.cancelFactor()
	if !d.retryableCall(c) {
		factor *= nonRetryableFactor
	}
	return d.now >= d.overdueAt(c, factor)
}

// cancelFactor returns the number of usual latencies after which a retryable call is cancelled if
// its slot is needed. It is lower if most overdue calls have not succeeded (lost or hanging calls)
// than if most have (slow destinations, expensive messages).
func (d *Dispatcher) cancelFactor() float64 {
	if d.unansweredShare > unansweredThreshold {
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

// openAttemptOf returns the number of a message's last attempt, and whether that attempt is in
// flight as part of call c.
func (m *message) openAttemptOf(c *call) (number int, ok bool) {
	last := len(m.attempts) - 1
	a := &m.attempts[last]
	return last, a.call == c && a.state == attemptInFlight
}

// overdueAt returns the time at which a call has been in flight for the given number of usual
// latencies. That time doubles with each earlier attempt of the call's first message. It returns
// never if no latency is known.
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
