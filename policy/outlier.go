package policy

import (
	"math"
	"time"
)

const (
	// unhealthyThreshold failures in a row mark an endpoint sick; single errors are ordinary. An error or a
	// broken connection counts for answeredFailure: something is alive there.
	unhealthyThreshold, answeredFailureWeight = 2, 0.5
	// unavailableAfter of nothing but refusals means that the destination is shut rather than at its limit:
	// longer than the spans in which receivers commonly count calls.
	unavailableAfter = 2500 * time.Millisecond
)

// recordFailure notes a failure of an endpoint; one of a call sent before its last success tells nothing new.
func (d *Dispatcher) recordFailure(ep *endpoint, c *call, n float64) {
	for _, m := range c.messages {
		ep.classFailures[m.Class] += n / float64(len(c.messages))
	}
	if ep.lastSuccess > c.sent {
		return
	}
	ep.consecutiveFailures += n
	if ep.consecutiveFailures >= unhealthyThreshold || d.unhealthyEarly(ep.queue, 1) && 2*ep.consecutiveFailures >= unhealthyThreshold {
		d.markUnhealthy(ep)
	}
}

// recordConnFailure notes a connection that could not be had against all endpoints of a destination. It guards
// against an outage of them all that shows at each one late, where relays are so many that each has few
// calls; where they are so few that a third is long in coming, two do. An endpoint that is out by itself is
// sick before it is more than that. A link that is cut looks like machines that are gone: what is behind it
// is treated as cold as well, as it may be.
func (d *Dispatcher) recordConnFailure(ep *endpoint, c *call) {
	q := ep.queue
	if d.keepsIdleConns() || ep.sick || q.lastSuccess > c.sent {
		return
	}
	q.connFailures++
	if q.connFailures > unhealthyThreshold || d.lowTraffic(q) && q.connFailures >= unhealthyThreshold {
		for _, other := range q.endpoints {
			d.markUnhealthy(other)
		}
	}
}

// unhealthyEarly tells whether n failures or refusals are all that may be seen before the budget is kept to. That
// costs what the budget holds back where the destination was only at its limit; others, who were not
// refused, use the room. Half of the relays may knock once more, by chance, but not after a told wait,
// when all would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) unhealthyEarly(q *queue, n int) bool {
	if !d.lowTraffic(q) || q.lastSuccess > 0 && d.now-q.lastSuccess <= unavailableAfter {
		return false
	}
	return n >= unhealthyThreshold || d.now < q.retryAfterUntil || d.random.Float64() < earlyUnhealthyChance
}

// markUnhealthy marks an endpoint sick and lets the messages of its route choose again.
func (d *Dispatcher) markUnhealthy(ep *endpoint) {
	if ep.sick {
		return
	}
	ep.sick, ep.ramping, ep.unhealthySince, ep.queue.unhealthy = true, false, d.now, true
	if !ep.Removed {
		d.unhealthyCount++
	}
	ep.tokens, ep.refilledAt = d.initialRecoveryTokens(ep), max(d.now, ep.queue.retryAfterUntil)
	d.emit(PersistHealth{Endpoint: ep.ID, Unhealthy: true, At: d.now})
	if ep.queue.separateRoute {
		d.rerouteQueued(ep.queue)
	}
}

// recordSuccess notes a success: an endpoint that was sick starts its ramp.
func (d *Dispatcher) recordSuccess(ep *endpoint, room bool) {
	q := ep.queue
	ep.consecutiveFailures, ep.lastSuccess, q.lastSuccess = 0, d.now, d.now
	if ep.connLimit > 0 {
		ep.connLimit += connLimitIncrease // other relays close idle connections
	}
	if ep.sick {
		d.recoveryTokens(ep)
		ep.sick, ep.ramping, ep.recoveredAt = false, true, d.now
		if !ep.Removed {
			d.unhealthyCount--
		}
		ep.tokens = math.Max(ep.tokens, d.initialRecoveryTokens(ep))
		d.emit(PersistHealth{Endpoint: ep.ID, At: d.now})
		for _, other := range q.endpoints {
			other.tokens = math.Max(other.tokens, 1) // outages mostly end for a whole destination
		}
	}
	q.rejections, q.connFailures, q.unhealthy = 0, 0, false
	if room && !ep.ramping && !d.keepsIdleConns() {
		q.reusableConn = ep
	}
	if q.sendRate > 0 && len(q.queued) > 0 && room {
		own := math.Max(d.evenShare(q), math.Min(q.sendRate, minCallsPerSpan/countingSpan.Seconds()))
		q.sendRate = math.Min(q.sendRate+rateIncrease*own*math.Min(1, maxIncreasesPerSecond/q.sendRate), q.totalRate())
	}
}
