package deadletter

import "time"

// throttle limits the redeliveries to one destination: one is in flight at a time, at the rate of its rule, with a backoff
// after one that was not delivered.
type throttle struct {
	tokens         float64 // of a token bucket
	updatedAt      time.Time
	pausedUntil    time.Time
	busyBackoff    time.Duration
	failureBackoff time.Duration
	inFlight       string    // id of the incarnation in flight; empty: none
	lostAt         time.Time // when that counts as lost
	gateToken      uint64    // of the gate's turn that was used last
}

// Gate allows redeliveries where only one relay of a fleet at a time redelivers to a destination.
type Gate interface {
	// Begin allows redeliveries to a destination until End, or denies them. Each turn of a relay has a token of its own.
	Begin(destination int) (token uint64, ok bool)
	// End says that all redeliveries which were decided on since Begin have been offered.
	End()
}

// gatePause is how long a destination is paused after the gate denied it.
const gatePause = 100 * time.Millisecond

// passGate reports whether the gate allows a redelivery. A turn begins without tokens: another relay may just have used the
// destination's rate.
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

// blocked reports whether the destination gets nothing at a time, whatever the rate.
func (t *throttle) blocked(now time.Time) bool {
	return t.pausedUntil.After(now) || t.inFlight != "" && t.lostAt.After(now)
}

// takeToken consumes the token of one redelivery, and reports whether there was one.
func (t *throttle) takeToken(rate float64, now time.Time) bool {
	t.tokens = min(tokenBurst, t.tokens+max(0, now.Sub(t.updatedAt).Seconds())*rate)
	t.updatedAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// handleResult adjusts the backoff by the result of a redelivery.
func (t *throttle) handleResult(result *Result, now time.Time) {
	if t.inFlight == result.Incarnation.ID {
		t.inFlight = ""
	}
	backOff := func(backoff *time.Duration, shortest, longest time.Duration) {
		*backoff = min(longest, max(shortest, 2**backoff))
		t.pausedUntil = now.Add(*backoff)
	}
	switch {
	case result.Overtaken != "": // says nothing of the destination
	case result.Delivered:
		t.busyBackoff, t.failureBackoff = 0, 0
	case len(result.Incarnation.Attempts) == 0:
		backOff(&t.busyBackoff, minBusyBackoff, maxBusyBackoff)
	default:
		backOff(&t.failureBackoff, minFailureBackoff, maxFailureBackoff)
	}
}
