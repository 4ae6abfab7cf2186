package invariant

import (
	"frostlink/internal/clock"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// Request is what the checks have to know of an accepted request.
type Request struct {
	*journal.Entry               // its attempts are those before the one that is checked
	Terms          *policy.Class // of its class, as it was accepted; nil: not known
	Completed      bool          // its terminal outcome is decided
	InFlight       bool          // an attempt of this process is in flight
}

// CheckSend reports whether another attempt of a request may be sent now, or which invariant that would
// violate.
func CheckSend(m Request, now clock.Instant) (k Kind, ok bool) {
	switch {
	case m.Completed:
		return SendAfterCompletion, false
	case m.InFlight:
		return SecondAttempt, false
	case now >= m.Deadline:
		return SendAfterDeadline, false
	}
	return checkRepeat(m, now)
}

// checkRepeat reports whether an attempt may be sent after those before it.
func checkRepeat(m Request, now clock.Instant) (k Kind, ok bool) {
	if m.Terms == nil || m.Terms.Idempotency == policy.Idempotent {
		return 0, true
	}
	firstStart, mayHaveExecuted := firstUnknownOutcome(m.Attempts)
	switch {
	case !mayHaveExecuted:
		return 0, true
	case m.Terms.Idempotency == policy.NotIdempotent:
		return NonIdempotentRepeat, false
	case now.Sub(firstStart) > m.Terms.KeyTTL:
		return ExpiredKeyRepeat, false
	}
	return 0, true
}

// firstUnknownOutcome returns the start of the first attempt that may have executed, if there is one.
func firstUnknownOutcome(attempts []journal.Attempt) (start clock.Instant, found bool) {
	for _, a := range attempts {
		if !a.Ended || !a.NotExecuted {
			return a.StartedAt, true
		}
	}
	return 0, false
}
