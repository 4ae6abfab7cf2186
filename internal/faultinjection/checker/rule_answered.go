package checker

import (
	"slices"
	"time"
)

// checkAnswered checks that no relay closed a new connection without a response to a complete request. By a process that
// ended, on a connection that was made to look broken, or while a crowd takes its descriptors, it is no violation.
func (h *history) checkAnswered(r *request) {
	for _, at := range r.closedAt {
		_, absent := h.excused(r.relay, at)
		_, ending := h.excused(r.relay, at+crossingTime)
		if !absent && !ending && !h.socketFailures.contains(r.relay, at) && !h.crowds.contains(r.relay, at) {
			h.reportRequest(Unanswered, at, r, "sent at %s, closed on at %s", formatTime(r.submittedAt), formatTime(at))
		}
	}
}

// checkReadIsAnswered checks that no relay closed a connection without a response on a request that it had read, also on one that
// had been idle, and also during a graceful shutdown. A close in order says that all that had come was read; one that crosses with
// the request, or that the process had no part in, is no violation.
func (h *history) checkReadIsAnswered(r *request) {
	for _, e := range r.closedOn {
		if e.Duration > socketSlack && !h.killedAround(e) && !h.socketFailures.contains(e.Relay, e.At) {
			h.reportRequest(Unanswered, e.At, r, "read and closed on in order, %v after it was written", e.Duration.Round(time.Millisecond))
		}
	}
}

// killedAround reports whether a relay's process was killed about when a connection to it was closed.
func (h *history) killedAround(closed Event) bool {
	return slices.ContainsFunc(h.kills[closed.Relay], func(at time.Duration) bool { return (at - closed.At).Abs() <= crossingTime })
}
