package checker

// checkAnswered checks that no relay closed a new connection on a request that was sent whole, without an answer. It is no
// breach by a process that ended, or on a connection that was made to look broken.
func (h *history) checkAnswered(r *request) {
	for _, at := range r.closedAt {
		_, absent := h.excused(r.relay, at)
		_, ending := h.excused(r.relay, at+crossingTime)
		if !absent && !ending && !h.socketFailures.contains(r.relay, at) {
			h.reportRequest(Unanswered, at, r, "sent at %s, closed on at %s", formatTime(r.submittedAt), formatTime(at))
		}
	}
}
