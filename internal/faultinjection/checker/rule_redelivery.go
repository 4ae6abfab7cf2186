package checker

import (
	"cmp"
	"slices"
	"time"
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
		if !h.checkLineage(newLineage(requests)) {
			h.checkExecutions(requests)
		}
	}
}

// checkExecutions checks that a message whose class does not allow it was not executed twice, once under the id of a redelivery. It
// counts what destinations executed, whatever the times of the attempts were. A message that its client submitted again is left
// out, since the client's second submission may have been executed as well.
func (h *history) checkExecutions(requests []*request) {
	submissions, executions := 0, 0
	var redelivery *request
	for _, r := range requests {
		executions += r.executions
		switch {
		case !r.redelivery:
			submissions++
		case r.executions > 0:
			redelivery = r
		}
	}
	if redelivery == nil || submissions > 1 || executions < 2 || h.Settings.Classes[redelivery.class].Idempotency == idempotent {
		return
	}
	last := redelivery.attempts[len(redelivery.attempts)-1]
	h.reportRequest(ExecutedTwice, last.lastByte, redelivery, "%s had its effect %d times under all its ids", h.Settings.Classes[redelivery.class].Name, executions)
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

// checkLineage checks the attempts of one message, stops at the first violation, and returns whether there is one.
func (h *history) checkLineage(l lineage) bool {
	var mayHaveExecuted, delivered *attempt // the first attempt of each kind
	for _, a := range l.attempts {
		if l.requestOf[a].redelivery && h.checkRedelivery(l, a, mayHaveExecuted, delivered) {
			return true
		}
		if a.outcome == OK && delivered == nil && !l.requestOf[a].gaveUpBefore(a.endedAt) {
			delivered = a
		}
		if a.mayHaveExecuted() && mayHaveExecuted == nil {
			mayHaveExecuted = a
		}
	}
	return false
}

// gaveUpBefore reports whether the platform had the notice of a request's outcome before a time. A response after that does not tell
// the relay that the request was delivered: its attempt is one that may have executed, which its class may allow to repeat.
func (r *request) gaveUpBefore(at time.Duration) bool {
	return len(r.notices) > 0 && r.notices[0].At < at
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
