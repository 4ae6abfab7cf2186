package policy

import (
	"math"
)

const (
	// backgroundMaxShare of the slots may have calls out in all when one with a background message goes, and
	// backgroundSlots of them with such messages: what is fresh finds a slot all the same. A queue must have
	// backgroundTokens of its pace.
	backgroundMaxShare, backgroundInFlightShare, minBackgroundTokens = 0.5, 1.0 / 8, 2
)

// admitsBackground tells whether a queue has nothing better to do than to send a background message at once: nothing is
// held there or out with another one, none of its endpoints is or was out, and slots and pace leave room for
// what is fresh.
func (d *Dispatcher) admitsBackground(q *queue) bool {
	if len(q.queued) > 0 || d.now < q.pausedUntil() || d.quiesced ||
		float64(d.inFlight+1) > backgroundMaxShare*float64(d.settings.MaxInFlight) ||
		float64(len(d.unfinished)) > backgroundMaxShare*float64(d.settings.MaxQueued) {
		return false
	}
	if q.sendRate > 0 && d.sendTokens(q) < minBackgroundTokens {
		return false
	}
	for _, ep := range q.endpoints {
		d.recoveryTokens(ep) // ends a ramp that is over
		if ep.sick || ep.ramping || d.unresponsive(ep) {
			return false
		}
	}
	out := 0
	for _, other := range d.activeQueues {
		for _, c := range other.inFlight {
			if c.messages[0].Background {
				if out++; other == q || float64(out+1) > math.Max(1, backgroundInFlightShare*float64(d.settings.MaxInFlight)) {
					return false
				}
			}
		}
	}
	return q.acceptsWork()
}
