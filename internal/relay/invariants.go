package relay

import (
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// invariantFacts are what the checks have to know of a message.
func (l *loop) invariantFacts(m *request) invariant.Message {
	if m.acceptedTerms == nil {
		m.acceptedTerms = l.journal.Terms(m.Entry)
	}
	return invariant.Message{Entry: m.Entry, Terms: m.acceptedTerms, Completed: m.over, InFlight: m.attemptInFlight}
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

// overdueMargin after a message's outcome is due the loop looks whether it was decided, so that one batch serves several.
const overdueMargin = 20 * time.Millisecond

// checkMixedClocks counts spans that were taken from two kinds of clock.
func (l *loop) checkMixedClocks() {
	for range l.timeline.MixedReadings() {
		l.violations.Record(invariant.MixedClocks, "", "at", clock.Instant(l.now()).Time())
	}
}
