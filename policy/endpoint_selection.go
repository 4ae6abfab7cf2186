package policy

const (
	// fewSlots for a silent or sick endpoint: one call that may be stuck, one that tries.
	fewSlots = 2
)

// endpoint chooses where in a queue a message goes: a sick endpoint whose trial is due, else a healthy
// one with the fewest calls out, in the relay's own zone; of these the one used last, whose connection may
// still stand, or in turns, from a lot of the relay's own on, where relays are too many to keep connections.
func (d *Dispatcher) endpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	for _, ep := range q.eps {
		if !d.open(ep) || !d.repeatable(m, ep) || ep.sick && len(m.attempts) > 0 && len(q.eps) > 1 {
			continue
		}
		if best == nil || d.better(m, ep, best) {
			best = ep
		}
	}
	return best
}

func (d *Dispatcher) better(m *message, a, b *endpoint) bool {
	if a.sick != b.sick {
		return a.sick // its trial is due
	}
	if s, t := d.silent(a), d.silent(b); s != t {
		return t
	}
	if s, t := m.against(a), m.against(b); s != t {
		return s < t
	}
	if len(a.out) != len(b.out) {
		return len(a.out) < len(b.out)
	}
	if near, far := a.Zone == d.s.Zone, b.Zone == d.s.Zone; near != far {
		return near
	}
	if d.keeps() {
		return a.lastUsed > b.lastUsed // its connection may still stand
	}
	// Guards against a fleet in which each relay has reason to take the same endpoint: the first listed, then
	// the one it took last.
	return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && a.lot < b.lot
}

// against counts what speaks against an endpoint for a message: failures of its class in a row, and a
// try of its own, the last, that did not succeed. An endpoint may fail one class and serve the others.
func (m *message) against(ep *endpoint) float64 {
	n := ep.strikes[m.Class]
	if i := len(m.attempts); i > 0 && m.attempts[i-1].call.ep == ep {
		n++
	}
	return n
}

// open tells whether an endpoint may get a call now.
func (d *Dispatcher) open(ep *endpoint) bool {
	if ep.Draining || ep.Removed || ep.connCap > 0 && float64(len(ep.out)+1) > ep.connCap {
		return false
	}
	if ep.sick {
		trials := 0
		for _, c := range ep.out {
			if c.sent >= ep.sickAt {
				trials++
			}
		}
		return trials < fewSlots && d.epTokens(ep) >= 1
	}
	if ep.ramping && d.epTokens(ep) < 1 {
		return false
	}
	return !d.silent(ep) || len(ep.out) < fewSlots
}

// silent tells whether an endpoint has a call out for far longer than usual and no success since it.
func (d *Dispatcher) silent(ep *endpoint) bool {
	if len(ep.out) == 0 || ep.q.mean == 0 {
		return false
	}
	return ep.lastOK <= ep.out[0].sent && d.now >= d.lateAt(ep.out[0], silentAfter)
}
