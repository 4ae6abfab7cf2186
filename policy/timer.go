package policy

import (
	"time"
)

// arm asks for a timer when something is next due by time alone.
func (d *Dispatcher) arm() {
	next := never
	soon := func(t time.Duration) { next = min(next, max(t, d.now+d.s.BatchInterval)) }
	soon(d.resub)
	for _, m := range d.live {
		if m.q != nil {
			soon(d.lastChance(m))
			if m.firstRun() != nil && m.class.Idempotency == IdempotentByKey {
				soon(d.forgotten(m))
			}
		}
	}
	for _, q := range d.active {
		for _, c := range q.out {
			for _, factor := range []float64{stuckAfter, silentAfter, silentAfter * finalFactor} {
				if at := d.lateAt(c, factor); at > d.now && !c.canceled {
					soon(at)
				}
			}
		}
		if len(q.held) == 0 {
			continue
		}
		at := max(q.pausedUntil(), d.now)
		if q.pace > 0 && d.tokens(q) < 1 {
			at = max(at, d.now+wait(1-q.tokens, q.pace))
		}
		if at > d.now {
			soon(at)
		}
		for _, ep := range q.eps {
			if (ep.sick || ep.ramping) && d.epTokens(ep) < 1 {
				soon(max(at, d.now+wait(1-ep.tokens, d.budget(ep, d.coldFor(ep)))))
			}
		}
	}
	for _, m := range d.resting {
		soon(m.rest)
	}
	// A clock with coarser steps than ours may wake us a little before the time: that timer is used up.
	if next < never && (d.wakeAt < d.now+d.s.BatchInterval || next < d.wakeAt) {
		d.wakeAt = next
		d.act(SetTimer{After: next - d.now})
	}
}
