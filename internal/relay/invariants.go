package relay

import (
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/notification"
	"frostlink/policy"
)

// overdueMargin is the delay between the time at which a request's outcome is due and the loop's check that the outcome was
// decided. The delay lets one batch check several requests.
const overdueMargin = 20 * time.Millisecond

// invariantFacts returns the facts about a request that the checks of package invariant need.
func (l *loop) invariantFacts(r *request) invariant.Request {
	if r.acceptedTerms == nil {
		r.acceptedTerms = l.journal.Terms(r.Entry)
	}
	return invariant.Request{Entry: r.Entry, Terms: r.acceptedTerms, Completed: r.completed() || r.attemptsEnded, InFlight: r.attemptInFlight}
}

// failOverdue fails requests whose outcome is overdue because the dispatcher has not decided it.
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

// cancelRequest removes a request from the dispatcher, and cancels its attempt in flight.
func (l *loop) cancelRequest(r *request) {
	l.wakeDispatcher(policy.MessageCanceled{ID: r.ID})
	if r.cancel != nil {
		l.immediately(r.cancel)
	}
}

// checkMixedClocks records a violation for each time that was converted to the timeline although it was not read in this
// process: such a conversion depends on the wall clock.
func (l *loop) checkMixedClocks() {
	for range l.timeline.MixedReadings() {
		l.violations.Record(invariant.MixedClocks, "", "at", clock.Instant(l.now()).Time())
	}
}
