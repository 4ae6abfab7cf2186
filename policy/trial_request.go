package policy

import "time"

// maxTrialCalls is the largest number of calls in flight to an unhealthy or unresponsive endpoint:
// one trial request besides one call that may be stuck.
const maxTrialCalls = 2

// trialCalls returns the number of calls in flight to an unhealthy endpoint that were sent since it
// became unhealthy.
func (ep *endpoint) trialCalls() int {
	trials := 0
	for _, c := range ep.inFlight {
		if c.sent >= ep.unhealthySince {
			trials++
		}
	}
	return trials
}

// trialAllowed reports whether a queued message may be sent as a trial request to an unhealthy
// endpoint now. A message without attempts always may, and so may any message if the queue has only
// one endpoint. Otherwise, a retry waits for an endpoint that is not unhealthy, except if
// retryTrialAllowed reports true and nextTrialAt has passed.
func (d *Dispatcher) trialAllowed(q *queue, m *message) bool {
	if len(m.attempts) == 0 || len(q.endpoints) == 1 {
		return true
	}
	return d.retryTrialAllowed(q, m) && d.now >= m.nextTrialAt(d.settings.MaxAttempts)
}

// retryTrialAllowed reports whether a message that was sent before may become a trial request. The
// message must be recovered after a restart, all its attempts must provably not have executed, and
// all endpoints that it may be sent to must be unhealthy. The restart lost the earlier process's
// state, and there may be no new message whose trial request would detect the end of the outage.
// Other retries wait for such a message: as trial requests they would use up their attempts during
// the outage, and fewer messages would be delivered.
func (d *Dispatcher) retryTrialAllowed(q *queue, m *message) bool {
	return m.Recovered && m.firstExecuted() == nil && !d.hasHealthyEndpoint(q, m)
}

// hasHealthyEndpoint reports whether a queue has an endpoint that can accept a message without a
// trial request, now or as soon as its limits allow.
func (d *Dispatcher) hasHealthyEndpoint(q *queue, m *message) bool {
	for _, ep := range q.endpoints {
		if !ep.health.isUnhealthy() && !ep.Draining && !ep.Removed && d.retryAllowed(m, ep) {
			return true
		}
	}
	return false
}

// nextTrialAt returns the time from which a message that was sent before may be a trial request.
// Its remaining attempts are spread evenly over its time left, so that a long outage does not use
// up all attempts early.
func (m *message) nextTrialAt(maxAttempts int) time.Duration {
	last := m.attempts[len(m.attempts)-1].sent
	attemptsLeft := max(0, maxAttempts-len(m.attempts))
	return last + max(0, m.deadline-last)/time.Duration(attemptsLeft+1)
}

// addNextTrials adds the times at which retries may be trial requests if all endpoints of a queue
// are unhealthy.
func (d *Dispatcher) addNextTrials(due *dueTime, q *queue) {
	if len(q.endpoints) < 2 {
		return // with a single endpoint, a retry waits for a token only
	}
	for _, m := range q.queued {
		if len(m.attempts) == 0 {
			continue
		}
		if at := m.nextTrialAt(d.settings.MaxAttempts); at > d.now && d.retryTrialAllowed(q, m) {
			due.add(at)
		}
	}
}
