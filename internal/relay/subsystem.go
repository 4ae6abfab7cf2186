package relay

import (
	"context"

	"frostlink/internal/journal"
)

// subsystem is a part of the relay that follows requests. Its goroutines send the loop events (loop.send); the loop calls
// all methods but run on its own goroutine, at the points of a request's life that they name. What a subsystem wants done
// it hands to the loop's effects (loop.afterCommit, loop.immediately), so that the order of loop.commit holds for it too.
type subsystem interface {
	// run runs the subsystem's goroutines until ctx ends, and returns when they have ended.
	run(ctx context.Context)
	// settingsChanged takes over new settings.
	settingsChanged(cfg *Config)

	// submitted completes the journal entry of a submission before the dispatcher sees it.
	submitted(e *journal.Entry)
	// rejected is called for a candidate that the dispatcher rejects with a status. No record of it is owed to anybody.
	rejected(r *request, status string)
	// accepted is called for a request that the journal holds from now on, or that was recovered from it.
	accepted(r *request)
	// acceptanceNotWritten is called for an accepted request whose record could not be written in its batch.
	acceptanceNotWritten(r *request)
	// claimOutcome reports whether the subsystem takes charge of recording and publishing a terminal outcome. status is one
	// of trace.Delivered, trace.Withdrawn, notification.Deferred and notification.Undeliverable.
	claimOutcome(r *request, status string) (claimed bool)
	// publish is called for a request whose terminal outcome is recorded and may be published. awaited reports that the request must stay in the
	// journal until the subsystem evicts it.
	publish(r *request) (awaited bool)
	// notified is called when the platform is owed nothing more for a request. awaited is as for publish.
	notified(r *request) (awaited bool)
	// evicted is called for a request for which nothing more is owed.
	evicted(r *request)

	// beforeCommit is called when a batch's actions are carried out and before its records are written.
	beforeCommit()
	// freeJournalSpace evicts a request that only the subsystem needs in the journal, and reports whether there was one.
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

// publishToSubsystems publishes a terminal outcome to all subsystems, and reports whether any needs the request for longer.
func (l *loop) publishToSubsystems(r *request) (awaited bool) {
	for _, s := range l.subsystems {
		awaited = s.publish(r) || awaited
	}
	return awaited
}

// freeJournalSpace has a subsystem evict a request that only it needs, and reports whether there was one.
func (l *loop) freeJournalSpace() bool {
	for _, s := range l.subsystems {
		if s.freeJournalSpace() {
			return true
		}
	}
	return false
}
