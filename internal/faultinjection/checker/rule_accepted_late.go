package checker

// checkAcceptedLate checks that a relay accepts requests before it has delivered them, at least half of a run's.
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
	if float64(late) > half*float64(accepted) {
		h.reportRequest(AcceptedLate, last.answeredAt, last,
			"%d of %d messages were answered only after their delivery, this one the last", late, accepted)
	}
}
