package policy

import (
	"math"
	"time"
)

const (
	// keepWorth of its worth a message must still have when it is delivered, while more arrive for its
	// queue than can leave: what is admitted later than that takes the place of one that would be on time.
	keepWorth = 0.65
	// slotShare of the slots, and roomShare of the holding room once that is filled, is what the queue that
	// holds most may have: no queue takes them all.
	slotShare, roomShare = 0.5, 0.75
)

// admit refuses an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(m *message) {
	q := d.route(m)
	if m.Background {
		// Neither λ nor the copy hears of it: it makes no fresh message late.
		if d.idle(q) {
			d.hold(q, m)
		} else {
			d.refuse(m, 0)
		}
		return
	}
	q.arrivals.add(d.now, 1)
	left := (m.expires - d.now).Seconds()
	u, x := d.backlog(q), q.class[m.Class]
	λ, r := q.arrivals.rate(d.now), q.misses.rate(d.now)
	d.virtual(q, left-x)
	if λ*q.pitch() > 1 {
		left = math.Min(left, d.lateAge(m.class).Seconds()) // little time left need not be age
	}
	room := roomShare * float64(d.s.MaxQueued)
	crowded := float64(len(d.live)) > room && float64(len(q.held)) > room/2 || len(d.live) > d.s.MaxQueued
	if refusing(u, x, left-x, λ-r, len(q.held) > 0) || crowded {
		d.refuse(m, u+2*x-left)
		return
	}
	d.hold(q, m)
}

// refusing is the rule of the paper: the basic rule u > τ, and where messages are held the
// value-function bound (λ−r)(u+x−τ) ≥ 1 (which holds for every u once x ≥ τ + 1/(λ−r)).
func refusing(u, x, τ, net float64, held bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && held && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}

// lateAge is the age at which a class, or one worth as much or more that would wait behind it, falls
// under keepWorth: messages worth little and patient must not fill a queue against urgent ones.
func (d *Dispatcher) lateAge(c *Class) time.Duration {
	age := c.ageAt(keepWorth)
	for i := range d.s.Classes {
		if k := &d.s.Classes[i]; k.PriorityWeight >= c.PriorityWeight && !k.Retired {
			age = min(age, k.ageAt(keepWorth))
		}
	}
	return age
}

// weighClasses computes what a message is worth in the mean.
func (d *Dispatcher) weighClasses() {
	n := 0.0
	d.meanWorth = 0
	for _, c := range d.s.Classes {
		if !c.Retired {
			d.meanWorth += c.PriorityWeight
			n++
		}
	}
	d.meanWorth /= math.Max(1, n)
}
