package relay

import (
	"context"
	"log/slog"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/journal"
	"frostlink/internal/logkey"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// commit ends a batch. The rule: an effect that a later process must be able to find in the journal happens only after its
// record is durable. So the records are written first, and a response 202, the start of an attempt and the publication of
// an outcome follow only if the write has succeeded.
func (l *loop) commit(ctx context.Context) {
	// 1. Records.
	durable := l.writeRecords()
	l.publishJournalSpace()
	l.publishJournalUse()

	// 2. Effects that need the records of this batch. If the records are not durable, the candidates are rejected and dropped,
	// and the attempts are not started.
	candidates, attempts, immediate := l.candidates, l.attempts, l.effects.immediate
	l.candidates, l.attempts, l.effects.immediate = nil, nil, nil
	for _, r := range candidates {
		l.respondToCandidate(r, durable)
	}
	for _, p := range attempts {
		if durable {
			l.startAttempt(ctx, p)
		} else {
			l.attemptNotSent(p)
		}
	}
	if !durable {
		for _, r := range candidates {
			l.dropUnrecorded(r)
		}
	}

	// 3. Effects that need no record.
	for _, run := range immediate {
		run()
	}

	// 4. Effects that wait, over several batches if necessary, until their records are durable.
	l.runAfterCommitEffects(durable)

	l.metrics.Publish(admin.Gauges{EndpointsListed: len(l.endpoints), EndpointsUnhealthy: l.dispatcher.UnhealthyEndpoints()})
}

// writeRecords writes the records of the batch and reports whether they are durable. It tracks the folder's state: while the
// folder is degraded, the dispatcher starts no attempt, and the write is retried after a pause.
func (l *loop) writeRecords() (durable bool) {
	now, before := l.now(), l.folder.State()
	if !l.folder.MayWrite(now) {
		return false
	}
	err := l.journal.Commit()
	if err != nil {
		l.folder.WriteFailed(now)
	} else {
		l.folder.WriteSucceeded(now)
	}
	if after := l.folder.State(); after != before {
		slog.Warn("folder state changed", logkey.From, before.String(), logkey.To, after.String(), logkey.Err, err)
		l.traceEvent(trace.Event{Kind: trace.FolderStateChanged, Outcome: after.String()})
		l.folderDegraded(after == journal.Degraded)
	}
	return err == nil
}

// folderDegraded stops the dispatcher from starting attempts while the folder is degraded. Otherwise the dispatcher would count
// attempts that are never made, because their records can't be written.
func (l *loop) folderDegraded(degraded bool) {
	switch {
	case degraded:
		l.wakeDispatcher(policy.Quiesced{})
	case !l.stopping:
		l.wakeDispatcher(policy.Resumed{})
	default:
		l.wakeDispatcher()
	}
}

// folderRetryAt returns when the next write to a degraded folder is due, or the earliest time at which an effect must run
// without its record, if that is earlier. ok is false if the folder is not degraded.
func (l *loop) folderRetryAt() (at time.Duration, ok bool) {
	if l.folder.State() != journal.Degraded {
		return 0, false
	}
	at = l.folder.RetryAt()
	for _, e := range l.effects.afterCommit {
		if e.runBy > 0 {
			at = min(at, time.Duration(e.runBy))
		}
	}
	return at, true
}
