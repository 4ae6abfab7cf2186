package checker

import (
	"time"

	"frostlink/internal/settings"
)

// checkOrder checks that the requests of an ordered class with the same order key were sent one at a time, in the order in which
// their relay accepted them.
func (h *history) checkOrder(_ []Event) {
	type key struct {
		relay int
		order string
	}
	byKey := map[key][]*request{}
	for _, r := range h.requests {
		if r.accepted && r.orderKey != "" && h.Settings.Classes[r.class].Ordered {
			k := key{r.relay, r.orderKey}
			byKey[k] = append(byKey[k], r)
		}
	}
	for _, requests := range byKey {
		for i, r := range requests {
			if earlier := h.overtaken(requests[:i], r); earlier != nil {
				h.reportRequest(OrderBroken, r.attempts[0].firstByte, r, "sent while %s, which came before it, was not over", earlier.id)
			}
		}
	}
}

// overtaken returns an earlier request with the same order key that was accepted before r and still blocked the key when r was
// first sent, or nil.
func (h *history) overtaken(earlier []*request, r *request) *request {
	if len(r.attempts) == 0 {
		return nil
	}
	sent := r.attempts[0].firstByte
	cooldown := settings.Seconds(h.Settings.Rules.OrderKeyCooldownS)
	for _, e := range earlier {
		// The order of acceptance is certain only if the response to e arrived before r was submitted.
		if e.answeredAt >= r.submittedAt || h.restarted(e.relay, e.answeredAt, sent) {
			continue
		}
		if e.blocksKeyAt(sent, cooldown) {
			return e
		}
	}
	return nil
}

// blocksKeyAt reports whether a request blocked its order key at a time: it was not completed, one of its attempts was in flight, or
// less than the cooldown had passed since the end of an attempt with unknown outcome.
func (r *request) blocksKeyAt(sent, cooldown time.Duration) bool {
	completed := r.completedAt()
	withoutNotice := r.deliveredAt >= 0 && len(r.notices) == 0 // delivered, without a notice that could cross with the attempt
	if completed < 0 || completed > sent+crossingTime || withoutNotice && completed > sent {
		return true
	}
	for _, a := range r.attempts {
		if a.endedAt < 0 || a.endedAt > sent {
			return true
		}
		unknown := a.outcome == Reset || a.outcome == Abandoned || a.outcome == Interrupted
		if unknown && sent < a.endedAt+cooldown-socketSlack {
			return true
		}
	}
	return false
}
