package checker

import (
	"cmp"
	"slices"
)

// checkRedeliveries checks that redeliveries, which relays send under ids that they generate, repeat a message only as its class
// allows. It takes the attempts under all ids of the message into account.
func (h *history) checkRedeliveries(_ []Event) {
	byMessage := map[int][]*request{}
	redelivered := false
	for _, r := range h.requests {
		byMessage[r.message] = append(byMessage[r.message], r)
		redelivered = redelivered || r.redelivery
	}
	if !redelivered {
		return
	}
	for _, requests := range byMessage {
		h.checkLineage(newLineage(requests))
	}
}

// lineage holds the attempts of one message under all its ids.
type lineage struct {
	attempts  []*attempt // ordered by the time of the last byte
	requestOf map[*attempt]*request
}

// newLineage returns the lineage of all requests that carry one message.
func newLineage(requests []*request) lineage {
	l := lineage{requestOf: map[*attempt]*request{}}
	for _, r := range requests {
		for _, a := range r.attempts {
			l.attempts = append(l.attempts, a)
			l.requestOf[a] = r
		}
	}
	slices.SortStableFunc(l.attempts, func(a, b *attempt) int { return cmp.Compare(a.lastByte, b.lastByte) })
	return l
}

// checkLineage checks the attempts of one message, and stops at the first violation.
func (h *history) checkLineage(l lineage) {
	var mayHaveExecuted, delivered *attempt // the first attempt of each kind
	for _, a := range l.attempts {
		if l.requestOf[a].redelivery && h.checkRedelivery(l, a, mayHaveExecuted, delivered) {
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

// checkRedelivery checks an attempt of a redelivery against the earlier attempts, and returns whether it is a violation.
func (h *history) checkRedelivery(l lineage, a, mayHaveExecuted, delivered *attempt) bool {
	r := l.requestOf[a]
	class := &h.Settings.Classes[r.class]
	switch {
	case delivered != nil && class.Idempotency != idempotent:
		h.report(ExecutedTwice, a.lastByte, r.id, a.relay, r.destination, "%s resent, though it was delivered at %s", class.Name, formatTime(delivered.endedAt))
		return true
	case mayHaveExecuted != nil && class.Idempotency == notIdempotent,
		mayHaveExecuted != nil && class.Idempotency == idempotentByKey && a.lastByte > keyRememberedUntil(mayHaveExecuted, class):
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
