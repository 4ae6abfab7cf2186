package checker

import (
	"slices"
	"time"
)

// checkNoAttemptAfterEnd checks that no attempt of a request follows once its relay has rejected it, or has read a response after which
// no attempt is allowed. A process that is killed before it can record such a response leaves the next one without it.
func (h *history) checkNoAttemptAfterEnd(r *request) {
	if r.machineLostAt >= 0 {
		return
	}
	if r.answeredAt >= 0 && !r.accepted {
		h.checkNoAttemptAfter(r, r.attempts, r.answeredAt+crossingTime, "it was rejected")
	}
	for i, a := range r.attempts {
		if a.endsRequest() && a.readAt >= 0 && !h.mayHaveLostResponse(r, a) {
			h.checkNoAttemptAfter(r, r.attempts[i+1:], a.readAt+socketSlack, "the response that ended it, of "+a.endpoint)
			return
		}
	}
}

// checkNoAttemptAfter reports the first of some attempts that began after a time.
func (h *history) checkNoAttemptAfter(r *request, attempts []*attempt, latest time.Duration, end string) {
	for _, a := range attempts {
		if a.firstByte > latest {
			h.reportRequest(SentAfterEnd, a.firstByte, r, "sent to %s, %s after %s", a.endpoint, formatTime(a.firstByte-latest), end)
			return
		}
	}
}

// mayHaveLostResponse reports whether the relay may have no record of a response, or may not have been able to read it: its process was
// killed at that moment, suspended, or could not write to its folder before it ended, or fault injection made the connection look broken.
func (h *history) mayHaveLostResponse(r *request, a *attempt) bool {
	killed := slices.ContainsFunc(h.kills[r.relay], func(at time.Duration) bool { return at >= a.endedAt && at <= a.readAt+crossingTime })
	suspended := h.halts.contains(r.relay, a.endedAt) || h.halts.contains(r.relay, a.readAt) || h.suspensions.contains(r.relay, a.readAt)
	broken := h.socketFailures.contains(r.relay, a.endedAt) || h.socketFailures.contains(r.relay, a.readAt)
	return killed || suspended || broken || h.couldNotRecord(r.relay, a.endedAt)
}
