package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// unresponsiveFactor mean latencies without an outcome make an endpoint silent. stuckAfter of them a call may
	// be called off where its slot is wanted and such calls, mostly, are never answered; finalFactor times
	// as late one whose message then fails: a slot serves a message worth as much in each mean latency.
	unresponsiveFactor, stuckFactor, lastAttemptFactor, mostlyUnanswered = 6, 3, 2, 0.5
)

// cancelStuck calls off calls that are out far longer than usual, so that their messages can be sent again. It
// guards against lost calls and answers, and against hangs that fill the slots, whatever the cause; it
// costs the work of a call that was merely slow, so calls are taken later with each attempt, and those
// that no later call has overtaken only for want of a slot. A call that may not be repeated is taken for
// want of a slot alone, finalFactor times as late: its message fails, but the slot serves others.
func (d *Dispatcher) cancelStuck() {
	if !d.settings.CanCancel {
		return
	}
	want := d.inFlight >= d.settings.MaxInFlight && slices.ContainsFunc(d.activeQueues, func(q *queue) bool {
		_, m := d.nextSend(q)
		return m != nil
	})
	for _, q := range d.activeQueues {
		for _, c := range q.inFlight {
			again := d.retryableCall(c)
			lost := again && c.endpoint.latestSuccessSent > c.sent // a call that began later has succeeded
			factor := d.cancelFactor()
			if !again {
				factor *= lastAttemptFactor
			}
			due := lost && d.now >= d.overdueAt(c, unresponsiveFactor) || want && d.now >= d.overdueAt(c, factor)
			if c.cancelled || !due {
				continue
			}
			c.cancelled, want = true, want && lost
			for _, m := range c.messages {
				if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
					d.emit(CancelAttempt{ID: m.ID, Attempt: i})
				}
			}
		}
	}
}

// cancelFactor is the number of mean latencies after which a wanted slot is taken back: sooner where late
// calls have mostly not been answered at all (loss, hangs) than where they have (slowness, heavy work).
func (d *Dispatcher) cancelFactor() float64 {
	if d.unansweredShare > mostlyUnanswered {
		return stuckFactor
	}
	return unresponsiveFactor
}

// overdueAt is when a call has been out for far longer than usual.
func (d *Dispatcher) overdueAt(c *call, factor float64) time.Duration {
	usual := math.Max(c.endpoint.queue.meanLatency, c.endpoint.lastLatency)
	for _, m := range c.messages {
		usual = math.Max(usual, c.endpoint.queue.classLatency[m.Class])
	}
	if usual == 0 {
		return never
	}
	tries := math.Pow(2, float64(len(c.messages[0].attempts)-1))
	return c.sent + time.Duration(factor*tries*usual*float64(time.Second))
}
