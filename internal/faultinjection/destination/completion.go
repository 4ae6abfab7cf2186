package destination

import (
	"slices"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// complete completes an attempt, and begins the next one that waits.
func (m *Model) complete(e *endpoint, a *Attempt) {
	e.removeExecuting(a)
	executed := e.hasEffect(a)
	if !executed {
		m.forgetKey(a)
	}
	m.addCompletion(Completion{Attempt: a, Outcome: a.outcome, Executed: executed})
	e.beginQueued(m.now)
}

// hasEffect reports whether an attempt that completes now had its effect. Half of the errors come after the effect, so that nobody
// can tell from the response.
func (e *endpoint) hasEffect(a *Attempt) bool {
	if a.duplicate {
		return false
	}
	return a.outcome != OutcomeError || a.Draw < e.currentErrorShare()/2
}

// Cancel takes back an attempt whose response nobody waits for: it was cancelled or timed out, or its connection broke.
func (m *Model) Cancel(now time.Duration, a *Attempt) []Action {
	m.advance(now)
	e := m.endpoints[a.endpoint]
	switch m.spec.CancelBehavior {
	case scenario.CancelIgnored:
	case scenario.CancelLeavesQueue:
		m.dropQueued(e, a)
	case scenario.CancelStopsAttempt:
		m.dropQueued(e, a)
		m.stopExecuting(e, a)
	}
	return m.takeActions()
}

func (m *Model) dropQueued(e *endpoint, a *Attempt) {
	if e.isQueued(a) {
		e.removeQueued(a)
		m.forgetKey(a)
	}
}

func (m *Model) stopExecuting(e *endpoint, a *Attempt) {
	if e.isExecuting(a) {
		e.removeExecuting(a)
		m.forgetKey(a)
		e.beginQueued(m.now)
	}
}

// loseAttempts drops all attempts of an endpoint. None of them has its effect.
func (m *Model) loseAttempts(e *endpoint) {
	for _, a := range slices.Concat(e.executing, e.queue) {
		m.forgetKey(a)
	}
	e.executing, e.queue = nil, nil
}
