package relay

import (
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// overdueMargin after a request's outcome is due the loop looks whether it was decided, so that one batch serves several.
const overdueMargin = 20 * time.Millisecond

// invariantFacts are what the checks of package invariant have to know of a request.
func (l *loop) invariantFacts(r *request) invariant.Request {
	if r.acceptedTerms == nil {
		r.acceptedTerms = l.journal.Terms(r.Entry)
	}
	return invariant.Request{Entry: r.Entry, Terms: r.acceptedTerms, Completed: r.completed(), InFlight: r.attemptInFlight}
}

// failOverdue fails requests whose outcome the dispatcher should have decided.
func (l *loop) failOverdue() {
	open := func(id string) bool {
		r := l.requests[id]
		return r != nil && !r.completed()
	}
	for _, id := range l.deadlines.Overdue(l.timeline.Now(), open) {
		r := l.requests[id]
		l.violations.Record(invariant.CompletionOverdue, id, "destination", r.Destination, "attempts", len(r.Attempts), "late", l.timeline.Now().Sub(r.Deadline))
		l.fail(r, frontend.Response{}, notification.Undeliverable)
		l.cancelRequest(r)
	}
}

// cancelRequest takes a request from the dispatcher, and cancels the attempt that is in flight for it.
func (l *loop) cancelRequest(r *request) {
	l.wakeDispatcher(policy.MessageCanceled{ID: r.ID})
	if r.cancel != nil {
		l.immediately(r.cancel)
	}
}

// checkMixedClocks counts spans that were taken from two kinds of clock.
func (l *loop) checkMixedClocks() {
	for range l.timeline.MixedReadings() {
		l.violations.Record(invariant.MixedClocks, "", "at", clock.Instant(l.now()).Time())
	}
}
