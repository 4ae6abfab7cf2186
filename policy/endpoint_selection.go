package policy

// selectEndpoint returns the endpoint of a queue that a message goes to, or nil if none takes it
// now.
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	for _, ep := range q.endpoints {
		if !d.acceptsCall(ep) || !d.retryAllowed(m, ep) {
			continue
		}
		if ep.health.isUnhealthy() && !d.mayTry(q, m) {
			continue
		}
		if best == nil || d.preferred(m, ep, best) {
			best = ep
		}
	}
	return best
}

// preferred reports whether a message goes to endpoint a rather than to b: to an unhealthy one
// whose trial request is due, else to a responsive one that has not failed the message or its
// class, with the fewest calls in flight, in the relay's own zone.
func (d *Dispatcher) preferred(m *message, a, b *endpoint) bool {
	if a.health.isUnhealthy() != b.health.isUnhealthy() {
		return a.health.isUnhealthy() // its trial request is due
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

// preferredByLastUse reports whether a goes before b among equals. Where relays keep idle
// connections it is the endpoint used last, whose connection may still be open. Where they don't,
// endpoints take turns, from a random one on: that guards against a fleet in which each relay has
// reason to take the same endpoint, the first listed and then the one it took last.
func (d *Dispatcher) preferredByLastUse(a, b *endpoint) bool {
	if d.keepsIdleConns() {
		return a.lastUsed > b.lastUsed
	}
	return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && a.tieBreaker < b.tieBreaker
}

// penalty counts what speaks against an endpoint for a message: consecutive failures of its class,
// and its own last attempt there. An endpoint may fail one class and serve the others.
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

// unresponsive reports whether an endpoint has a call in flight for far longer than usual and no
// success since it was sent.
func (d *Dispatcher) unresponsive(ep *endpoint) bool {
	if len(ep.inFlight) == 0 || ep.queue.latency.mean == 0 {
		return false
	}
	oldest := ep.inFlight[0]
	return ep.lastSuccess <= oldest.sent && d.now >= d.overdueAt(oldest, unresponsiveFactor)
}
