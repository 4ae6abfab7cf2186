package checker

// checkAnswered checks that no relay closed a new connection without a response to a complete request. By a process that
// ended, or on a connection that was made to look broken, it is no violation.
func (h *history) checkAnswered(r *request) {
	for _, at := range r.closedAt {
		_, absent := h.excused(r.relay, at)
		_, ending := h.excused(r.relay, at+crossingTime)
		if !absent && !ending && !h.socketFailures.contains(r.relay, at) {
			h.reportRequest(Unanswered, at, r, "sent at %s, closed on at %s", formatTime(r.submittedAt), formatTime(at))
		}
	}
}
