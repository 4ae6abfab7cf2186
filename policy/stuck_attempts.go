package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// silentAfter mean latencies without an outcome make an endpoint silent. stuckAfter of them a call may
	// be called off where its slot is wanted and such calls, mostly, are never answered; finalFactor times
	// as late one whose message then fails: a slot serves a message worth as much in each mean latency.
	silentAfter, stuckAfter, finalFactor, mostly = 6, 3, 2, 0.5
)

// reap calls off calls that are out far longer than usual, so that their messages can be sent again. It
// guards against lost calls and answers, and against hangs that fill the slots, whatever the cause; it
// costs the work of a call that was merely slow, so calls are taken later with each attempt, and those
// that no later call has overtaken only for want of a slot. A call that may not be repeated is taken for
// want of a slot alone, finalFactor times as late: its message fails, but the slot serves others.
func (d *Dispatcher) reap() {
	if !d.s.CanCancel {
		return
	}
	want := d.out >= d.s.MaxInFlight && slices.ContainsFunc(d.active, func(q *queue) bool {
		_, m := d.ready(q)
		return m != nil
	})
	for _, q := range d.active {
		for _, c := range q.out {
			again := d.expendable(c)
			lost := again && c.ep.lastBegun > c.sent // a call that began later has succeeded
			factor := d.stuckFactor()
			if !again {
				factor *= finalFactor
			}
			due := lost && d.now >= d.lateAt(c, silentAfter) || want && d.now >= d.lateAt(c, factor)
			if c.canceled || !due {
				continue
			}
			c.canceled, want = true, want && lost
			for _, m := range c.msgs {
				if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
					d.act(CancelAttempt{ID: m.ID, Attempt: i})
				}
			}
		}
	}
}

// stuckFactor is the number of mean latencies after which a wanted slot is taken back: sooner where late
// calls have mostly not been answered at all (loss, hangs) than where they have (slowness, heavy work).
func (d *Dispatcher) stuckFactor() float64 {
	if d.unanswered > mostly {
		return stuckAfter
	}
	return silentAfter
}

// lateAt is when a call has been out for far longer than usual.
func (d *Dispatcher) lateAt(c *call, factor float64) time.Duration {
	usual := math.Max(c.ep.q.mean, c.ep.lastTook)
	for _, m := range c.msgs {
		usual = math.Max(usual, c.ep.q.class[m.Class])
	}
	if usual == 0 {
		return never
	}
	tries := math.Pow(2, float64(len(c.msgs[0].attempts)-1))
	return c.sent + time.Duration(factor*tries*usual*float64(time.Second))
}
