package policy

import "time"

const (
	// unhealthyThreshold consecutive failures make an endpoint unhealthy; single errors are
	// ordinary.
	unhealthyThreshold = 2
	// answeredFailureWeight is what an error or a broken connection counts: something is alive
	// there.
	answeredFailureWeight = 0.5
	// unavailableAfter of nothing but rejections means that the destination is unavailable rather
	// than at its limit: longer than the spans in which destinations commonly count calls.
	unavailableAfter = 2500 * time.Millisecond
	// earlyUnhealthyChance is the probability that a single failure makes an endpoint unhealthy;
	// see unhealthyEarly.
	earlyUnhealthyChance = 0.5
)

// recordFailure counts a failure of an endpoint, with a weight. One of a call sent before its last
// success tells nothing new.
func (d *Dispatcher) recordFailure(ep *endpoint, c *call, weight float64) {
	for _, m := range c.messages {
		ep.classFailures[m.Class] += weight / float64(len(c.messages))
	}
	if ep.lastSuccess > c.sent {
		return
	}
	ep.consecutiveFailures += weight
	if ep.consecutiveFailures >= unhealthyThreshold ||
		d.unhealthyEarly(ep.queue, 1) && 2*ep.consecutiveFailures >= unhealthyThreshold {
		d.markUnhealthy(ep)
	}
}

// recordConnFailure counts a connection that was not to be had against all endpoints of a
// destination. It guards against an outage of them all that shows at each one late, where relays
// are so many that each has few calls; where they are so few that a third failure is long in
// coming, two do. An endpoint that is down by itself is unhealthy before the count gets there. A
// broken link looks like machines that are down: what is behind it is treated as cold as well, as
// it may be.
func (d *Dispatcher) recordConnFailure(ep *endpoint, c *call) {
	q := ep.queue
	if d.keepsIdleConns() || ep.health.isUnhealthy() || q.lastSuccess > c.sent {
		return
	}
	q.connFailures++
	if q.connFailures > unhealthyThreshold || d.lowTraffic(q) && q.connFailures >= unhealthyThreshold {
		d.markAllUnhealthy(q)
	}
}

// unhealthyEarly reports whether so many failures or rejections are all that may be seen before a
// destination counts as unhealthy. That costs what the recovery rate holds back where the
// destination was only at its limit; other relays, which were not rejected, use the capacity. Half
// of the relays may send one more trial request, by chance, but not after a Retry-After, when all
// would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) unhealthyEarly(q *queue, failures int) bool {
	if !d.lowTraffic(q) || q.lastSuccess > 0 && d.now-q.lastSuccess <= unavailableAfter {
		return false
	}
	return failures >= unhealthyThreshold || d.now < q.retryAfterUntil || d.random.Float64() < earlyUnhealthyChance
}

// markAllUnhealthy marks the endpoints of a queue unhealthy.
func (d *Dispatcher) markAllUnhealthy(q *queue) {
	for _, ep := range q.endpoints {
		d.markUnhealthy(ep)
	}
}

// markUnhealthy marks an endpoint unhealthy, if it isn't yet, and lets the messages of its route
// select another.
func (d *Dispatcher) markUnhealthy(ep *endpoint) {
	if ep.health.isUnhealthy() {
		return
	}
	q := ep.queue
	ep.health, ep.unhealthySince, q.unhealthy = unhealthy, d.now, true
	if !ep.Removed {
		d.unhealthyCount++
	}
	ep.recoveryBucket.tokens = d.initialRecoveryTokens(ep)
	ep.recoveryBucket.refilledAt = max(d.now, q.retryAfterUntil)
	d.emit(PersistHealth{Endpoint: ep.ID, Unhealthy: true, At: d.now})
	if q.separateRoute {
		d.rerouteQueued(q)
	}
}
