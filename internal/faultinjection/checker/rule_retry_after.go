package checker

import (
	"slices"
	"time"
)

// route is one relay and one destination.
type route struct{ relay, destination int }

// hold is a time during which a relay may send nothing on a route, after a response with a Retry-After.
type hold struct{ from, until time.Duration }

// checkRetryAfter checks that a relay which got a Retry-After sent nothing to the destination until it was over.
func (h *history) checkRetryAfter(_ []Event) {
	holds := h.holds()
	for _, a := range h.attempts {
		on := route{a.relay, a.destination}
		// Attempts come in the order of their last bytes: a hold that is over for one is over for all that follow.
		holds[on] = slices.DeleteFunc(holds[on], func(held hold) bool {
			if a.lastByte >= held.until {
				return true
			}
			if a.lastByte <= held.from+retryAfterGrace {
				return false
			}
			h.report(RetryAfterIgnored, a.lastByte, h.idOf(a), a.relay, a.destination, "call to %s %s before the end of a wait told at %s", a.endpoint,
				formatTime(held.until-a.lastByte), formatTime(held.from))
			return true // one violation a hold
		})
	}
}

// holds returns the holds of each route, in the order in which they began. The end of a relay's process ends its holds.
func (h *history) holds() map[route][]hold {
	holds := map[route][]hold{}
	for _, a := range h.attempts {
		if a.outcome != RetryAfter {
			continue
		}
		until := a.endedAt + a.retryAfter
		for _, end := range h.processEnds[a.relay] {
			if end >= a.endedAt {
				until = min(until, end)
			}
		}
		on := route{a.relay, a.destination}
		holds[on] = append(holds[on], hold{a.endedAt, until})
	}
	return holds
}
