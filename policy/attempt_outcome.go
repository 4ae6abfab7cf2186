package policy

import (
	"math"
	"slices"
)

// attemptEnded takes in the outcome of an attempt.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	m := d.messages[e.ID]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return
	}
	a := &m.attempts[e.Attempt]
	a.open = false
	m.open--
	a.unrun = !e.OutcomeUnknown && (e.Outcome == Rejected || e.Outcome == ConnectError || e.Outcome == NotSent)
	c := a.call
	if e.LoadReport != nil {
		d.recordReportedLimit(c.endpoint.queue, e.LoadReport.RateLimit)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		c.endpoint.queue.retryAfterUntil = max(c.endpoint.queue.retryAfterUntil, d.now+min(e.RetryAfter, never-d.now))
		d.cancelBeforeSend(c.endpoint.queue.inFlight, c)
	}
	if c.open--; c.open == 0 {
		d.inFlight--
		c.endpoint.inFlight, c.endpoint.queue.inFlight = remove(c.endpoint.inFlight, c), remove(c.endpoint.queue.inFlight, c)
		d.recordOutcome(c, m, e)
		if !slices.Contains(d.idleCandidates, c.endpoint) {
			d.idleCandidates = append(d.idleCandidates, c.endpoint)
		}
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Canceled {
		m.cooldownUntil = d.now + d.settings.OrderKeyCooldown
	}
	switch {
	case e.Final || e.Outcome == Succeeded:
		d.complete(m)
	case m.over:
		d.evict(m)
	case m.open > 0:
	case m.Background, e.AttemptsExhausted || len(m.attempts) >= d.settings.MaxAttempts, d.now >= m.deadline-d.settings.BatchInterval,
		!d.retryAllowed(m, nil):
		d.giveUp(m)
	default:
		d.enqueue(d.selectRoute(m), m)
	}
}

// recordOutcome draws from a call's end what it tells, by its own time: a relay without turns hears late of it.
func (d *Dispatcher) recordOutcome(c *call, m *message, e AttemptEnded) {
	ep, q := c.endpoint, c.endpoint.queue
	if e.Latency <= 0 {
		e.Latency = d.now - c.sent
	}
	took := min(e.Latency, m.class.Deadline).Seconds()
	if c.sent+e.Latency >= d.overdueAt(c, stuckFactor) {
		d.unansweredShare *= 1 - latencyGain
		if e.Outcome != Succeeded {
			d.unansweredShare += latencyGain
		}
	}
	switch e.Outcome {
	case Succeeded:
		ep.latestSuccessSent, ep.lastLatency = max(ep.latestSuccessSent, c.sent), took
		q.observe(m.Class, took)
		d.latencyOfKind(q.kind).observe(m.Class, took)
		ep.classFailures[m.Class] = 0
		d.recordSuccess(ep, e.LoadReport == nil || e.LoadReport.Remaining >= minRemaining)
	case Rejected:
		if c.sent >= q.backoffStart {
			// A host that reports its limit in its answers, but not in this one, did not look at it: it has
			// all the connections it takes, or is shut.
			d.recordRejection(q, e.LoadReport == nil && q.reportedLimit > 0)
		}
	case ConnectError:
		if ep.lastSuccess > c.sent {
			// Others get through: the endpoint takes no more connections, it is not down.
			ep.connLimit = math.Max(1, float64(len(ep.inFlight)))
			return
		}
		d.recordConnFailure(ep, c)
		d.recordFailure(ep, c, 1)
	case Failed, ConnectionReset:
		d.recordFailure(ep, c, answeredFailureWeight)
	case TimedOut, Canceled:
		if took > stuckFactor*q.meanLatency && (e.Outcome == TimedOut || c.cancelled) {
			d.recordFailure(ep, c, 1)
		}
	}
}
