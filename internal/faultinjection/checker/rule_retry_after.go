package checker

import (
	"slices"
	"time"
)

// route is a pair of a relay and a destination.
type route struct{ relay, destination int }

// hold is the interval after a response with a Retry-After in which a relay may send nothing on a route.
type hold struct{ from, until time.Duration }

// checkRetryAfter checks that a relay that got a Retry-After sent nothing to the destination before the Retry-After was over. Attempts
// that cross with the response are allowed.
func (h *history) checkRetryAfter(_ []Event) {
	holds := h.holds()
	for _, a := range h.attempts {
		on := route{a.relay, a.destination}
		// The attempts are in the order of their last bytes: a hold that is over for one attempt is over for all later ones.
		holds[on] = slices.DeleteFunc(holds[on], func(held hold) bool {
			if a.lastByte >= held.until {
				return true
			}
			if a.lastByte <= held.from+retryAfterGrace {
				return false
			}
			h.report(RetryAfterIgnored, a.lastByte, h.idOf(a), a.relay, a.destination, "call to %s %s before the end of a wait told at %s", a.endpoint,
				formatTime(held.until-a.lastByte), formatTime(held.from))
			return true // report one violation per hold
		})
	}
}

// holds returns the holds of each route, in the order of the attempts that caused them. A hold ends early when the relay's process
// ends.
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
