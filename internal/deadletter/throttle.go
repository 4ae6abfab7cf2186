package deadletter

import "time"

// throttle limits the redeliveries to one destination: only one is in flight at a time, they keep to the rate of their rule,
// and there is a backoff after a redelivery that was not delivered.
type throttle struct {
	tokens         float64 // tokens in the token bucket at updatedAt
	updatedAt      time.Time
	pausedUntil    time.Time
	busyBackoff    time.Duration
	failureBackoff time.Duration
	inFlight       string    // id of the incarnation in flight; empty: none
	lostAt         time.Time // when the incarnation in flight counts as lost
	gateToken      uint64    // token of the gate's last grant for the destination
}

// Gate grants a destination to one relay of a fleet at a time. Only the relay with the grant may redeliver to the destination.
type Gate interface {
	// Begin reports whether the relay has the grant for a destination, and so may redeliver to it until End. The token
	// identifies the grant: each grant for a destination has a different token.
	Begin(destination int) (token uint64, ok bool)
	// End reports that all redeliveries decided on since Begin have been offered.
	End()
}

// gatePause is how long a destination gets no redelivery after the relay did not have the grant for it.
const gatePause = 100 * time.Millisecond

// passGate reports whether the gate allows a redelivery. The token bucket is empty at the start of a grant, because another
// relay may have redelivered to the destination at the full rate just before.
func (r *Redeliverer) passGate(t *throttle, destination int, now time.Time) bool {
	if r.gate == nil {
		return true
	}
	token, ok := r.gate.Begin(destination)
	if !ok {
		t.pausedUntil = now.Add(gatePause)
		return false
	}
	if token != t.gateToken {
		t.gateToken, t.tokens, t.updatedAt = token, 0, now
	}
	return true
}

// throttle returns the throttle of a destination.
func (r *Redeliverer) throttle(destination int, now time.Time) *throttle {
	t := r.throttles[destination]
	if t == nil {
		t = &throttle{tokens: tokenBurst, updatedAt: now}
		r.throttles[destination] = t
	}
	return t
}

// blocked reports whether the destination may get no redelivery at a given time, whatever the rate.
func (t *throttle) blocked(now time.Time) bool {
	return t.pausedUntil.After(now) || t.inFlight != "" && t.lostAt.After(now)
}

// takeToken takes a token for one redelivery, and reports whether there was one.
func (t *throttle) takeToken(rate float64, now time.Time) bool {
	t.tokens = min(tokenBurst, t.tokens+max(0, now.Sub(t.updatedAt).Seconds())*rate)
	t.updatedAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// handleResult adjusts the backoff according to the result of a redelivery.
func (t *throttle) handleResult(result *Result, now time.Time) {
	if t.inFlight == result.Incarnation.ID {
		t.inFlight = ""
	}
	backOff := func(backoff *time.Duration, shortest, longest time.Duration) {
		*backoff = min(longest, max(shortest, 2**backoff))
		t.pausedUntil = now.Add(*backoff)
	}
	switch {
	case result.Overtaken != "": // this result does not show whether the destination is healthy
	case result.Delivered:
		t.busyBackoff, t.failureBackoff = 0, 0
	case len(result.Incarnation.Attempts) == 0:
		backOff(&t.busyBackoff, minBusyBackoff, maxBusyBackoff)
	default:
		backOff(&t.failureBackoff, minFailureBackoff, maxFailureBackoff)
	}
}
