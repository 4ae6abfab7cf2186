package destination

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// Arrive processes an attempt whose last byte has arrived at an endpoint.
func (m *Model) Arrive(now time.Duration, endpoint int, a *Attempt) []Action {
	m.advance(now)
	a.endpoint = endpoint
	m.recordArrival()
	m.admit(m.endpoints[endpoint], a)
	return m.takeActions()
}

// admit executes, queues or rejects an attempt. An attempt at an endpoint that is down gets no response.
func (m *Model) admit(e *endpoint, a *Attempt) {
	if e.mode.isDown() {
		return
	}
	if e.mode == ModeOverloaded || !e.acceptsAttempts() || a.OverConnectionLimit {
		m.reject(a, 0)
		return
	}
	if ok, wait := m.takeFromLimit(); !ok {
		m.reject(a, wait)
		return
	}
	if a.Probe {
		m.addCompletion(Completion{Attempt: a, Outcome: OutcomeDelivered})
		return
	}
	if m.keys.has(a.Key, m.now) {
		a.duplicate, a.ServiceTime = true, 0
	}
	a.outcome = e.decideOutcome(a)
	switch {
	case len(e.executing) < m.spec.Concurrency:
		m.rememberKey(a)
		e.begin(m.now, a)
	case len(e.queue) < m.spec.QueueLength:
		m.rememberKey(a)
		e.queue = append(e.queue, a)
	default:
		m.refundLimit()
		m.reject(a, m.timeUntilFree(e))
	}
}

// reject rejects an attempt, with a Retry-After if the destination sends one and the wait is known.
func (m *Model) reject(a *Attempt, wait time.Duration) {
	c := Completion{Attempt: a, Outcome: OutcomeUnavailable}
	if wait > 0 && m.spec.RejectionInfo == scenario.RejectionSaysWait {
		c.Outcome, c.RetryAfter = OutcomeRetryAfter, wait
	}
	m.addCompletion(c)
}

// timeUntilFree returns the time until an endpoint completes its next attempt, or 0 if that time is unknown.
func (m *Model) timeUntilFree(e *endpoint) time.Duration {
	next := e.nextDue()
	if next == never {
		return 0
	}
	return max(time.Millisecond, next-m.now)
}

// decideOutcome returns the outcome that an attempt gets when it is executed. The attempt's Draw decides the outcome.
func (e *endpoint) decideOutcome(a *Attempt) Outcome {
	errorShare := e.currentErrorShare()
	switch {
	case a.Draw < errorShare:
		return OutcomeError
	case a.Draw < errorShare+(1-errorShare)*e.resetShare:
		return OutcomeReset
	default:
		return OutcomeDelivered
	}
}

// currentErrorShare returns the share of attempts that get an error at present.
func (e *endpoint) currentErrorShare() float64 {
	if e.mode == ModeFailing {
		return max(e.spec.ErrorRate, e.errorShare)
	}
	return e.spec.ErrorRate
}
