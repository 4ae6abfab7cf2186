package policy

import (
	"time"
)

// armTimer asks for a timer when something is next due by time alone.
func (d *Dispatcher) armTimer() {
	next := never
	soon := func(t time.Duration) { next = min(next, max(t, d.now+d.settings.BatchInterval)) }
	soon(d.watchAt)
	for _, m := range d.unfinished {
		if m.queue != nil {
			soon(d.giveUpTime(m))
			if m.firstExecuted() != nil && m.class.Idempotency == IdempotentByKey {
				soon(d.keyExpiry(m))
			}
		}
	}
	for _, q := range d.activeQueues {
		for _, c := range q.inFlight {
			for _, factor := range []float64{stuckFactor, unresponsiveFactor, unresponsiveFactor * lastAttemptFactor} {
				if at := d.overdueAt(c, factor); at > d.now && !c.cancelled {
					soon(at)
				}
			}
		}
		if len(q.queued) == 0 {
			continue
		}
		at := max(q.pausedUntil(), d.now)
		if q.sendRate > 0 && d.sendTokens(q) < 1 {
			at = max(at, d.now+refillTime(1-q.tokens, q.sendRate))
		}
		if at > d.now {
			soon(at)
		}
		for _, ep := range q.endpoints {
			if (ep.sick || ep.ramping) && d.recoveryTokens(ep) < 1 {
				soon(max(at, d.now+refillTime(1-ep.tokens, d.recoveryRate(ep, d.timeSinceRecovery(ep)))))
			}
		}
	}
	for _, m := range d.coolingDown {
		soon(m.cooldownUntil)
	}
	// A clock with coarser steps than ours may wake us a little before the time: that timer is used up.
	if next < never && (d.timerAt < d.now+d.settings.BatchInterval || next < d.timerAt) {
		d.timerAt = next
		d.emit(SetTimer{After: next - d.now})
	}
}
