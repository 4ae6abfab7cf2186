package checker

import (
	"cmp"
	"slices"
)

// checkRedeliveries checks attempts under ids of relays' own making: what the class allows holds over all ids of a message.
func (h *history) checkRedeliveries(_ []Event) {
	byMessage := map[int][]*request{}
	any := false
	for _, r := range h.requests {
		byMessage[r.message] = append(byMessage[r.message], r)
		any = any || r.redelivery
	}
	if !any {
		return
	}
	for _, requests := range byMessage {
		h.checkLineage(newLineage(requests))
	}
}

// lineage are the attempts of one message under all its ids, by their last byte.
type lineage struct {
	attempts []*attempt
	of       map[*attempt]*request
}

func newLineage(requests []*request) lineage {
	l := lineage{of: map[*attempt]*request{}}
	for _, r := range requests {
		for _, a := range r.attempts {
			l.attempts = append(l.attempts, a)
			l.of[a] = r
		}
	}
	slices.SortStableFunc(l.attempts, func(a, b *attempt) int { return cmp.Compare(a.lastByte, b.lastByte) })
	return l
}

// checkLineage checks the attempts of one message up to the first breach.
func (h *history) checkLineage(l lineage) {
	var mayHaveExecuted, delivered *attempt // the first of each
	for _, a := range l.attempts {
		if l.of[a].redelivery && h.checkRedelivery(l, a, mayHaveExecuted, delivered) {
			return
		}
		if a.outcome == OK && delivered == nil {
			delivered = a
		}
		if a.mayHaveExecuted() && mayHaveExecuted == nil {
			mayHaveExecuted = a
		}
	}
}

// checkRedelivery checks an attempt of a redelivery against those before it, and reports whether it is a breach.
func (h *history) checkRedelivery(l lineage, a, mayHaveExecuted, delivered *attempt) bool {
	r := l.of[a]
	class := &h.Settings.Classes[r.class]
	switch {
	case delivered != nil && class.Idempotency != retryable:
		h.report(ExecutedTwice, a.lastByte, r.id, a.relay, r.destination, "%s resent, though it was delivered at %s", class.Name, formatTime(delivered.endedAt))
		return true
	case mayHaveExecuted != nil && class.Idempotency == fragile,
		mayHaveExecuted != nil && class.Idempotency == dedup && a.lastByte > keyRememberedUntil(mayHaveExecuted, class):
		h.report(ExecutedTwice, a.lastByte, r.id, a.relay, r.destination, "%s resent %s after a call (%s) that may have run", class.Name,
			formatTime(a.lastByte-mayHaveExecuted.lastByte), mayHaveExecuted.outcome)
		return true
	}
	for _, b := range l.attempts {
		if b != a && b.lastByte < a.lastByte && b.overlaps(a) && !h.Settings.Limits.Hedging {
			h.report(ConcurrentAttempts, a.lastByte, r.id, a.relay, r.destination, "resent to %s while a call to %s was out", a.endpoint, b.endpoint)
			return true
		}
	}
	return false
}
