package policy

import (
	"math"
)

// backlog is u: messages held ahead × mean latency ÷ calls out, and at least what a wait, a pace or a
// ramp implies; zero with a slot free and nothing held.
func (d *Dispatcher) backlog(q *queue) float64 {
	u := float64(len(q.held)) * d.latency(q) / math.Max(1, float64(len(q.out)))
	return math.Max(u, d.opens(q, len(q.held)))
}

// opens is the time until the next call of a queue may leave with n messages ahead of it, as far as
// waits, pace and health tell.
func (d *Dispatcher) opens(q *queue, n int) float64 {
	wait := math.Max(0, (q.pausedUntil() - d.now).Seconds())
	calls := float64(n) / float64(q.bundle)
	if q.pace > 0 {
		wait = math.Max(wait, (calls+1-d.tokens(q))/q.pace)
	}
	ramp := math.Inf(1)
	for _, ep := range q.eps {
		if !ep.sick && !ep.ramping {
			return wait
		}
		// The next trial, and if it succeeds the others at the budget of a half-warm endpoint.
		first := math.Max(0, 1-d.epTokens(ep)) / math.Max(1e-9, d.budget(ep, d.coldFor(ep)))
		half := d.budget(ep, max(d.coldFor(ep), d.s.SlowStartTime/2)) * float64(len(q.eps))
		ramp = math.Min(ramp, first+calls/math.Max(1e-9, half))
	}
	if len(q.eps) == 0 {
		return wait
	}
	return math.Max(wait, ramp)
}

// pitch is the time between messages that a queue sends one after another.
func (q *queue) pitch() float64 {
	pitch := q.mean / math.Max(1, float64(len(q.out)))
	if q.pace > 0 {
		pitch = math.Max(pitch, 1/(q.pace*float64(q.bundle)))
	}
	return pitch
}

// virtual feeds an arrival to the copy of a queue under the basic rule alone.
func (d *Dispatcher) virtual(q *queue, τ float64) {
	q.copyWork = math.Max(0, q.copyWork-(d.now-q.copyAt).Seconds())
	q.copyAt = d.now
	if q.copyWork > τ {
		q.misses.add(d.now, 1)
		return
	}
	q.copyWork += q.pitch()
}
