package checker

import (
	"time"

	"frostlink/internal/settings"
)

// checkOutcome checks that an accepted request has exactly one terminal outcome, and has it in time.
func (h *history) checkOutcome(r *request) {
	if !r.accepted || !h.checkInTime(r) || len(r.notices) == 0 || !h.checkNotices(r) {
		return
	}
	h.checkNoAttemptAfterNotice(r)
}

// outcomeDue returns when the outcome of a request is due. The time for which the request stayed unread extends its deadline. If the
// relay is absent when the outcome is due, the outcome is due when the absence ends, or never if the relay does not return.
func (h *history) outcomeDue(r *request) time.Duration {
	due := r.deadline + h.unreadFor(r) + settings.Seconds(h.Settings.Rules.AnswerSlackS)
	for {
		until, absent := h.absentUntil(r.relay, due)
		switch {
		case !absent:
			return due
		case until == never:
			return never
		}
		due = until + 1
	}
}

// checkInTime checks that a request has an outcome in time. It returns whether the other checks of the outcome apply.
func (h *history) checkInTime(r *request) bool {
	due, completed := h.outcomeDue(r), r.completedAt()
	switch {
	case r.machineLostAt >= 0 && (completed < 0 || completed >= r.machineLostAt):
		return false // the request was lost with the relay's machine
	case completed < 0 && due < h.end:
		h.reportRequest(OutcomeMissing, due, r, "taken on at %s, no end by %s", formatTime(r.answeredAt), formatTime(due))
		return false
	case completed > max(due, r.deadline+missingAfter+socketSlack):
		h.reportRequest(OutcomeMissing, completed, r, "ended at %s, %s after its time was up: that is no end", formatTime(completed), formatTime(completed-r.deadline))
	case completed > due:
		h.reportRequest(OutcomeLate, completed, r, "ended at %s, due by %s", formatTime(completed), formatTime(due))
	}
	return true
}

// checkNotices checks that the notices of a request agree with one another and with its delivery, and returns whether they do.
func (h *history) checkNotices(r *request) bool {
	first := r.notices[0]
	for _, n := range r.notices {
		if n.State != first.State {
			h.reportRequest(OutcomeTwice, n.At, r, "notices of %s and of %s", first.State, n.State)
			return false
		}
	}
	crossing := max(first.At, r.deliveredAt)-min(first.At, r.deliveredAt) <= crossingTime
	if r.deliveredAt < 0 || crossing {
		return true
	}
	// If a process could not record the response before it ended, a notice by the next process is not a second outcome.
	if _, absent := h.absentUntil(r.relay, r.deliveredAt+crossingTime); absent || h.couldNotRecord(r.relay, r.deliveredAt) {
		return true
	}
	h.reportRequest(OutcomeTwice, max(first.At, r.deliveredAt), r, "delivered at %s, and noticed as %s at %s",
		formatTime(r.deliveredAt), first.State, formatTime(first.At))
	return false
}

// checkNoAttemptAfterNotice checks that no attempt began after the platform had received the notice of a request. A delivered attempt
// is left to checkNotices.
func (h *history) checkNoAttemptAfterNotice(r *request) {
	notifiedAt := r.notices[0].At
	for _, a := range r.attempts {
		if a.firstByte > notifiedAt+crossingTime && a.outcome != OK {
			h.reportRequest(OutcomeTwice, a.firstByte, r, "sent to %s at %s, after its end at %s", a.endpoint,
				formatTime(a.firstByte), formatTime(notifiedAt))
			return
		}
	}
}
