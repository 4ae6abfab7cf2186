package policy

// selectEndpoint returns the endpoint of a queue to which a message is sent now, or nil if no
// endpoint may get it.
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	for _, ep := range q.endpoints {
		if !d.acceptsCall(ep) || !d.retryAllowed(m, ep) {
			continue
		}
		if ep.health.isUnhealthy() && !d.trialAllowed(q, m) {
			continue
		}
		if best == nil || d.preferred(m, ep, best) {
			best = ep
		}
	}
	return best
}

// preferred reports whether endpoint a is preferred to endpoint b for a message. The criteria, in
// order: an unhealthy endpoint, whose trial request is due; a responsive endpoint; the lower
// penalty; fewer calls in flight; the relay's own zone; preferredByLastUse.
func (d *Dispatcher) preferred(m *message, a, b *endpoint) bool {
	if a.health.isUnhealthy() != b.health.isUnhealthy() {
		return a.health.isUnhealthy() // a trial request is due
	}
	if unresponsiveA, unresponsiveB := d.unresponsive(a), d.unresponsive(b); unresponsiveA != unresponsiveB {
		return unresponsiveB
	}
	if penaltyA, penaltyB := m.penalty(a), m.penalty(b); penaltyA != penaltyB {
		return penaltyA < penaltyB
	}
	if len(a.inFlight) != len(b.inFlight) {
		return len(a.inFlight) < len(b.inFlight)
	}
	if ownZoneA, ownZoneB := a.Zone == d.settings.Zone, b.Zone == d.settings.Zone; ownZoneA != ownZoneB {
		return ownZoneA
	}
	return d.preferredByLastUse(a, b)
}

// preferredByLastUse reports whether a is preferred to b if all other criteria are equal. In a
// fleet that keeps idle connections, the endpoint used last is preferred, because its connection
// may still be open. In a larger fleet, each relay uses its endpoints in rotation and starts at a
// random one; otherwise all relays would use the endpoint listed first and then stay with it.
func (d *Dispatcher) preferredByLastUse(a, b *endpoint) bool {
	if d.keepsIdleConns() {
		return a.lastUsed > b.lastUsed
	}
	return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && a.tieBreaker < b.tieBreaker
}

// penalty returns the consecutive failures of the message's class at an endpoint, plus one if the
// message's last attempt went there. Failures are counted by class because an endpoint may fail one
// class and serve the others.
func (m *message) penalty(ep *endpoint) float64 {
	failures := ep.classFailures[m.Class]
	if i := len(m.attempts); i > 0 && m.attempts[i-1].call.endpoint == ep {
		failures++
	}
	return failures
}

// acceptsCall reports whether an endpoint may get a call now.
func (d *Dispatcher) acceptsCall(ep *endpoint) bool {
	if ep.Draining || ep.Removed || ep.connLimit > 0 && float64(len(ep.inFlight)+1) > ep.connLimit {
		return false
	}
	if ep.health.isUnhealthy() {
		return ep.trialCalls() < maxTrialCalls && d.recoveryTokens(ep) >= 1
	}
	if ep.health == slowStart && d.recoveryTokens(ep) < 1 {
		return false
	}
	return !d.unresponsive(ep) || len(ep.inFlight) < maxTrialCalls
}

// unresponsive reports whether an endpoint's oldest call is overdue by unresponsiveFactor and no
// call to the endpoint has succeeded since that call was sent.
func (d *Dispatcher) unresponsive(ep *endpoint) bool {
	if len(ep.inFlight) == 0 || ep.queue.latency.mean == 0 {
		return false
	}
	oldest := ep.inFlight[0]
	return ep.lastSuccess <= oldest.sent && d.now >= d.overdueAt(oldest, unresponsiveFactor)
}
