package destination

import "time"

// changeEndpoints applies a change to one endpoint or to all. It leaves out removed endpoints.
func (m *Model) changeEndpoints(now time.Duration, number int, change func(e *endpoint)) []Action {
	m.advance(now)
	for i, e := range m.endpoints {
		if (number == AllEndpoints || number == i) && !e.removed {
			e.recordProgress(m.now)
			change(e)
		}
	}
	return m.takeActions()
}

// Fail puts one endpoint or all into a mode; share is the share of attempts that fail in ModeFailing. A mode that takes
// an endpoint down also drops the attempts that the endpoint is executing or has queued.
func (m *Model) Fail(now time.Duration, number int, mode Mode, share float64) []Action {
	if number == AllEndpoints {
		m.overload.downUntil = 0 // the new outage replaces an outage by overload
	}
	return m.changeEndpoints(now, number, func(e *endpoint) {
		e.mode, e.errorShare = mode, share
		if mode.isDown() {
			m.loseAttempts(e)
		}
	})
}

// Recover ends the outage of one endpoint or of all. If cold is set, the endpoints begin their slow start. Recover has no effect on a
// destination that is down by overload.
func (m *Model) Recover(now time.Duration, number int, cold bool) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) {
		if m.overload.downUntil > now {
			return
		}
		e.mode, e.cold, e.warmFrom = ModeServing, cold, now
		m.overload.arrivals = nil
		e.beginQueued(m.now)
	})
}

// SetSlowdown divides the speed of one endpoint or of all by a factor.
func (m *Model) SetSlowdown(now time.Duration, number int, factor float64) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.slowdown = factor })
}

// SetResetShare sets the share of attempts whose connection is reset after the request body, for one endpoint or for all.
func (m *Model) SetResetShare(now time.Duration, number int, share float64) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.resetShare = share })
}

// SetStopped stops or resumes the execution of attempts at one endpoint or at all.
func (m *Model) SetStopped(now time.Duration, number int, stopped bool) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.stopped = stopped })
}

// DrainEndpoint drains an endpoint: it completes the attempts that it has, and rejects new ones.
func (m *Model) DrainEndpoint(now time.Duration, number int) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.draining = true })
}

// RemoveEndpoint removes an endpoint. Its attempts are lost.
func (m *Model) RemoveEndpoint(now time.Duration, number int) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) {
		m.loseAttempts(e)
		e.removed, e.mode = true, ModeRefusing
	})
}
