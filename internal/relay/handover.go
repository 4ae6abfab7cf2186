package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	front "frostlink/internal/frontend/http1"
	"frostlink/internal/handover"
	"frostlink/internal/journal"
	"frostlink/internal/syserr"
	"frostlink/internal/upstream"
	"frostlink/internal/upstream/http1"
	"frostlink/internal/wait"
	"frostlink/policy"
)

// handoverState is what one process hands another beside the journal.
type handoverState struct {
	Memory    *policy.Snapshot   `json:"memory"`
	Classes   []policy.Class     `json:"classes"` // the table, with the numbers that Memory goes by
	Completed []completedRequest `json:"past,omitempty"`
	Attempts  []detachedAttempt  `json:"calls,omitempty"`
	// Standby: clients are sent away, since then.
	Standby      bool          `json:"away,omitempty"`
	StandbySince clock.Instant `json:"since,omitzero"`

	conns map[string]*net.TCPConn // of the calls, by message
}

// completedRequest is a message that is over.
type completedRequest struct {
	ID string        `json:"id"`
	At clock.Instant `json:"at"`
}

// detachedAttempt is a call out.
type detachedAttempt struct {
	ID        string             `json:"id"`
	Attempt   int                `json:"attempt"`
	Endpoint  discovery.Endpoint `json:"host"`
	StartedAt clock.Instant      `json:"begun"`
	Timeout   time.Duration      `json:"timeout"` // from Begun on
}

// resumeAttempt goes on with a message's call, if its connection has come; else what the journal says is all that is known of it.
func (h *handoverState) resumeAttempt(l *loop, m *request) bool {
	conn := h.conns[m.ID]
	if conn == nil {
		return false
	}
	delete(h.conns, m.ID)
	for _, c := range h.Attempts {
		if c.ID == m.ID && c.Attempt == len(m.Attempts)-1 && !m.Attempts[c.Attempt].Ended {
			m.attemptStarted = l.timeline.TimeOf(c.StartedAt)
			l.resumeAttempt(plannedAttempt{request: m, index: c.Attempt, endpoint: c.Endpoint, timeout: c.Timeout}, conn)
			return true
		}
	}
	_ = conn.Close()
	return false
}

// resumeAttempt waits for the answer to a call that was written before.
func (l *loop) resumeAttempt(s plannedAttempt, conn *net.TCPConn) {
	l.runAttempt(s, func(ctx context.Context, r upstream.Request) upstream.Result {
		return l.pool.AwaitResponse(ctx, r, conn)
	})
}

// quiesceRequested asks the loop to write its state down and to do nothing until it is thawed, or ended. It does so once no call is
// out that is not parked.
type quiesceRequested struct {
	state  chan *handoverState // room for one; nil: it can't
	resume chan struct{}       // closed to go on
}

// awaitResume answers a freeze and waits for its end; false: the loop is at its own.
func (l *loop) awaitResume(ctx context.Context) bool {
	f := l.quiescing
	l.quiescing = nil
	if err := l.journal.Compact(); err != nil {
		slog.Error("the state can't be handed over", "err", err)
		f.state <- nil
	} else {
		f.state <- l.handoverState()
	}
	select {
	case <-ctx.Done():
		return false
	case <-f.resume:
	}
	for id, conn := range l.detached {
		delete(l.detached, id)
		l.resumeAttempt(l.requests[id].attempt, conn)
	}
	l.resumeSending()
	l.wakeAt = 0
	return true
}

// handoverState is what this process hands over beside the journal.
func (l *loop) handoverState() *handoverState {
	h := &handoverState{Memory: l.dispatcher.Snapshot(), Classes: l.cfg.policy.Classes, conns: l.detached}
	if away, since := l.mode.InStandby(); away {
		h.Standby, h.StandbySince = true, l.timeline.InstantOf(since)
	}
	for _, e := range l.journal.CompletedRequests() { // what the file had no room for as well
		h.Completed = append(h.Completed, completedRequest(e))
	}
	for id := range l.detached {
		s := l.requests[id].attempt
		h.Attempts = append(h.Attempts, detachedAttempt{id, s.index, s.endpoint, l.timeline.InstantOf(s.request.attemptStarted), s.timeout})
	}
	return h
}

// Quiesce brings the relay to a stop and gives what another process needs to go on from there.
func (n *node) Quiesce(ctx context.Context) (state any, items []handover.Conn, err error) {
	n.quiesced = &quiescedNode{quiesceRequested: quiesceRequested{make(chan *handoverState, 1), make(chan struct{})}}
	n.loop.send(stopSending{})
	if n.quiesced.clients, err = n.frontend.Quiesce(ctx); err != nil {
		return nil, nil, err
	}
	n.quiesced.idleConns = n.loop.pool.Quiesce(ctx)
	n.quiesced.loopAsked = true
	n.loop.send(n.quiesced.quiesceRequested)
	h := <-n.quiesced.state
	if h == nil {
		return nil, nil, errors.New("the journal can't be written")
	}
	for id, conn := range h.conns {
		items = append(items, handover.Conn{Kind: handover.AttemptConn, ID: id, Conn: conn})
	}
	for _, c := range n.quiesced.clients {
		items = append(items, handover.Conn{Kind: handover.ClientConn, Conn: c.Conn, Buffered: c.Buffered, Unused: c.Unused, Since: n.loop.timeline.InstantOf(c.Since)})
	}
	for _, c := range n.quiesced.idleConns {
		items = append(items, handover.Conn{Kind: handover.IdleEndpointConn, Conn: c.Conn, Endpoint: c.Endpoint, Addr: c.Addr, Since: n.loop.timeline.InstantOf(c.Since)})
	}
	return h, items, nil
}

