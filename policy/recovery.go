package policy

// recoverMessage puts a message that an earlier process admitted back into its queue, with the attempts made for it. One whose end is
// decided holds its key until that is known.
func (d *Dispatcher) recoverMessage(m *message) {
	if m.OutcomeDecided {
		d.completeAndAwaitAck(m)
		return
	}
	for _, t := range m.PriorAttempts {
		ep := d.endpoints[t.Endpoint]
		if ep == nil {
			// Its zone is not known any more: a repeat that has to stay in it has nowhere to go.
			ep = &endpoint{
				Endpoint: Endpoint{ID: t.Endpoint, Destination: m.Destination, Zone: unknownZone, Removed: true},
				queue:    d.destination(m.Destination).queues[0], classFailures: make([]float64, len(d.settings.Classes)),
			}
		}
		c := &call{endpoint: ep, sent: t.SentAt, messages: []*message{m}}
		m.attempts = append(m.attempts, attempt{call: c, sent: t.SentAt, unrun: t.NotExecuted, open: t.InFlight})
		if t.InFlight {
			c.open, m.open = 1, m.open+1
			d.inFlight++
			ep.inFlight, ep.queue.inFlight = append(ep.inFlight, c), append(ep.queue.inFlight, c)
			d.activate(ep.queue)
			continue
		}
		if !t.NotExecuted {
			m.cooldownUntil = max(m.cooldownUntil, d.now+d.settings.OrderKeyCooldown)
		}
	}
	if m.open > 0 {
		return // its end tells what becomes of it
	}
	if m.Background && len(m.attempts) > 0 {
		d.giveUp(m) // it had its attempt
		return
	}
	d.enqueue(d.selectRoute(m), m)
}

// recoverHealth takes over an endpoint's outage or ramp from an earlier process, so that a restart in the middle of
// either does not send to a cold destination as to a warm one.
func (d *Dispatcher) recoverHealth(e HealthRecovered) {
	ep := d.endpoints[e.Endpoint]
	switch {
	case ep == nil:
	case e.Unhealthy:
		d.markUnhealthy(ep)
	case d.now-e.At < d.settings.SlowStartTime:
		ep.ramping, ep.recoveredAt = true, e.At
	}
}
