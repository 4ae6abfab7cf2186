package policy

import (
	"math"
	"slices"
	"time"
)

// attemptEnded applies the outcome of an attempt. It ignores an attempt that is not in flight.
func (d *Dispatcher) attemptEnded(e AttemptEnded) {
	m, a := d.openAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	a.state = attemptEnded
	if e.notExecuted() {
		a.state = attemptNotExecuted
	}
	m.openAttempts--
	m.attemptsEnded = m.attemptsEnded || e.Response().EndsAttempts()
	if !a.answered {
		d.applyResponse(m, a, &e)
	} else if e.RetryAfter > a.retryAfter {
		d.heedRetryAfter(a.call, e.RetryAfter) // of a response that has followed the unconfirmed one
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Canceled {
		m.cooldownUntil = d.now + d.settings.OrderKeyCooldown // the attempt may still be executing
	}
	d.afterAttempt(m, &e)
}

// responseUnconfirmed applies a response to the call of an attempt in flight, but not to its message.
func (d *Dispatcher) responseUnconfirmed(e AttemptEnded) {
	if m, a := d.openAttempt(e.ID, e.Attempt); a != nil && !a.answered {
		a.answered, a.retryAfter = true, e.RetryAfter
		d.applyResponse(m, a, &e)
	}
}

// openAttempt returns an attempt in flight and its message, or nil if there is no such attempt.
func (d *Dispatcher) openAttempt(id string, number int) (*message, *attempt) {
	m := d.messages[id]
	if m == nil || number < 0 || number >= len(m.attempts) || m.attempts[number].state != attemptInFlight {
		return nil, nil
	}
	return m, &m.attempts[number]
}

// applyResponse updates the state of the destination and the endpoint with the outcome of an attempt.
func (d *Dispatcher) applyResponse(m *message, a *attempt, e *AttemptEnded) {
	c := a.call
	q := c.endpoint.queue
	if e.LoadReport != nil {
		d.recordReportedLimit(q, e.LoadReport.RateLimit)
	}
	if e.RetryAfter > 0 {
		d.heedRetryAfter(c, e.RetryAfter)
	}
	if c.pendingOutcomes--; c.pendingOutcomes == 0 {
		d.callEnded(c, m, e)
	}
}

// heedRetryAfter lets no call to the destination of an answered call start before the wait that the answer asks for has passed.
func (d *Dispatcher) heedRetryAfter(answered *call, wait time.Duration) {
	q := answered.endpoint.queue
	q.retryAfterUntil = max(q.retryAfterUntil, d.now+min(wait, never-d.now))
	d.cancelBeforeSend(q.inFlight, answered)
}

// notExecuted reports whether an outcome proves that the attempt did not execute.
func (e *AttemptEnded) notExecuted() bool {
	return !e.OutcomeUnknown && (e.Outcome == Rejected || e.Outcome == ConnectError || e.Outcome == NotSent)
}

// callEnded frees the slot of a call once every attempt in it has an outcome.
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

// recordOutcome updates the statistics of the endpoint and its queue with the outcome of a call. It
// uses the latency reported with the outcome rather than the current time, because a relay that is
// short of CPU time processes outcomes late.
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
		// Calls sent before the backoff started count as one rejection, together with the call whose
		// rejection started the backoff.
		if c.sent >= q.backoffStart {
			// A destination that reports its rate limit, but not in this answer, rejected the
			// connection without checking the rate limit: it has reached its connection limit or
			// is unavailable.
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
	case NotSent: // no information about the endpoint
	}
}

// recordOverdue updates the share of overdue calls that did not succeed.
func (d *Dispatcher) recordOverdue(outcome Outcome) {
	d.unansweredShare *= 1 - latencyGain
	if outcome != Succeeded {
		d.unansweredShare += latencyGain
	}
}

// recordConnectError records a failure to connect, which indicates either a connection limit of the
// endpoint or an outage.
func (d *Dispatcher) recordConnectError(ep *endpoint, c *call) {
	if ep.lastSuccess > c.sent {
		// Another call succeeded since this one was sent: the endpoint is up, but accepts no more
		// connections.
		ep.connLimit = math.Max(1, float64(len(ep.inFlight)))
		return
	}
	d.recordConnFailure(ep, c)
	d.recordFailure(ep, c, 1)
}

// recordSuccess records a successful call: an unhealthy endpoint enters slow start, and the send
// rate may rise if the destination has rate limit allowance left.
func (d *Dispatcher) recordSuccess(ep *endpoint, allowanceLeft bool) {
	q := ep.queue
	ep.consecutiveFailures, ep.lastSuccess, q.lastSuccess = 0, d.now, d.now
	if ep.connLimit > 0 {
		ep.connLimit += connLimitIncrease // other relays may have closed connections since
	}
	if ep.health.isUnhealthy() {
		d.startSlowStart(ep)
	}
	q.rejections, q.connFailures, q.unhealthy = 0, 0, false
	if allowanceLeft {
		d.raiseSendRate(q)
	}
}
