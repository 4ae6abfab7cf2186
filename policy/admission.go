package policy

import (
	"math"
	"time"
)

const (
	// minUsefulValue of its worth a message must still have when it is delivered, while more arrive for its
	// queue than can leave: what is admitted later than that takes the place of one that would be on time.
	minUsefulValue = 0.65
	// maxInFlightShare of the slots, and roomShare of the holding room once that is filled, is what the queue that
	// holds most may have: no queue takes them all.
	maxInFlightShare, maxQueuedShare = 0.5, 0.75
)

// admit refuses an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(m *message) {
	q := d.selectRoute(m)
	if m.Background {
		// Neither λ nor the copy hears of it: it makes no fresh message late.
		if d.admitsBackground(q) {
			d.enqueue(q, m)
		} else {
			d.reject(m, 0)
		}
		return
	}
	q.arrivals.add(d.now, 1)
	left := (m.deadline - d.now).Seconds()
	u, x := d.backlog(q), q.classLatency[m.Class]
	λ, r := q.arrivals.rate(d.now), q.shadowRejections.rate(d.now)
	d.feedShadowQueue(q, left-x)
	if λ*q.serviceInterval() > 1 {
		left = math.Min(left, d.maxUsefulAge(m.class).Seconds()) // little time left need not be age
	}
	room := maxQueuedShare * float64(d.settings.MaxQueued)
	crowded := float64(len(d.unfinished)) > room && float64(len(q.queued)) > room/2 || len(d.unfinished) > d.settings.MaxQueued
	if mustReject(u, x, left-x, λ-r, len(q.queued) > 0) || crowded {
		d.reject(m, u+2*x-left)
		return
	}
	d.enqueue(q, m)
}

// mustReject is the rule of the paper: the basic rule u > τ, and where messages are held the
// value-function bound (λ−r)(u+x−τ) ≥ 1 (which holds for every u once x ≥ τ + 1/(λ−r)).
func mustReject(u, x, τ, net float64, held bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && held && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}

// maxUsefulAge is the age at which a class, or one worth as much or more that would wait behind it, falls
// under keepWorth: messages worth little and patient must not fill a queue against urgent ones.
func (d *Dispatcher) maxUsefulAge(c *Class) time.Duration {
	age := c.ageAtValue(minUsefulValue)
	for i := range d.settings.Classes {
		if k := &d.settings.Classes[i]; k.PriorityWeight >= c.PriorityWeight && !k.Retired {
			age = min(age, k.ageAtValue(minUsefulValue))
		}
	}
	return age
}

// updateMeanPriorityWeight computes what a message is worth in the mean.
func (d *Dispatcher) updateMeanPriorityWeight() {
	n := 0.0
	d.meanPriorityWeight = 0
	for _, c := range d.settings.Classes {
		if !c.Retired {
			d.meanPriorityWeight += c.PriorityWeight
			n++
		}
	}
	d.meanPriorityWeight /= math.Max(1, n)
}
