package policy

import "time"

const (
	// unhealthyThreshold is the number of weighted consecutive failures that make an endpoint
	// unhealthy. It is above 1 because single errors are common.
	unhealthyThreshold = 2
	// answeredFailureWeight is the weight of an error answer or a broken connection. It is below 1
	// because something at the endpoint responded.
	answeredFailureWeight = 0.5
	// unavailableAfter is the time of consecutive rejections after which a destination counts as
	// unavailable rather than at its rate limit. It is longer than common rate limit windows.
	unavailableAfter = 2500 * time.Millisecond
	// earlyUnhealthyChance is the probability that a single failure makes an endpoint unhealthy;
	// see unhealthyEarly.
	earlyUnhealthyChance = 0.5
)

// recordFailure counts a weighted failure of an endpoint and marks the endpoint unhealthy if there
// were enough consecutive failures. A failure of a call sent before the endpoint's last success
// does not count towards the endpoint's health, since it may be older than that success.
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

// recordConnFailure counts consecutive failures to connect across all endpoints of a queue, and
// marks all of them unhealthy when there were too many. In a large fleet each relay makes so few
// calls that it would detect an outage of the whole destination late at each endpoint. With low
// traffic, where a third failure would take long to occur, two failures suffice. A single endpoint
// that is down becomes unhealthy by its own failures before the count of the queue reaches the
// limit. A network partition cannot be distinguished from an outage, so endpoints behind a
// partition are treated as cold too, because they may be cold.
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

// unhealthyEarly reports whether the given number of failures or rejections suffices to treat a
// destination as unhealthy. This applies to low traffic only, where further requests would exceed
// this relay's share of what a cold destination bears. If the destination was merely at its rate
// limit, the cost is the calls that the recovery rate holds back; other relays, which were not
// rejected, use that capacity. After a single failure each relay decides at random, so that half of
// the relays may send one more trial request. During a Retry-After, a single failure always
// suffices, because otherwise those relays would all send at the end of the Retry-After. After a
// success within unavailableAfter, no number of failures suffices: the outage has only just begun
// and is not about to end.
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

// markUnhealthy marks an endpoint unhealthy unless it already is. If the endpoint is a separate
// route, the messages queued for it select their routes again.
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
