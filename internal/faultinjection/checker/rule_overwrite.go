package checker

// subject is what requests of a class are about, at a destination.
type subject struct {
	destination, class int
	name               string
}

// checkOverwrites checks that no redelivery began to be delivered after a newer message of its subject had been. It reports the
// first one only.
func (h *history) checkOverwrites(_ []Event) {
	delivered := map[subject][]*request{}
	for _, r := range h.requests {
		if r.subject != "" && r.deliveredAt >= 0 {
			delivered[r.about()] = append(delivered[r.about()], r)
		}
	}
	for _, r := range h.requests {
		if !r.redelivery || r.subject == "" {
			continue
		}
		if a, newer := overwriting(r, delivered[r.about()]); a != nil {
			h.report(Overwritten, a.firstByte, r.id, a.relay, r.destination, "a status of %s resent after a newer one, %s, was delivered at %s",
				r.subject, newer.id, formatTime(newer.deliveredAt))
			return
		}
	}
}

// about is the subject of a request.
func (r *request) about() subject { return subject{r.destination, r.class, r.subject} }

// overwriting returns an attempt of a redelivery that may have overwritten a newer message, and that message; nil for none.
func overwriting(r *request, delivered []*request) (*attempt, *request) {
	for _, newer := range delivered {
		for _, a := range r.attempts {
			if newer.message > r.message && a.mayHaveExecuted() && newer.deliveredAt < a.firstByte {
				return a, newer
			}
		}
	}
	return nil, nil
}
