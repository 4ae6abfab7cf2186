package policy

import "math"

const (
	// backgroundMaxShare is the largest share of MaxInFlight, and of MaxQueued, that may be in use
	// once a background message is admitted, so that other messages still get a slot.
	backgroundMaxShare = 0.5
	// backgroundInFlightShare is the share of MaxInFlight that calls with background messages may
	// use.
	backgroundInFlightShare = 1.0 / 8
	// minBackgroundTokens is the number of send tokens a queue must have for a background message
	// to be admitted.
	minBackgroundTokens = 2
)

// admitBackground queues a background message if it can be sent immediately, and rejects it
// otherwise. The arrival rate and the shadow queue do not count the message, since it delays no
// other message.
func (d *Dispatcher) admitBackground(q *queue, m *message) {
	if d.canSendBackground(q, m) {
		d.enqueue(q, m)
	} else {
		d.reject(m, 0)
	}
}

// rejectUnsentBackground rejects the background messages that are still queued at the end of a batch. Whoever stores a background
// message allows it to be sent at the time of its arrival, and has to allow it again for a later time.
func (d *Dispatcher) rejectUnsentBackground() {
	for _, q := range d.activeQueues {
		for len(q.queued) > 0 {
			last := q.queued[len(q.queued)-1] // background messages are queued behind all others
			if !last.Background {
				break
			}
			d.reject(last, 0)
		}
	}
}

// canSendBackground reports whether a queue can send a background message immediately without
// delaying other messages.
func (d *Dispatcher) canSendBackground(q *queue, m *message) bool {
	if len(q.queued) > 0 || d.now < q.pausedUntil() || d.quiesced || !d.hasBackgroundCapacity() {
		return false
	}
	if q.sendRate > 0 && d.sendTokens(q) < minBackgroundTokens {
		return false
	}
	return d.allHealthy(q) && !d.backgroundLimitReached(q) && d.attemptAllowed(m) && d.selectEndpoint(q, m) != nil
}

// hasBackgroundCapacity reports whether enough slots and queue capacity remain for other messages
// if a background message is admitted.
func (d *Dispatcher) hasBackgroundCapacity() bool {
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

// backgroundLimitReached reports whether a queue has a call with a background message in flight, or
// all queues together have the largest allowed number of such calls in flight.
func (d *Dispatcher) backgroundLimitReached(q *queue) bool {
	limit := math.Max(1, backgroundInFlightShare*float64(d.settings.MaxInFlight))
	calls := 0
	for _, other := range d.activeQueues {
		for _, c := range other.inFlight {
			if !c.messages[0].Background {
				continue
			}
			calls++
			if other == q || float64(calls+1) > limit {
				return true
			}
		}
	}
	return false
}
