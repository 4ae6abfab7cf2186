package deadletter

import (
	"time"
)

// throttle is the pace of one destination's redeliveries.
type throttle struct {
	tokens         float64
	updatedAt      time.Time // as of when
	pausedUntil    time.Time // paused
	busyBackoff    time.Duration
	failureBackoff time.Duration
	inFlight       string    // the incarnation that is out; empty: none
	lostAt         time.Time // when that counts as lost
	gateToken      uint64    // the gate's token under which it goes
}

// Gate lets redeliveries through where one relay of a fleet at a time is to redeliver towards a destination.
type Gate interface {
	// Begin allows redeliveries towards a destination until End, or refuses. The token is another one for each turn.
	Begin(partner int) (token uint64, ok bool)
	// End says that what was decided since has been offered.
	End()
}

// gatePause is before the gate is asked again for a destination for which it refused.
const gatePause = 100 * time.Millisecond

// passGate asks the gate. A turn begins without tokens: another relay may just have used the destination's rate.
func (r *Redeliverer) passGate(l *throttle, partner int, now time.Time) bool {
	if r.gate == nil {
		return true
	}
	turn, ok := r.gate.Begin(partner)
	if !ok {
		l.pausedUntil = now.Add(gatePause)
		return false
	}
	if turn != l.gateToken {
		l.gateToken, l.tokens, l.updatedAt = turn, 0, now
	}
	return true
}

func (r *Redeliverer) throttle(partner int, now time.Time) *throttle {
	l := r.throttles[partner]
	if l == nil {
		l = &throttle{tokens: tokenBurst, updatedAt: now}
		r.throttles[partner] = l
	}
	return l
}

// takeToken takes a redelivery out of a throttle's tokens.
func (l *throttle) takeToken(rate float64, now time.Time) bool {
	l.tokens = min(tokenBurst, l.tokens+max(0, now.Sub(l.updatedAt).Seconds())*rate)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// handleResult adjusts a throttle by what became of a redelivery.
func (l *throttle) handleResult(res *Result, now time.Time) {
	if l.inFlight == res.Incarnation.ID {
		l.inFlight = ""
	}
	grow := func(d *time.Duration, least, most time.Duration) {
		*d = min(most, max(least, 2**d))
		l.pausedUntil = now.Add(*d)
	}
	switch {
	case res.Overtaken != "": // that says nothing of the destination
	case res.Delivered:
		l.busyBackoff, l.failureBackoff = 0, 0
	case len(res.Incarnation.Attempts) == 0:
		grow(&l.busyBackoff, minBusyBackoff, maxBusyBackoff)
	default:
		grow(&l.failureBackoff, minFailureBackoff, maxFailureBackoff)
	}
}
