package destination

import "time"

// changeEndpoints changes one endpoint or all, apart from removed ones.
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

// Fail puts an endpoint, or all, into a mode; share is the share of attempts that fail in ModeFailing. An endpoint that is down
// loses its attempts.
func (m *Model) Fail(now time.Duration, number int, mode Mode, share float64) []Action {
	if number == AllEndpoints {
		m.overload.downUntil = 0 // this outage replaces one by overload
	}
	return m.changeEndpoints(now, number, func(e *endpoint) {
		e.mode, e.errorShare = mode, share
		if mode.isDown() {
			m.loseAttempts(e)
		}
	})
}

// Recover ends the outage of an endpoint, or of all. A cold endpoint begins its slow start. It has no effect on a destination that is
// down by overload.
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

// SetSlowdown divides the speed of an endpoint, or of all.
func (m *Model) SetSlowdown(now time.Duration, number int, factor float64) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.slowdown = factor })
}

// SetResetShare sets the share of attempts that end by a reset connection after the request body.
func (m *Model) SetResetShare(now time.Duration, number int, share float64) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.resetShare = share })
}

// SetStopped stops the execution of attempts at an endpoint, or at all, or lets it go on.
func (m *Model) SetStopped(now time.Duration, number int, stopped bool) []Action {
	return m.changeEndpoints(now, number, func(e *endpoint) { e.stopped = stopped })
}

// DrainEndpoint has an endpoint complete its attempts and reject new ones.
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
