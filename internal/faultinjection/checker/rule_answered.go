package checker

import (
	"slices"
	"time"
)

// checkAnswered checks that no relay closed a new connection without a response to a complete request. It is no violation if the
// process ended, if fault injection made the connection look broken, or while a crowd of callers uses up the relay's descriptors.
func (h *history) checkAnswered(r *request) {
	for _, at := range r.closedAt {
		_, absent := h.absentUntil(r.relay, at)
		_, ending := h.absentUntil(r.relay, at+crossingTime)
		if !absent && !ending && !h.socketFailures.contains(r.relay, at) && !h.crowds.contains(r.relay, at) {
			h.reportRequest(Unanswered, at, r, "sent at %s, closed on at %s", formatTime(r.submittedAt), formatTime(at))
		}
	}
}

// checkReadIsAnswered checks that no relay read a request and then closed the connection without a response, even on a connection
// that had been idle, and even during a graceful shutdown. A regular close (without a reset) proves that the relay had read all data
// that had arrived. It is no violation if the close crossed with the request, if the process was killed, or if fault
// injection made the connection look broken.
func (h *history) checkReadIsAnswered(r *request) {
	for _, e := range r.closedOn {
		if e.Duration > socketSlack && !h.killedAround(e) && !h.socketFailures.contains(e.Relay, e.At) {
			h.reportRequest(Unanswered, e.At, r, "read and closed on in order, %v after it was written", e.Duration.Round(time.Millisecond))
		}
	}
}

// killedAround reports whether a relay's process was killed within crossingTime of the close of a connection to it.
func (h *history) killedAround(closed Event) bool {
	return slices.ContainsFunc(h.kills[closed.Relay], func(at time.Duration) bool { return (at - closed.At).Abs() <= crossingTime })
}
