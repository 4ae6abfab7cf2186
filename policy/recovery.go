package policy

// resume puts a message that an earlier process admitted back into its queue, with the attempts made for it. One whose end is
// decided holds its key until that is known.
func (d *Dispatcher) resume(m *message) {
	if m.OutcomeDecided {
		d.told(m)
		return
	}
	for _, t := range m.PriorAttempts {
		ep := d.endpoints[t.Endpoint]
		if ep == nil {
			// Its zone is not known any more: a repeat that has to stay in it has nowhere to go.
			ep = &endpoint{
				Endpoint: Endpoint{ID: t.Endpoint, Destination: m.Destination, Zone: nowhere, Removed: true},
				q:        d.dest(m.Destination).queues[0], strikes: make([]float64, len(d.s.Classes)),
			}
		}
		c := &call{ep: ep, sent: t.SentAt, msgs: []*message{m}}
		m.attempts = append(m.attempts, attempt{call: c, sent: t.SentAt, unrun: t.NotExecuted, open: t.InFlight})
		if t.InFlight {
			c.open, m.open = 1, m.open+1
			d.out++
			ep.out, ep.q.out = append(ep.out, c), append(ep.q.out, c)
			d.wake(ep.q)
			continue
		}
		if !t.NotExecuted {
			m.rest = max(m.rest, d.now+d.s.OrderKeyCooldown)
		}
	}
	if m.open > 0 {
		return // its end tells what becomes of it
	}
	if m.Background && len(m.attempts) > 0 {
		d.giveUp(m) // it had its attempt
		return
	}
	d.hold(d.route(m), m)
}

// recall takes over an endpoint's outage or ramp from an earlier process, so that a restart in the middle of
// either does not send to a cold destination as to a warm one.
func (d *Dispatcher) recall(e HealthRecovered) {
	ep := d.endpoints[e.Endpoint]
	switch {
	case ep == nil:
	case e.Unhealthy:
		d.sicken(ep)
	case d.now-e.At < d.s.SlowStartTime:
		ep.ramping, ep.recovered = true, e.At
	}
}
