package relay

import (
	"log/slog"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// commit writes the batch's records, and only then answers clients and makes calls: what was answered with 202 and what was sent must
// be known to a later process.
func (l *loop) commit() {
	written := l.writeRecords()
	fresh, sends, prompt := l.candidates, l.attempts, l.immediateEffects
	l.candidates, l.attempts, l.immediateEffects = nil, nil, nil
	for _, m := range fresh {
		l.respond(m, written)
	}
	for _, s := range sends {
		if !written {
			l.attemptNotSent(s)
			continue
		}
		l.startAttempt(s)
	}
	for _, m := range fresh {
		switch { // not accepted after all
		case m.responses != nil:
			l.evict(m)
		case m.Redelivery && !m.over && !written:
			l.returnRedelivery(m, "")
		}
	}
	for _, do := range prompt {
		do()
	}
	l.runAfterCommitEffects(written)
	l.metrics.Publish(admin.Gauges{EndpointsListed: len(l.endpoints), EndpointsUnhealthy: l.dispatcher.UnhealthyEndpoints()})
}

// writeRecords writes the records that were noted, and follows the folder's state: while it is degraded nothing is sent, and it is tried
// again after a pause.
func (l *loop) writeRecords() (written bool) {
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
		slog.Warn("the folder's state has changed", "from", before.String(), "to", after.String(), "err", err)
		l.traceEvent(trace.Event{Kind: trace.FolderStateChanged, Outcome: after.String()})
		l.folderDegraded(after == journal.Degraded)
	}
	return err == nil
}

// folderDegraded has the module send nothing while the folder is degraded: each attempt that can't be recorded would count as one made.
func (l *loop) folderDegraded(degraded bool) {
	switch {
	case degraded:
		l.events = append(l.events, policy.Quiesced{})
	case !l.stopping:
		l.events = append(l.events, policy.Resumed{})
	}
	l.wakeAt = 0 // the module has an event to act on
}

// retryAt is when the folder is to be tried again, or an effect can't wait for it any more; ok is false while
// neither is awaited.
func (l *loop) retryAt() (at time.Duration, ok bool) {
	if l.folder.State() != journal.Degraded {
		return 0, false
	}
	at = l.folder.RetryAt()
	for _, e := range l.afterCommitEffects {
		if e.runBy > 0 {
			at = min(at, time.Duration(e.runBy))
		}
	}
	return at, true
}
