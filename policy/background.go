package policy

import (
	"math"
)

const (
	// backgroundShare of the slots may have calls out in all when one with a background message goes, and
	// backgroundSlots of them with such messages: what is fresh finds a slot all the same. A queue must have
	// backgroundTokens of its pace.
	backgroundShare, backgroundSlots, backgroundTokens = 0.5, 1.0 / 8, 2
)

// idle tells whether a queue has nothing better to do than to send a background message at once: nothing is
// held there or out with another one, none of its endpoints is or was out, and slots and pace leave room for
// what is fresh.
func (d *Dispatcher) idle(q *queue) bool {
	if len(q.held) > 0 || d.now < q.pausedUntil() || d.stopping ||
		float64(d.out+1) > backgroundShare*float64(d.s.MaxInFlight) ||
		float64(len(d.live)) > backgroundShare*float64(d.s.MaxQueued) {
		return false
	}
	if q.pace > 0 && d.tokens(q) < backgroundTokens {
		return false
	}
	for _, ep := range q.eps {
		d.epTokens(ep) // ends a ramp that is over
		if ep.sick || ep.ramping || d.silent(ep) {
			return false
		}
	}
	out := 0
	for _, other := range d.active {
		for _, c := range other.out {
			if c.msgs[0].Background {
				if out++; other == q || float64(out+1) > math.Max(1, backgroundSlots*float64(d.s.MaxInFlight)) {
					return false
				}
			}
		}
	}
	return q.usable()
}
