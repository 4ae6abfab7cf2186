package invariant

import (
	"slices"

	"frostlink/internal/clock"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// Request contains the facts about an accepted request that the checks need.
type Request struct {
	*journal.Entry               // its Attempts do not include the attempt that is checked
	Terms          *policy.Class // the class settings at acceptance; nil if they are unknown
	Completed      bool          // the terminal outcome is decided, or a response forbids further attempts
	InFlight       bool          // an attempt of this process is in flight
}

// CheckSend reports whether another attempt of a request may be sent now. If not, k is the invariant that
// the attempt would violate.
func CheckSend(r Request, now clock.Instant) (k Kind, ok bool) {
	switch {
	case r.Completed:
		return SendAfterCompletion, false
	case r.InFlight:
		return SecondAttempt, false
	case now >= r.Deadline:
		return SendAfterDeadline, false
	}
	return checkRepeat(r, now)
}

// checkRepeat reports whether another attempt may be sent after the earlier attempts of a request.
func checkRepeat(r Request, now clock.Instant) (k Kind, ok bool) {
	if r.Terms == nil || r.Terms.Idempotency == policy.Idempotent {
		return 0, true
	}
	firstStart, mayHaveExecuted := firstUnknownOutcome(slices.Concat(r.EarlierAttempts, r.Attempts))
	switch {
	case !mayHaveExecuted:
		return 0, true
	case r.Terms.Idempotency == policy.NotIdempotent:
		return NonIdempotentRepeat, false
	case now.Sub(firstStart) > r.Terms.KeyTTL:
		return ExpiredKeyRepeat, false
	}
	return 0, true
}

// firstUnknownOutcome returns the start of the first attempt that may have been executed, if there is one.
func firstUnknownOutcome(attempts []journal.Attempt) (start clock.Instant, found bool) {
	for _, a := range attempts {
		if !a.Ended || !a.NotExecuted {
			return a.StartedAt, true
		}
	}
	return 0, false
}
