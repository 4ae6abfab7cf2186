package relay

import (
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/notification"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// expiredAtEndpoint is the outcome of a request whose deadline has passed according to an endpoint: the platform gets no
// notice, and only the dead-letter store records it.
const expiredAtEndpoint = "out-of-time"

// deadlineMargin is the time left below which a request that fails counts as expired: another attempt would not end in
// time.
const deadlineMargin = time.Second

// fail ends a request undelivered: by the response to its submission if the submission is not answered yet, else by a notice.
func (l *loop) fail(r *request, response frontend.Response, status string) {
	if r == nil || r.completed() {
		return
	}
	if r.likelyDelivered {
		l.endLikelyDelivered(r)
		return
	}
	if l.claimOutcome(r, status) {
		return
	}
	counted := admin.Failure
	if status == notification.Deferred {
		counted = admin.Shed
	}
	l.countCompleted(r, counted)
	if r.responses != nil {
		l.rejectCandidate(r, response, status)
		return
	}
	l.traceCompleted(r, status)
	l.decideOutcome(r, status)
	notice := notification.Notice{ID: r.ID, Status: status, RetryAfterMS: response.RetryAfter.Milliseconds()}
	l.recordOutcome(r, notice, l.failureReason(r, status), l.timeline.Now())
	l.afterCommitOrBy(r.Deadline, func() { l.publishOutcome(r) })
}

// endLikelyDelivered ends a request that most likely was delivered, and that can't be sent again, as delivered.
func (l *loop) endLikelyDelivered(r *request) {
	l.traceCompleted(r, trace.Delivered)
	l.countCompleted(r, admin.Success)
	l.acknowledged(r)
	if !l.claimOutcome(r, trace.Delivered) {
		l.evict(r)
	}
}

// rejectCandidate ends a candidate by the response to its submissions.
func (l *loop) rejectCandidate(r *request, response frontend.Response, status string) {
	responses := r.responses
	l.traceRejected(r.Entry, r.retryInfo, rejectedByAdmission, response.RetryAfter)
	for _, s := range l.subsystems {
		s.rejected(r, status)
	}
	r.responses = nil
	l.immediately(func() {
		respondAll(responses, response)
		l.acknowledged(r)
	})
	l.evict(r)
}

// decideOutcome decides a request's terminal outcome. A request has only one outcome, so the request must not be completed.
func (l *loop) decideOutcome(r *request, status string) {
	if r.completed() {
		l.violations.Record(invariant.CompletedTwice, r.ID, "destination", r.Destination, "outcome", status)
		return
	}
	r.transition(stateOutcomeDecided)
}

// recordOutcome adds a terminal outcome to the journal. The record is durable after the next commit that succeeds.
func (l *loop) recordOutcome(r *request, notice notification.Notice, reason deadletter.Reason, at clock.Instant) {
	l.journal.DecideOutcome(r.Entry, notice, string(reason), at)
	r.outcomeRecord = l.journal.LastRecord()
}

// publishOutcome publishes a terminal outcome to the subsystems, and to the platform if the outcome needs a notice.
func (l *loop) publishOutcome(r *request) {
	l.checkOutcomeRecorded(r)
	needsNotice := !r.Redelivery && r.PendingNotice.Status != expiredAtEndpoint
	if needsNotice {
		l.notifier.Enqueue(*r.PendingNotice)
	}
	if awaited := l.publishToSubsystems(r); !awaited && !needsNotice {
		l.evict(r)
	}
}

// publishDelivered publishes a delivery to the subsystems. The platform gets no notice of a delivery.
func (l *loop) publishDelivered(r *request) {
	if !l.publishToSubsystems(r) {
		l.evict(r)
	}
}

// checkOutcomeRecorded checks that a later process would find the terminal outcome that is about to be published, or that the
// request's deadline has passed, so that a later process could only fail the request again.
func (l *loop) checkOutcomeRecorded(r *request) {
	if l.journal.Durable(r.outcomeRecord) || l.timeline.Now() >= r.Deadline {
		return
	}
	l.violations.Record(invariant.CompletionUnrecorded, r.ID, "destination", r.Destination, "left", r.Deadline.Sub(l.timeline.Now()))
}

// handleNoticesAcknowledged handles the platform's acknowledgement of notices.
func (l *loop) handleNoticesAcknowledged(ids []string) {
	for _, id := range ids {
		if r := l.requests[id]; r != nil {
			l.traceEvent(trace.Event{Kind: trace.Notified, ID: id, Class: r.Class, Destination: r.Destination})
			l.acknowledged(r)
			l.notified(r)
		}
	}
}

// notified notes that a request needs no further notice: it is evicted, unless a subsystem still needs it.
func (l *loop) notified(r *request) {
	awaited := false
	for _, s := range l.subsystems {
		awaited = s.notified(r) || awaited
	}
	if !awaited {
		l.evict(r)
		return
	}
	r.transition(stateNotified)
}

// acknowledged notifies the dispatcher that the terminal outcome of a request with an order key has reached its recipient.
// Only then may the next request of that key be sent: an attempt that overtakes the previous request's notice would be out of
// order.
func (l *loop) acknowledged(r *request) {
	if r.OrderKey != "" {
		l.wakeDispatcher(policy.Acknowledged{ID: r.ID})
	}
}

// evict notes that a request needs no further publication or attempt, and drops it from memory, unless an attempt is in
// flight.
func (l *loop) evict(r *request) {
	if l.journal.Entry(r.ID) == r.Entry {
		l.journal.Complete(r.Entry, l.timeline.Now())
	}
	l.drop(r)
}

// withdraw drops a request whose acceptance could not be written. Its client was told that the request was not accepted, or was told
// nothing, and may submit it again under the same id: a response 202 to that must accept it.
func (l *loop) withdraw(r *request) {
	if l.journal.Entry(r.ID) == r.Entry {
		l.journal.Withdraw(r.Entry)
	}
	l.drop(r)
}

// drop drops a request that is no longer in the journal from memory, unless an attempt is in flight.
func (l *loop) drop(r *request) {
	r.transition(stateEvicted)
	for _, s := range l.subsystems {
		s.evicted(r)
	}
	r.PendingNotice = nil
	if r.cancel == nil {
		delete(l.requests, r.ID)
	}
}

// countCompleted counts a request's outcome in the metrics, once. Redeliveries are not counted.
func (l *loop) countCompleted(r *request, outcome admin.Outcome) {
	if !r.Redelivery && !r.countedCompleted {
		r.countedCompleted = true
		l.metrics.Completed(r.Class, outcome, r.countedInFlight)
	}
}

// countUnconfirmedDelivery counts a delivery that is still to be confirmed. Its confirmation takes longer than metrics may lag behind.
func (l *loop) countUnconfirmedDelivery(r *request) {
	if !r.countedCompleted {
		l.countCompleted(r, admin.Success)
		r.countedUnconfirmed = r.countedCompleted
	}
}

// uncountUnconfirmedDelivery undoes countUnconfirmedDelivery, since the delivery was refuted.
func (l *loop) uncountUnconfirmedDelivery(r *request) {
	if r.countedUnconfirmed {
		r.countedUnconfirmed, r.countedCompleted = false, false
		l.metrics.Reopened(r.Class, admin.Success, r.countedInFlight)
	}
}

// failureReason returns why a request was not delivered.
func (l *loop) failureReason(r *request, status string) deadletter.Reason {
	now := l.timeline.Now()
	switch {
	case l.classIndex(r.Class) < 0:
		return deadletter.SettingsChanged
	case now > r.Deadline && r.recovered:
		return deadletter.ProcessEnded
	case now > r.Deadline:
		return deadletter.DeadlineExceeded
	case len(r.Attempts) >= l.cfg.policy.MaxAttempts:
		return deadletter.AttemptsExhausted
	case status == notification.Undeliverable:
		return deadletter.OutcomeUnknown
	case now > r.Deadline.Add(-deadlineMargin):
		return deadletter.DeadlineExceeded
	}
	return deadletter.ShedAfterAcceptance
}
