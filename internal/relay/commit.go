package relay

import (
	"log/slog"
	"net/http"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/clock"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// This file commits a batch: records first, then the effects that a later process must know of. What needs no record is done
// whatever becomes of the folder.

// deferredEffect is something to be done once the records of its batch are written.
type deferredEffect struct {
	run func()
	// runBy is when it is done all the same; 0: never without its record. The end of a message whose time is up may be told then: a
	// later process that does not find its record can only end it once more.
	runBy clock.Instant
}

// afterCommit has something done once the records of this batch are written.
func (l *loop) afterCommit(do func()) { l.afterCommitEffects = append(l.afterCommitEffects, deferredEffect{run: do}) }

// afterCommitOrBy has something done once the records of this batch are written, or at a time.
func (l *loop) afterCommitOrBy(by clock.Instant, do func()) { l.afterCommitEffects = append(l.afterCommitEffects, deferredEffect{do, by}) }

// immediately has something done at the end of this batch, whatever becomes of its records.
func (l *loop) immediately(do func()) { l.immediateEffects = append(l.immediateEffects, do) }

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

// respond answers the requests that brought a message, where they are not answered yet.
func (l *loop) respond(m *request, written bool) {
	replies := m.responses
	switch {
	case replies == nil && (!m.Redelivery || m.over || written): // refused, or nobody waits for an answer
	case !written:
		// Where records may be in the file all the same a later process may deliver it: that is no promise of no effect.
		v := frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
		if l.journal.MayHoldUncommitted() {
			v = frontend.Response{Status: http.StatusBadGateway}
		}
		respondAll(replies, v)
		l.traceRejected(m.Entry, m.retryInfo, rejectedUnrecorded, v.RetryAfter)
		l.countCompleted(m, admin.Shed)
		l.events = append(l.events, policy.Cancelled{ID: m.ID})
		l.wakeAt = 0 // the module has an event to act on
	default:
		m.responses = nil
		respondAll(replies, frontend.Response{Status: http.StatusAccepted})
	}
}

// runAfterCommitEffects carries out the effects that are due.
func (l *loop) runAfterCommitEffects(written bool) {
	effects := l.afterCommitEffects
	l.afterCommitEffects = nil
	var later []deferredEffect
	now := l.timeline.Now()
	for _, e := range effects {
		if written || e.runBy > 0 && now >= e.runBy {
			e.run()
		} else {
			later = append(later, e)
		}
	}
	l.afterCommitEffects = append(later, l.afterCommitEffects...)
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
