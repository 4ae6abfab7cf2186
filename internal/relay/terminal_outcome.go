package relay

import (
	"frostlink/internal/admin"
	"frostlink/internal/deadletter"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/notification"
)

// countCompleted has the figures count a message's end, once.
func (l *loop) countCompleted(m *request, end admin.Outcome) {
	if !m.Redelivery && !m.countedCompleted {
		m.countedCompleted = true
		l.metrics.Completed(m.Class, end, m.countedInFlight)
	}
}

// checkOutcomeRecorded checks that a terminal outcome which is about to be told would be found by a later process, or that its message's time
// is up, so that a later process could only end it again.
func (l *loop) checkOutcomeRecorded(m *request) bool {
	if l.journal.Durable(m.outcomeRecord) || l.timeline.Now() >= m.Deadline {
		return true
	}
	l.violations.Record(invariant.CompletionUnrecorded, m.ID, "destination", m.Destination, "left", m.Deadline.Sub(l.timeline.Now()))
	return false
}

// reason says why a message ends undelivered.
func (l *loop) reason(m *request, status string) deadletter.Reason {
	now := l.timeline.Now()
	switch {
	case l.class(m.Class) < 0:
		return deadletter.Settings
	case now > m.Deadline:
		if m.recovered {
			return deadletter.ProcessEnded
		}
		return deadletter.OutOfTime
	case len(m.Attempts) >= l.cfg.policy.MaxAttempts:
		return deadletter.Spent
	case status == notification.Undeliverable:
		return deadletter.Doubtful
	case now > m.Deadline.Add(-deadlineMargin):
		return deadletter.OutOfTime
	}
	return deadletter.RefusedLate
}

// publishOutcome tells the end of a message that owes one: to the platform, and to the store where one is kept; that of a
// resend to the store alone.
func (l *loop) publishOutcome(m *request) {
	l.checkOutcomeRecorded(m)
	switch {
	case (m.Redelivery || m.PendingNotice.Status == expiredAtEndpoint) && l.writer == nil: // the operator has turned the store off: nobody is left to tell
		l.evict(m)
	case m.Redelivery:
		res := deadletter.Result{Life: l.deadLetterLife(m), Delivered: m.PendingNotice.Status == redeliveryDelivered}
		if m.PendingNotice.Status == redeliverySuperseded {
			res.Life.Reason, res.Overtaken = deadletter.Overtaken, m.Reason // which by
		}
		l.writer.addResult(res)
	case m.PendingNotice.Status == expiredAtEndpoint:
		l.noticed(m) // there is none
		l.writer.store(l.deadLetterRecord(m, l.deadLetterLife(m)))
	default:
		l.notifier.Enqueue(*m.PendingNotice)
		if l.writer != nil {
			l.writer.store(l.deadLetterRecord(m, l.deadLetterLife(m)))
		}
	}
}

// fail ends a message undelivered: by its answer if that is still due, else by a notice.
func (l *loop) fail(m *request, v frontend.Response, status string) {
	if m == nil || m.over {
		return
	}
	if m.Redelivery {
		l.decideRedelivery(m, status, "")
		return
	}
	if status == notification.Deferred {
		l.countCompleted(m, admin.Shed)
	} else {
		l.countCompleted(m, admin.Failure)
	}
	if replies := m.responses; replies != nil {
		l.traceRejected(m.Entry, m.retryInfo, rejectedByAdmission, v.RetryAfter)
		l.recordRejected(m, status)
		m.responses = nil
		l.immediately(func() {
			respondAll(replies, v)
			l.acknowledged(m)
		})
		l.evict(m)
		return
	}
	l.traceCompleted(m, status)
	l.decideOutcome(m, status)
	n := notification.Notice{ID: m.ID, Status: status, RetryAfterMS: v.RetryAfter.Milliseconds()}
	l.journal.DecideOutcome(m.Entry, n, string(l.reason(m, status)), l.timeline.Now())
	m.outcomeRecord = l.journal.LastRecord()
	l.afterCommitOrBy(m.Deadline, func() { l.publishOutcome(m) })
}
