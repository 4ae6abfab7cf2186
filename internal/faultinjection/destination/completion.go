package destination

import (
	"slices"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// complete completes an attempt, and begins the next queued one.
func (m *Model) complete(e *endpoint, a *Attempt) {
	e.removeExecuting(a)
	executed := e.hasEffect(a)
	if !executed {
		m.forgetKey(a)
	}
	m.addCompletion(Completion{Attempt: a, Outcome: a.outcome, Executed: executed})
	e.beginQueued(m.now)
}

// hasEffect reports whether an attempt that completes now had its effect. Half of the attempts that get an error had their effect, so
// that a client cannot infer from the response whether its request was executed.
func (e *endpoint) hasEffect(a *Attempt) bool {
	if a.duplicate {
		return false
	}
	return a.outcome != OutcomeError || a.Draw < e.currentErrorShare()/2
}

// Cancel cancels an attempt whose caller no longer waits for the response, because the caller cancelled it, because it timed out, or
// because its connection broke. The destination's cancel behavior decides whether the attempt is unaffected, is only dropped
// if queued, or is also stopped if executing.
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
