package destination

import (
	"slices"
	"time"
)

// NextDue returns when the model next has to be advanced if no other method is called before.
func (m *Model) NextDue() time.Duration {
	next := min(m.reports.nextDue(), m.overload.nextDue())
	for _, e := range m.endpoints {
		next = min(next, e.pauseChange, e.nextDue())
	}
	return next
}

// Advance advances the model to a time, and returns the actions that became due.
func (m *Model) Advance(now time.Duration) []Action {
	m.advance(now)
	return m.takeActions()
}

func (m *Model) advance(now time.Duration) {
	for {
		due := m.NextDue()
		if due > now {
			break
		}
		m.now = max(m.now, due)
		m.runDue()
	}
	m.now = max(m.now, now)
}

// runDue handles all events that are due now.
func (m *Model) runDue() {
	recovers := m.overload.endsBy(m.now)
	for i, e := range m.endpoints {
		for _, a := range slices.Clone(e.executing) { // complete changes e.executing
			if e.due(a) <= m.now {
				m.complete(e, a)
			}
		}
		if e.pauseChange <= m.now {
			e.togglePause(m.now)
		}
		if recovers {
			m.recoverFromOverload(i)
		}
	}
	if recovers {
		m.overload.downUntil = 0
	}
	m.updateLoadReports()
}
