package policy

import (
	"math"
	"slices"
)

// attemptEnded applies the outcome of an attempt. One that is not in flight is ignored.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	m := d.messages[e.ID]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || m.attempts[e.Attempt].state != attemptInFlight {
		return
	}
	a := &m.attempts[e.Attempt]
	a.state = attemptEnded
	if e.notExecuted() {
		a.state = attemptNotExecuted
	}
	m.openAttempts--
	c := a.call
	q := c.endpoint.queue
	if e.LoadReport != nil {
		d.recordReportedLimit(q, e.LoadReport.RateLimit)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		q.retryAfterUntil = max(q.retryAfterUntil, d.now+min(e.RetryAfter, never-d.now))
		d.cancelBeforeSend(q.inFlight, c)
	}
	if c.open--; c.open == 0 {
		d.callEnded(c, m, &e)
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Canceled {
		m.cooldownUntil = d.now + d.settings.OrderKeyCooldown // it may still be executing
	}
	d.afterAttempt(m, &e)
}

// notExecuted reports whether an outcome proves that the attempt did not execute.
func (e *AttemptEnded) notExecuted() bool {
	return !e.OutcomeUnknown && (e.Outcome == Rejected || e.Outcome == ConnectError || e.Outcome == NotSent)
}

// callEnded frees the slot of a call whose last message has its outcome.
func (d *Dispatcher) callEnded(c *call, m *message, e *AttemptEnded) {
	ep := c.endpoint
	d.inFlight--
	ep.inFlight = remove(ep.inFlight, c)
	ep.queue.inFlight = remove(ep.queue.inFlight, c)
	d.recordOutcome(c, m, e)
	if !slices.Contains(d.idleCandidates, ep) {
		d.idleCandidates = append(d.idleCandidates, ep)
	}
}

// recordOutcome learns from the outcome of a call. It goes by the call's own latency: a relay that
// is short of processor time hears of outcomes late.
func (d *Dispatcher) recordOutcome(c *call, m *message, e *AttemptEnded) {
	ep, q := c.endpoint, c.endpoint.queue
	duration := e.Latency
	if duration <= 0 {
		duration = d.now - c.sent
	}
	latency := min(duration, m.terms.Deadline).Seconds()
	if c.sent+duration >= d.overdueAt(c, stuckFactor) {
		d.recordOverdue(e.Outcome)
	}
	switch e.Outcome {
	case Succeeded:
		ep.latestSuccessSent, ep.lastLatency = max(ep.latestSuccessSent, c.sent), latency
		q.latency.observe(m.Class, latency)
		d.latencyOfKind(q.kind).observe(m.Class, latency)
		ep.classFailures[m.Class] = 0
		d.recordSuccess(ep, e.LoadReport == nil || e.LoadReport.Remaining >= minRemaining)
	case Rejected:
		if c.sent >= q.backoffStart { // else it is one rejection with those that began the backoff
			// A destination that reports its limit in its answers, but not in this one, did not
			// look at it: it has all the connections it takes, or is unavailable.
			d.recordRejection(q, e.LoadReport == nil && q.reportedLimit > 0)
		}
	case ConnectError:
		d.recordConnectError(ep, c)
	case Failed, ConnectionReset:
		d.recordFailure(ep, c, answeredFailureWeight)
	case TimedOut, Canceled:
		if latency > stuckFactor*q.latency.mean && (e.Outcome == TimedOut || c.cancelled) {
			d.recordFailure(ep, c, 1)
		}
	case NotSent: // says nothing of the endpoint
	}
}

// recordOverdue counts an overdue call by whether it succeeded after all.
func (d *Dispatcher) recordOverdue(outcome Outcome) {
	d.unansweredShare *= 1 - latencyGain
	if outcome != Succeeded {
		d.unansweredShare += latencyGain
	}
}

// recordConnectError learns from a connection that was not to be had.
func (d *Dispatcher) recordConnectError(ep *endpoint, c *call) {
	if ep.lastSuccess > c.sent {
		// Others get through: the endpoint takes no more connections, it is not down.
		ep.connLimit = math.Max(1, float64(len(ep.inFlight)))
		return
	}
	d.recordConnFailure(ep, c)
	d.recordFailure(ep, c, 1)
}

// recordSuccess learns from a success: an unhealthy endpoint starts its slow start, and the send
// rate may rise if the destination has allowance left.
func (d *Dispatcher) recordSuccess(ep *endpoint, allowanceLeft bool) {
	q := ep.queue
	ep.consecutiveFailures, ep.lastSuccess, q.lastSuccess = 0, d.now, d.now
	if ep.connLimit > 0 {
		ep.connLimit += connLimitIncrease // other relays close idle connections
	}
	if ep.health.isUnhealthy() {
		d.startSlowStart(ep)
	}
	q.rejections, q.connFailures, q.unhealthy = 0, 0, false
	if allowanceLeft && ep.health == healthy && !d.keepsIdleConns() {
		q.reusableConn = ep
	}
	if allowanceLeft {
		d.raiseSendRate(q)
	}
}
