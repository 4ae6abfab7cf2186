package policy

// recoverMessage restores a message that an earlier process accepted, with its attempts, and queues
// it unless an attempt is in flight. A message whose outcome is decided only blocks its order key
// until the outcome is acknowledged.
func (d *Dispatcher) recoverMessage(m *message) {
	if m.OutcomeDecided {
		d.completeWithNotice(m)
		return
	}
	for _, prior := range m.PriorAttempts {
		d.recoverAttempt(m, prior)
	}
	if m.openAttempts > 0 {
		return // the AttemptEnded that follows determines how the message continues
	}
	if m.Background && len(m.attempts) > 0 {
		d.giveUp(m) // a background message has one attempt
		return
	}
	d.enqueue(d.selectRoute(m), m)
}

// recoverAttempt adds an attempt of an earlier process to a message.
func (d *Dispatcher) recoverAttempt(m *message, prior PriorAttempt) {
	a := d.endedAttempt(m, prior)
	switch {
	case prior.InFlight:
		a.state = attemptInFlight
		a.call.pendingOutcomes = 1
		m.openAttempts++
		d.trackCall(a.call)
	case !prior.NotExecuted:
		m.cooldownUntil = max(m.cooldownUntil, d.now+d.settings.OrderKeyCooldown)
	}
	m.attempts = append(m.attempts, a)
}

// endedAttempt returns an attempt of a message that is not in flight.
func (d *Dispatcher) endedAttempt(m *message, prior PriorAttempt) attempt {
	ep := d.endpoints[prior.Endpoint]
	if ep == nil {
		ep = d.unlistedEndpoint(prior.Endpoint, m.Destination)
	}
	state := attemptEnded
	if prior.NotExecuted {
		state = attemptNotExecuted
	}
	return attempt{
		call: &call{endpoint: ep, sent: prior.SentAt, messages: []*message{m}},
		sent: prior.SentAt, state: state,
	}
}

// unlistedEndpoint returns an endpoint that is no longer listed. Its zone is unknown, so a retry
// that must stay in the zone of an attempt there is not possible.
func (d *Dispatcher) unlistedEndpoint(id string, destination int) *endpoint {
	return &endpoint{
		Endpoint:      Endpoint{ID: id, Destination: destination, Zone: unknownZone, Removed: true},
		queue:         d.destination(destination).queues[0],
		classFailures: make([]float64, len(d.settings.Classes)),
	}
}

// recoverHealth restores an endpoint's outage or slow start as recorded by an earlier process, so
// that a relay restarted during either does not send calls to a cold destination at the rate of a
// warm one.
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
