package policy

import "time"

// maxTrialCalls may be in flight to an unhealthy or unresponsive endpoint: one that may be stuck,
// one that tries.
const maxTrialCalls = 2

// trialCalls returns how many calls in flight to an unhealthy endpoint were sent since it became
// unhealthy.
func (ep *endpoint) trialCalls() int {
	trials := 0
	for _, c := range ep.inFlight {
		if c.sent >= ep.unhealthySince {
			trials++
		}
	}
	return trials
}

// mayTry reports whether a queued message may be a trial request at an unhealthy endpoint now. One
// that was not sent yet always may, and a retry waits for an endpoint that is not unhealthy. The
// exception is what a restart found at a destination that is out as a whole.
func (d *Dispatcher) mayTry(q *queue, m *message) bool {
	if len(m.attempts) == 0 || len(q.endpoints) == 1 {
		return true
	}
	return d.mayRetryAsTrial(q, m) && d.now >= m.nextTrialAt(d.settings.MaxAttempts)
}

// mayRetryAsTrial reports whether a message that was sent before may be a trial request at some
// time: where it was never executed and a restart found it, since the process that knew more is
// gone, and no other message may come that finds the destination back. Other retries wait for one:
// letting them try as well serves less, since they spend their attempts in an outage.
func (d *Dispatcher) mayRetryAsTrial(q *queue, m *message) bool {
	return m.Recovered && m.firstExecuted() == nil && !d.hasHealthyEndpoint(q, m)
}

// hasHealthyEndpoint reports whether a queue has an endpoint to which a message may go without
// being a trial request, now or once there is room.
func (d *Dispatcher) hasHealthyEndpoint(q *queue, m *message) bool {
	for _, ep := range q.endpoints {
		if !ep.health.isUnhealthy() && !ep.Draining && !ep.Removed && d.retryAllowed(m, ep) {
			return true
		}
	}
	return false
}

// nextTrialAt returns when a message that was sent before may be a trial request again: what it has
// left of its attempts is spread evenly over what it has left of its time, so that a long outage
// does not use them up.
func (m *message) nextTrialAt(maxAttempts int) time.Duration {
	last := m.attempts[len(m.attempts)-1].sent
	attemptsLeft := max(0, maxAttempts-len(m.attempts))
	return last + max(0, m.deadline-last)/time.Duration(attemptsLeft+1)
}

// addNextTrials adds when retries may be trial requests at a destination that is out as a whole.
func (d *Dispatcher) addNextTrials(due *dueTime, q *queue) {
	if len(q.endpoints) < 2 {
		return // its retries need not wait for more than a token
	}
	for _, m := range q.queued {
		if len(m.attempts) == 0 {
			continue
		}
		if at := m.nextTrialAt(d.settings.MaxAttempts); at > d.now && d.mayRetryAsTrial(q, m) {
			due.add(at)
		}
	}
}
