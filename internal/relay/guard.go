package relay

import (
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// This file has the loop's one guard for sending, repeating and ending messages: what package invariant checks.

// invariantFacts are what the checks have to know of a message.
func (l *loop) invariantFacts(m *request) invariant.Message {
	if m.acceptedTerms == nil {
		m.acceptedTerms = l.journal.Terms(m.Entry)
	}
	return invariant.Message{Entry: m.Entry, Terms: m.acceptedTerms, Completed: m.over, InFlight: m.attemptInFlight}
}

// decideOutcome decides a message's terminal outcome; it has one only. Callers leave messages alone that are over.
func (l *loop) decideOutcome(m *request, outcome string) {
	if m.over {
		l.violations.Record(invariant.CompletedTwice, m.ID, "destination", m.Destination, "outcome", outcome)
	}
	m.over = true
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

// failOverdue ends messages that the module should have ended.
func (l *loop) failOverdue() {
	open := func(id string) bool { m := l.requests[id]; return m != nil && !m.over }
	for _, id := range l.deadlines.Overdue(l.timeline.Now(), open) {
		m := l.requests[id]
		l.violations.Record(invariant.CompletionOverdue, id, "destination", m.Destination, "attempts", len(m.Attempts), "late", l.timeline.Now().Sub(m.Deadline))
		l.fail(m, frontend.Response{}, notification.Undeliverable)
		l.events = append(l.events, policy.Cancelled{ID: id})
		l.wakeAt = 0 // the module has an event to act on
		if m.cancel != nil {
			l.immediately(m.cancel)
		}
	}
}

// nextWake is when the loop goes on by itself: for the module, for a message whose outcome is due, or to try the folder again.
func (l *loop) nextWake() time.Duration {
	at := l.wakeAt
	if due := l.deadlines.Next(); due > 0 {
		at = min(at, time.Duration(due)+overdueMargin)
	}
	if retry, ok := l.retryAt(); ok {
		at = min(at, retry)
	}
	return at
}

// overdueMargin after a message's outcome is due the loop looks whether it was decided, so that one batch serves several.
const overdueMargin = 20 * time.Millisecond

// checkMixedClocks counts spans that were taken from two kinds of clock.
func (l *loop) checkMixedClocks() {
	for range l.timeline.MixedReadings() {
		l.violations.Record(invariant.MixedClocks, "", "at", clock.Instant(l.now()).Time())
	}
}
