package policy

// recoverMessage puts a message that an earlier process accepted back into its queue, with the
// attempts made for it. One whose outcome is decided blocks its order key until that is
// acknowledged.
func (d *Dispatcher) recoverMessage(m *message) {
	if m.OutcomeDecided {
		d.completeWithNotice(m)
		return
	}
	for _, prior := range m.PriorAttempts {
		d.recoverAttempt(m, prior)
	}
	if m.openAttempts > 0 {
		return // its AttemptEnded decides what becomes of it
	}
	if m.Background && len(m.attempts) > 0 {
		d.giveUp(m) // it had its one attempt
		return
	}
	d.enqueue(d.selectRoute(m), m)
}

// recoverAttempt adds an attempt that an earlier process made.
func (d *Dispatcher) recoverAttempt(m *message, prior PriorAttempt) {
	ep := d.endpoints[prior.Endpoint]
	if ep == nil {
		ep = d.unlistedEndpoint(prior.Endpoint, m.Destination)
	}
	c := &call{endpoint: ep, sent: prior.SentAt, messages: []*message{m}}
	a := attempt{call: c, sent: prior.SentAt, state: attemptEnded}
	switch {
	case prior.InFlight:
		a.state = attemptInFlight
		c.open = 1
		m.openAttempts++
		d.trackCall(c)
	case prior.NotExecuted:
		a.state = attemptNotExecuted
	default:
		m.cooldownUntil = max(m.cooldownUntil, d.now+d.settings.OrderKeyCooldown)
	}
	m.attempts = append(m.attempts, a)
}

// unlistedEndpoint returns an endpoint that has left the list. Its zone is not known any more: a
// repeat that has to stay in that zone has nowhere to go.
func (d *Dispatcher) unlistedEndpoint(id string, destination int) *endpoint {
	return &endpoint{
		Endpoint:      Endpoint{ID: id, Destination: destination, Zone: unknownZone, Removed: true},
		queue:         d.destination(destination).queues[0],
		classFailures: make([]float64, len(d.settings.Classes)),
	}
}

// recoverHealth restores an endpoint's outage or slow start from an earlier process, so that a
// restart in the middle of either does not send to a cold destination as to a warm one.
func (d *Dispatcher) recoverHealth(e HealthRecovered) {
	ep := d.endpoints[e.Endpoint]
	switch {
	case ep == nil:
	case e.Unhealthy:
		d.markUnhealthy(ep)
	case d.now-e.At < d.settings.SlowStartTime:
		ep.health, ep.recoveredAt = ep.health.recoveryRecorded(), e.At
	}
}