// quiescedNode is what a relay holds while it is frozen.
type quiescedNode struct {
	quiesceRequested
	loopAsked bool // the loop was
	clients   []front.DetachedConn
	idleConns []http1.IdleConn
}

// Resume goes on as before.
func (n *node) Resume() {
	f := n.quiesced
	n.quiesced = nil
	n.loop.pool.Resume(f.idleConns)
	if f.loopAsked {
		close(f.resume)
	} else {
		n.loop.send(serveOn{})
	}
	n.frontend.Resume(f.clients)
}

// Released ends all that this process does: another owns the relay from now on.
func (n *node) Released() {
	n.admin.serving.Store(false)
	n.stop()
	n.goroutines.Wait()
	_ = n.loop.journal.Close()
	n.metrics.HandedOver()
	_ = n.listener.Close()
}

// Start begins from the journal: nobody else holds the folder.
func (n *node) Start() error {
	kept, err := n.openJournal()
	if err != nil {
		return err
	}
	if err := n.assemble(kept); err != nil {
		return err
	}
	n.start(nil)
	return nil
}

// openJournal opens the journal. Where the folder can't be read for the moment it is tried again: without it nothing that is owed is
// known.
func (n *node) openJournal() (*journal.Journal, error) {
	pause := syserr.Backoff{Min: minOpenBackoff, Max: maxOpenBackoff}
	for {
		kept, err := journal.Open(n.dir, n.cfg.journalSizeMB(), n.cfg.deadLetterSection() != nil)
		if err == nil || syserr.Classify(syserr.File, err) != syserr.Local {
			return kept, err
		}
		slog.Error("the journal can't be opened", "err", err)
		if !wait.For(n.shutdownRequested, pause.Next()) {
			return nil, err
		}
	}
}

// minOpenBackoff and mostOpenPause bound the pause before a journal that could not be read is opened again.
const minOpenBackoff, maxOpenBackoff = 20 * time.Millisecond, 500 * time.Millisecond

// Prepare reads what another process offers.
func (n *node) Prepare(state json.RawMessage) error {
	n.predecessor = &handoverState{conns: map[string]*net.TCPConn{}}
	if err := json.Unmarshal(state, n.predecessor); err != nil {
		return fmt.Errorf("state of the process before: %w", err)
	}
	kept, err := journal.Read(n.dir, n.cfg.journalSizeMB(), n.cfg.deadLetterSection() != nil)
	if err != nil {
		return err
	}
	n.cfg.policy.Classes = policy.MergeClasses(n.predecessor.Classes, n.cfg.policy.Classes)
	if n.predecessor.Standby {
		n.mode.EnterStandby(kept.Timeline().TimeOf(n.predecessor.StandbySince))
	}
	return n.assemble(kept)
}

// Discard forgets what was prepared.
func (n *node) Discard() {
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.mode.Activate()
	n.cfg.policy.Classes = n.configuredClasses
	n.predecessor, n.loop, n.frontend, n.listener = nil, nil, nil, nil
}

// Acquire takes the journal.
func (n *node) Acquire() error { return n.loop.journal.Acquire() }

// Serve begins, with the connections that came from the process before.
func (n *node) Serve(items []handover.Conn) error {
	for _, item := range items {
		switch item.Kind {
		case handover.AttemptConn:
			n.predecessor.conns[item.ID] = item.Conn
		case handover.IdleEndpointConn:
			n.loop.pool.Adopt(http1.IdleConn{Target: upstream.Target{Endpoint: item.Endpoint, Addr: item.Addr}, Conn: item.Conn, Since: n.loop.timeline.TimeOf(item.Since)})
		case handover.ClientConn:
		default:
			_ = item.Conn.Close()
		}
	}
	n.start(n.predecessor)
	for _, conn := range n.predecessor.conns { // of calls whose messages are over by the journal
		_ = conn.Close()
	}
	n.predecessor = nil
	for _, item := range items {
		if item.Kind == handover.ClientConn {
			n.frontend.Adopt(front.DetachedConn{Conn: item.Conn, Buffered: item.Buffered, Unused: item.Unused, Since: n.loop.timeline.TimeOf(item.Since)})
		}
	}
	slog.Info("taken over", "connections", len(items), "messages", len(n.loop.requests))
	return nil
}
