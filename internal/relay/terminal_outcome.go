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

// expiredAtEndpoint is the outcome of a request of which an endpoint says that its deadline has passed: the platform is
// owed no notice, and only the dead-letter store records it.
const expiredAtEndpoint = "out-of-time"

// deadlineMargin before its deadline a request that fails counts as expired: with less time left no further attempt would
// come to its end.
const deadlineMargin = time.Second

// fail ends a request undelivered: by its response if that is still due, else by a notice.
func (l *loop) fail(r *request, response frontend.Response, status string) {
	if r == nil || r.completed() {
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

// rejectCandidate ends a request by its response.
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

// decideOutcome decides a request's terminal outcome; it has one only. Callers leave completed requests alone.
func (l *loop) decideOutcome(r *request, status string) {
	if r.completed() {
		l.violations.Record(invariant.CompletedTwice, r.ID, "destination", r.Destination, "outcome", status)
		return
	}
	r.transition(stateOutcomeDecided)
}

// recordOutcome puts a terminal outcome on record.
func (l *loop) recordOutcome(r *request, notice notification.Notice, reason deadletter.Reason, at clock.Instant) {
	l.journal.DecideOutcome(r.Entry, notice, string(reason), at)
	r.outcomeRecord = l.journal.LastRecord()
}

// publishOutcome publishes a terminal outcome to all that are owed it: the platform, and the subsystems.
func (l *loop) publishOutcome(r *request) {
	l.checkOutcomeRecorded(r)
	owesNotice := !r.Redelivery && r.PendingNotice.Status != expiredAtEndpoint
	if owesNotice {
		l.notifier.Enqueue(*r.PendingNotice)
	}
	if awaited := l.publishToSubsystems(r); !awaited && !owesNotice {
		l.evict(r)
	}
}

// publishDelivered publishes a delivery to the subsystems; the platform is owed nothing.
func (l *loop) publishDelivered(r *request) {
	if !l.publishToSubsystems(r) {
		l.evict(r)
	}
}

// checkOutcomeRecorded checks that a terminal outcome which is about to be published would be found by a later process, or
// that the request's deadline has passed, so that a later process could only fail it again.
func (l *loop) checkOutcomeRecorded(r *request) {
	if l.journal.Durable(r.outcomeRecord) || l.timeline.Now() >= r.Deadline {
		return
	}
	l.violations.Record(invariant.CompletionUnrecorded, r.ID, "destination", r.Destination, "left", r.Deadline.Sub(l.timeline.Now()))
}

// handleNoticesAcknowledged takes in that the platform has notices.
func (l *loop) handleNoticesAcknowledged(ids []string) {
	for _, id := range ids {
		if r := l.requests[id]; r != nil {
			l.traceEvent(trace.Event{Kind: trace.Notified, ID: id, Class: r.Class, Destination: r.Destination})
			l.acknowledged(r)
			l.notified(r)
		}
	}
}

// notified notes that the platform is owed nothing more for a request: it is evicted, unless a subsystem still needs it.
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

// acknowledged notifies the dispatcher that the terminal outcome of a request with an order key is known where it is owed:
// only then the next one of its key may be sent. An attempt that overtakes the notice of the request before is out of order.
func (l *loop) acknowledged(r *request) {
	if r.OrderKey != "" {
		l.wakeDispatcher(policy.Acknowledged{ID: r.ID})
	}
}

// evict notes that nothing more is owed for a request.
func (l *loop) evict(r *request) {
	r.transition(stateEvicted)
	for _, s := range l.subsystems {
		s.evicted(r)
	}
	if l.journal.Entry(r.ID) == r.Entry {
		l.journal.Complete(r.Entry, l.timeline.Now())
	}
	r.PendingNotice = nil
	if r.cancel == nil {
		delete(l.requests, r.ID)
	}
}

// countCompleted has the metrics count a request's outcome, once.
func (l *loop) countCompleted(r *request, outcome admin.Outcome) {
	if !r.Redelivery && !r.countedCompleted {
		r.countedCompleted = true
		l.metrics.Completed(r.Class, outcome, r.countedInFlight)
	}
}

// failureReason says why a request is not delivered.
func (l *loop) failureReason(r *request, status string) deadletter.Reason {
	now := l.timeline.Now()
	switch {
	case l.class(r.Class) < 0:
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
