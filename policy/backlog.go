package policy

import (
	"math"
)

// backlog is u: messages held ahead × mean latency ÷ calls out, and at least what a wait, a pace or a
// ramp implies; zero with a slot free and nothing held.
func (d *Dispatcher) backlog(q *queue) float64 {
	u := float64(len(q.queued)) * d.agedLatency(q) / math.Max(1, float64(len(q.inFlight)))
	return math.Max(u, d.timeToNextSend(q, len(q.queued)))
}

// timeToNextSend is the time until the next call of a queue may leave with n messages ahead of it, as far as
// waits, pace and health tell.
func (d *Dispatcher) timeToNextSend(q *queue, n int) float64 {
	wait := math.Max(0, (q.pausedUntil() - d.now).Seconds())
	calls := float64(n) / float64(q.maxBatch)
	if q.sendRate > 0 {
		wait = math.Max(wait, (calls+1-d.sendTokens(q))/q.sendRate)
	}
	ramp := math.Inf(1)
	for _, ep := range q.endpoints {
		if !ep.sick && !ep.ramping {
			return wait
		}
		// The next trial, and if it succeeds the others at the budget of a half-warm endpoint.
		first := math.Max(0, 1-d.recoveryTokens(ep)) / math.Max(1e-9, d.recoveryRate(ep, d.timeSinceRecovery(ep)))
		half := d.recoveryRate(ep, max(d.timeSinceRecovery(ep), d.settings.SlowStartTime/2)) * float64(len(q.endpoints))
		ramp = math.Min(ramp, first+calls/math.Max(1e-9, half))
	}
	if len(q.endpoints) == 0 {
		return wait
	}
	return math.Max(wait, ramp)
}

// serviceInterval is the time between messages that a queue sends one after another.
func (q *queue) serviceInterval() float64 {
	pitch := q.meanLatency / math.Max(1, float64(len(q.inFlight)))
	if q.sendRate > 0 {
		pitch = math.Max(pitch, 1/(q.sendRate*float64(q.maxBatch)))
	}
	return pitch
}

// feedShadowQueue feeds an arrival to the copy of a queue under the basic rule alone.
func (d *Dispatcher) feedShadowQueue(q *queue, τ float64) {
	q.shadowBacklog = math.Max(0, q.shadowBacklog-(d.now-q.shadowAt).Seconds())
	q.shadowAt = d.now
	if q.shadowBacklog > τ {
		q.shadowRejections.add(d.now, 1)
		return
	}
	q.shadowBacklog += q.serviceInterval()
}
