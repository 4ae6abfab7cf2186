package policy

import "math"

const (
	// backgroundMaxShare of MaxInFlight and of MaxQueued may be in use, with the background
	// message, when one is admitted: other messages find a slot all the same.
	backgroundMaxShare = 0.5
	// backgroundInFlightShare of MaxInFlight may be calls with background messages.
	backgroundInFlightShare = 1.0 / 8
	// minBackgroundTokens a queue's send rate must leave when a background message is admitted.
	minBackgroundTokens = 2
)

// admitBackground queues a background message where it can be sent at once, and rejects it
// otherwise. Neither the arrival rate nor the shadow queue counts it: it makes no other message
// late.
func (d *Dispatcher) admitBackground(q *queue, m *message) {
	if d.admitsBackground(q) {
		d.enqueue(q, m)
	} else {
		d.reject(m, 0)
	}
}

// admitsBackground reports whether a queue has nothing better to do than to send a background
// message at once.
func (d *Dispatcher) admitsBackground(q *queue) bool {
	if len(q.queued) > 0 || d.now < q.pausedUntil() || d.quiesced || !d.hasBackgroundRoom() {
		return false
	}
	if q.sendRate > 0 && d.sendTokens(q) < minBackgroundTokens {
		return false
	}
	return d.allHealthy(q) && !d.backgroundInFlight(q) && q.acceptsWork()
}

// hasBackgroundRoom reports whether slots and queue space leave room for other messages beside a
// background message.
func (d *Dispatcher) hasBackgroundRoom() bool {
	return float64(d.inFlight+1) <= backgroundMaxShare*float64(d.settings.MaxInFlight) &&
		float64(len(d.unfinished)) <= backgroundMaxShare*float64(d.settings.MaxQueued)
}

// allHealthy reports whether no endpoint of a queue is unhealthy, in slow start or unresponsive.
func (d *Dispatcher) allHealthy(q *queue) bool {
	for _, ep := range q.endpoints {
		d.recoveryTokens(ep) // ends a slow start whose time has passed
		if ep.health != healthy || d.unresponsive(ep) {
			return false
		}
	}
	return true
}

// backgroundInFlight reports whether calls with background messages are in flight from a queue, or
// as many from all queues as may be.
func (d *Dispatcher) backgroundInFlight(q *queue) bool {
	most := math.Max(1, backgroundInFlightShare*float64(d.settings.MaxInFlight))
	calls := 0
	for _, other := range d.activeQueues {
		for _, c := range other.inFlight {
			if !c.messages[0].Background {
				continue
			}
			calls++
			if other == q || float64(calls+1) > most {
				return true
			}
		}
	}
	return false
}
