package checker

// topic identifies the requests of one class and subject for one destination. Among these requests a newer one supersedes the older
// ones.
type topic struct {
	destination, class int
	subject            string
}

// checkOverwrites checks that no redelivery was sent after a newer message of its topic had been delivered. It reports only the
// first violation.
func (h *history) checkOverwrites(_ []Event) {
	delivered := map[topic][]*request{}
	for _, r := range h.requests {
		if r.subject != "" && r.deliveredAt >= 0 {
			delivered[r.topic()] = append(delivered[r.topic()], r)
		}
	}
	for _, r := range h.requests {
		if !r.redelivery || r.subject == "" {
			continue
		}
		if a, newer := findOverwrite(r, delivered[r.topic()]); a != nil {
			h.report(Overwritten, a.firstByte, r.id, a.relay, r.destination, "a status of %s resent after a newer one, %s, was delivered at %s",
				r.subject, newer.id, formatTime(newer.deliveredAt))
			return
		}
	}
}

// topic returns the topic of a request.
func (r *request) topic() topic { return topic{r.destination, r.class, r.subject} }

// findOverwrite returns an attempt of a redelivery that may have overwritten a newer message, and that message, or nil and nil.
func findOverwrite(r *request, delivered []*request) (*attempt, *request) {
	for _, newer := range delivered {
		for _, a := range r.attempts {
			if newer.message > r.message && a.mayHaveExecuted() && newer.deliveredAt < a.firstByte {
				return a, newer
			}
		}
	}
	return nil, nil
}
