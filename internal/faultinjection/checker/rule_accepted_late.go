package checker

// checkAcceptedLate checks that relays accept requests before they have delivered them. It allows late responses for up to half of
// the accepted requests of a run.
func (h *history) checkAcceptedLate(_ []Event) {
	accepted, late := 0, 0
	var last *request
	for _, r := range h.requests {
		if !r.accepted || r.redelivery {
			continue
		}
		accepted++
		if r.deliveredAt >= 0 && r.deliveredAt < r.answeredAt {
			late, last = late+1, r
		}
	}
	if float64(late) > toleratedShare*float64(accepted) {
		h.reportRequest(AcceptedLate, last.answeredAt, last,
			"%d of %d messages were answered only after their delivery, this one the last", late, accepted)
	}
}
