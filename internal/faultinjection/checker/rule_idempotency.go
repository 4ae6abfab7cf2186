package checker

import (
	"time"

	"frostlink/internal/settings"
)

// The kinds of idempotency of a class, as the settings name them.
const (
	idempotent      = "retryable"
	idempotentByKey = "dedup" // a destination drops repeats until the TTL of the key ends
	notIdempotent   = "fragile"
)

// checkIdempotency checks that a request cannot have been executed twice if its class does not allow that, and that no two of its
// attempts were in flight at the same time.
func (h *history) checkIdempotency(r *request) {
	class := &h.Settings.Classes[r.class]
	var first *attempt // the first attempt that may have been executed
	reported := false
	for i, a := range r.attempts {
		if earlier := h.concurrent(r.attempts[:i], a); earlier != nil {
			h.reportRequest(ConcurrentAttempts, a.lastByte, r, "call to %s while one to %s was out", a.endpoint, earlier.endpoint)
			return
		}
		if first != nil && !reported {
			reported = h.checkRepeat(r, first, a)
		}
		if first == nil && a.mayHaveExecuted() {
			first = a
		}
	}
	if first != nil && class.Idempotency == notIdempotent && !reported {
		reported = h.checkReturned(r, first)
	}
	if r.executions > 1 && class.Idempotency != idempotent && !reported {
		last := r.attempts[len(r.attempts)-1]
		h.reportRequest(ExecutedTwice, last.lastByte, r, "%s had its effect %d times", class.Name, r.executions)
	}
}

// concurrent returns an earlier attempt that was still in flight when attempt a was sent, or nil. It always returns nil if hedged
// requests are allowed.
func (h *history) concurrent(earlier []*attempt, a *attempt) *attempt {
	if h.Settings.Limits.Hedging {
		return nil
	}
	for _, b := range earlier {
		if b.overlaps(a) && b.lastByte <= a.lastByte {
			return b
		}
	}
	return nil
}

// checkRepeat checks attempt a, which follows a first attempt that may have been executed, and returns whether a is a violation.
func (h *history) checkRepeat(r *request, first, a *attempt) bool {
	class := &h.Settings.Classes[r.class]
	switch class.Idempotency {
	case notIdempotent:
		h.report(ExecutedTwice, a.lastByte, r.id, a.relay, r.destination, "%s sent to %s again, though the call to %s at %s (%s) may have run",
			class.Name, a.endpoint, first.endpoint, formatTime(first.lastByte), first.outcome)
		return true
	case idempotentByKey:
		if a.lastByte <= keyRememberedUntil(first, class) {
			return false
		}
		h.report(ExecutedTwice, a.lastByte, r.id, a.relay, r.destination,
			"%s sent to %s again %s after the call at %s (%s) that may have run; its key is kept for %v s", class.Name,
			a.endpoint, formatTime(a.lastByte-first.lastByte), formatTime(first.lastByte), first.outcome, class.KeyTTLS)
		return true
	}
	return false
}

// keyRememberedUntil returns the time until which the destination of an attempt drops repeats of its idempotency key.
func keyRememberedUntil(a *attempt, class *settings.Class) time.Duration {
	return a.lastByte + settings.Seconds(class.KeyTTLS) + socketSlack
}

// checkReturned checks that a request that must not be repeated and may have been executed was not returned to its client as safe
// to submit again. If the request was returned in this way, checkReturned reports a violation and returns true.
func (h *history) checkReturned(r *request, first *attempt) bool {
	for _, n := range r.notices {
		if n.State == Deferred && (r.deliveredAt < 0 || r.deliveredAt > n.At) {
			h.reportRequest(ExecutedTwice, n.At, r, "%s handed back as safe to repeat, though the call at %s (%s) may have run",
				h.Settings.Classes[r.class].Name, formatTime(first.lastByte), first.outcome)
			return true
		}
	}
	return false
}
