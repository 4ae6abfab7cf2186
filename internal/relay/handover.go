package relay

import (
	"context"
	"log/slog"
	"net"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/logkey"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// handoverState is the state that one process hands over to another in addition to the journal; see docs/design/handover.md.
type handoverState struct {
	Snapshot  *policy.Snapshot   `json:"memory"`
	Classes   []policy.Class     `json:"classes"` // Snapshot refers to classes by their index in this list
	Completed []completedRequest `json:"past,omitempty"`
	Attempts  []detachedAttempt  `json:"calls,omitempty"`
	// Standby says that operators put the relay in standby at StandbySince.
	Standby      bool          `json:"away,omitempty"`
	StandbySince clock.Instant `json:"since,omitzero"`

	conns map[string]*net.TCPConn // the connections of Attempts, by request id
}

// completedRequest identifies a completed request, so that the successor recognizes a repeated submission of it.
type completedRequest struct {
	ID string        `json:"id"`
	At clock.Instant `json:"at"`
}

// detachedAttempt is an attempt in flight whose response the successor awaits.
type detachedAttempt struct {
	ID        string             `json:"id"` // of the request
	Attempt   int                `json:"attempt"`
	Endpoint  discovery.Endpoint `json:"host"`
	StartedAt clock.Instant      `json:"begun"`
	Timeout   time.Duration      `json:"timeout"` // counted from StartedAt
}

// awaitResume answers the quiesce request with the loop's state, and waits until the loop is resumed. It returns false if the
// loop must end instead.
func (l *loop) awaitResume(ctx context.Context) bool {
	quiesce := l.quiescing
	l.quiescing = nil
	if err := l.journal.Compact(); err != nil {
		slog.Error("writing the journal for a hand-over failed", logkey.Err, err)
		quiesce.state <- nil
	} else {
		quiesce.state <- l.handoverState()
	}
	select {
	case <-ctx.Done():
		return false
	case <-quiesce.resume:
	}
	for id, conn := range l.detached {
		delete(l.detached, id)
		l.awaitResponse(ctx, l.requests[id].attempt, conn)
	}
	l.resumeSending()
	l.wakeDispatcher()
	return true
}

// handoverState returns the state that this process hands over in addition to the journal.
func (l *loop) handoverState() *handoverState {
	h := &handoverState{Snapshot: l.dispatcher.Snapshot(), Classes: l.cfg.policy.Classes, conns: l.detached}
	if standby, since := l.mode.InStandby(); standby {
		h.Standby, h.StandbySince = true, l.timeline.InstantOf(since)
	}
	for _, e := range l.journal.CompletedRequests() { // includes requests for which the journal file had no space
		h.Completed = append(h.Completed, completedRequest(e))
	}
	for id := range l.detached {
		p := l.requests[id].attempt
		h.Attempts = append(h.Attempts, detachedAttempt{
			ID: id, Attempt: p.index, Endpoint: p.endpoint, StartedAt: l.timeline.InstantOf(p.request.attemptStarted), Timeout: p.timeout,
		})
	}
	return h
}

// resumeHandedOverAttempt awaits the response to a request's attempt that was in flight at the hand-over, if the predecessor
// handed over the attempt's connection, and reports whether there is such an attempt. Otherwise only the journal's records of
// the request's attempts are available.
func (l *loop) resumeHandedOverAttempt(ctx context.Context, r *request, predecessor *handoverState) bool {
	conn := predecessor.conns[r.ID]
	if conn == nil {
		return false
	}
	delete(predecessor.conns, r.ID)
	for _, a := range predecessor.Attempts {
		if a.ID == r.ID && a.Attempt == len(r.Attempts)-1 && !r.Attempts[a.Attempt].Ended {
			r.attemptStarted = l.timeline.TimeOf(a.StartedAt)
			l.awaitResponse(ctx, plannedAttempt{request: r, index: a.Attempt, endpoint: a.Endpoint, timeout: a.Timeout}, conn)
			return true
		}
	}
	_ = conn.Close() // no attempt in flight belongs to it
	return false
}

// awaitResponse awaits, on conn, the response to an attempt whose request has already been sent.
func (l *loop) awaitResponse(ctx context.Context, p plannedAttempt, conn *net.TCPConn) {
	l.runAttempt(ctx, p, func(ctx context.Context, r upstream.Request) upstream.Result {
		return l.pool.AwaitResponse(ctx, r, conn)
	})
}
