package policy

import "time"

// dueTime computes the earliest of the times at which something is due.
type dueTime struct {
	earliest time.Duration // lower bound: earlier times are moved to it
	first    time.Duration
}

// add takes into account a time at which something is due.
func (t *dueTime) add(at time.Duration) { t.first = min(t.first, max(at, t.earliest)) }

// armTimer requests a timer for the next time at which something is due without an event, unless a
// timer that fires by then is already requested.
func (d *Dispatcher) armTimer() {
	due := dueTime{earliest: d.now + d.settings.BatchInterval, first: never}
	due.add(d.watchAt)
	d.addMessagesDue(&due)
	for _, q := range d.activeQueues {
		d.addOverdueCalls(&due, q)
		if len(q.queued) > 0 {
			d.addNextSends(&due, q)
		}
	}
	for _, m := range d.coolingDown {
		due.add(m.cooldownUntil)
	}
	// A timer of a clock with a coarser resolution may fire slightly early, so a timer due within
	// the next batch interval counts as fired.
	usedUp := d.timerAt < d.now+d.settings.BatchInterval
	if due.first < never && (usedUp || due.first < d.timerAt) {
		d.timerAt = due.first
		d.emit(SetTimer{After: due.first - d.now})
	}
}

// addMessagesDue adds the times at which queued messages are given up.
func (d *Dispatcher) addMessagesDue(due *dueTime) {
	for _, m := range d.unfinished {
		if m.queue == nil {
			continue
		}
		due.add(d.giveUpTime(m))
		if m.firstExecuted() != nil && m.terms.Idempotency == IdempotentByKey {
			due.add(d.keyExpiry(m))
		}
	}
}

// addOverdueCalls adds the times at which calls in flight become overdue.
func (d *Dispatcher) addOverdueCalls(due *dueTime, q *queue) {
	for _, c := range q.inFlight {
		if c.cancelled {
			continue
		}
		for _, factor := range []float64{stuckFactor, unresponsiveFactor, unresponsiveFactor * nonRetryableFactor} {
			if at := d.overdueAt(c, factor); at > d.now {
				due.add(at)
			}
		}
	}
}

// addNextSends adds the times at which Retry-After, backoff, the send rate and endpoint health
// allow a queue to send again.
func (d *Dispatcher) addNextSends(due *dueTime, q *queue) {
	at := max(q.pausedUntil(), d.now)
	if q.sendRate > 0 && d.sendTokens(q) < 1 {
		at = max(at, d.now+refillTime(1-q.sendBucket.tokens, q.sendRate))
	}
	if at > d.now {
		due.add(at)
	}
	for _, ep := range q.endpoints {
		if ep.health != healthy && d.recoveryTokens(ep) < 1 {
			missing := 1 - ep.recoveryBucket.tokens
			due.add(max(at, d.now+refillTime(missing, d.recoveryRate(ep, d.timeSinceRecovery(ep)))))
		}
	}
	d.addNextTrials(due, q)
}
