package relay

import (
	"context"

	"frostlink/internal/journal"
)

// subsystem is a part of the relay that tracks requests. Its goroutines send events to the loop. The loop calls all methods
// except run on its own goroutine, at the points of a request's lifecycle that the methods are named after. A subsystem
// schedules its effects with the loop (loop.afterCommit, loop.immediately), so that the order of loop.commit holds for them.
type subsystem interface {
	// run runs the subsystem's goroutines until ctx ends, and returns when they have ended.
	run(ctx context.Context)
	// settingsChanged applies new settings.
	settingsChanged(cfg *Config)

	// submitted completes the journal entry of a submission before the dispatcher sees it.
	submitted(e *journal.Entry)
	// rejected is called for a candidate that the dispatcher rejects with a status. The journal has no record of the candidate.
	rejected(r *request, status string)
	// accepted is called for a request that was added to the journal in this batch, or that was recovered from the journal.
	accepted(r *request)
	// acceptanceNotWritten is called for an accepted request whose record could not be written with its batch.
	acceptanceNotWritten(r *request)
	// claimOutcome reports whether the subsystem takes charge of recording and publishing a terminal outcome. status is one
	// of trace.Delivered, trace.Withdrawn, notification.Deferred and notification.Undeliverable.
	claimOutcome(r *request, status string) (claimed bool)
	// publish is called for a request whose terminal outcome is recorded and may be published. awaited reports whether the
	// request must stay in the journal until the subsystem evicts it.
	publish(r *request) (awaited bool)
	// notified is called when a request needs no further notice to the platform. awaited has the same meaning as for publish.
	notified(r *request) (awaited bool)
	// evicted is called for a request that is being evicted.
	evicted(r *request)

	// beforeCommit is called after a batch's actions are carried out and before its records are written.
	beforeCommit()
	// freeJournalSpace evicts a request that is in the journal only for the subsystem. freed reports whether there was one.
	freeJournalSpace() (freed bool)
}

// claimOutcome reports whether a subsystem takes charge of a terminal outcome.
func (l *loop) claimOutcome(r *request, status string) bool {
	for _, s := range l.subsystems {
		if s.claimOutcome(r, status) {
			return true
		}
	}
	return false
}

// publishToSubsystems publishes a terminal outcome to all subsystems. awaited reports whether any of them still needs the
// request in the journal.
func (l *loop) publishToSubsystems(r *request) (awaited bool) {
	for _, s := range l.subsystems {
		awaited = s.publish(r) || awaited
	}
	return awaited
}

// freeJournalSpace makes a subsystem evict a request that only the subsystem needs, and reports whether there was one.
func (l *loop) freeJournalSpace() bool {
	for _, s := range l.subsystems {
		if s.freeJournalSpace() {
			return true
		}
	}
	return false
}
