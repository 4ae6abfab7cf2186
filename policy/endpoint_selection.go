package policy

const (
	// maxTrialCalls for a silent or sick endpoint: one call that may be stuck, one that tries.
	maxTrialCalls = 2
)

// selectEndpoint chooses where in a queue a message goes: a sick endpoint whose trial is due, else a healthy
// one with the fewest calls out, in the relay's own zone; of these the one used last, whose connection may
// still stand, or in turns, from a lot of the relay's own on, where relays are too many to keep connections.
func (d *Dispatcher) selectEndpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	for _, ep := range q.endpoints {
		if !d.acceptsCall(ep) || !d.retryAllowed(m, ep) || ep.sick && len(m.attempts) > 0 && len(q.endpoints) > 1 {
			continue
		}
		if best == nil || d.preferred(m, ep, best) {
			best = ep
		}
	}
	return best
}

func (d *Dispatcher) preferred(m *message, a, b *endpoint) bool {
	if a.sick != b.sick {
		return a.sick // its trial is due
	}
	if s, t := d.unresponsive(a), d.unresponsive(b); s != t {
		return t
	}
	if s, t := m.penalty(a), m.penalty(b); s != t {
		return s < t
	}
	if len(a.inFlight) != len(b.inFlight) {
		return len(a.inFlight) < len(b.inFlight)
	}
	if near, far := a.Zone == d.settings.Zone, b.Zone == d.settings.Zone; near != far {
		return near
	}
	if d.keepsIdleConns() {
		return a.lastUsed > b.lastUsed // its connection may still stand
	}
	// Guards against a fleet in which each relay has reason to take the same endpoint: the first listed, then
	// the one it took last.
	return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && a.tieBreaker < b.tieBreaker
}

// penalty counts what speaks against an endpoint for a message: failures of its class in a row, and a
// try of its own, the last, that did not succeed. An endpoint may fail one class and serve the others.
func (m *message) penalty(ep *endpoint) float64 {
	n := ep.classFailures[m.Class]
	if i := len(m.attempts); i > 0 && m.attempts[i-1].call.endpoint == ep {
		n++
	}
	return n
}

// acceptsCall tells whether an endpoint may get a call now.
func (d *Dispatcher) acceptsCall(ep *endpoint) bool {
	if ep.Draining || ep.Removed || ep.connLimit > 0 && float64(len(ep.inFlight)+1) > ep.connLimit {
		return false
	}
	if ep.sick {
		trials := 0
		for _, c := range ep.inFlight {
			if c.sent >= ep.unhealthySince {
				trials++
			}
		}
		return trials < maxTrialCalls && d.recoveryTokens(ep) >= 1
	}
	if ep.ramping && d.recoveryTokens(ep) < 1 {
		return false
	}
	return !d.unresponsive(ep) || len(ep.inFlight) < maxTrialCalls
}

// unresponsive tells whether an endpoint has a call out for far longer than usual and no success since it.
func (d *Dispatcher) unresponsive(ep *endpoint) bool {
	if len(ep.inFlight) == 0 || ep.queue.meanLatency == 0 {
		return false
	}
	return ep.lastSuccess <= ep.inFlight[0].sent && d.now >= d.overdueAt(ep.inFlight[0], unresponsiveFactor)
}
