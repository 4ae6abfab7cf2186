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

// This file is the relay's part in replacing the process: docs/design/handover.md.

// inheritance is what one process hands another beside the journal.
type inheritance struct {
	Memory  *policy.Snapshot `json:"memory"`
	Classes []policy.Class   `json:"classes"` // the table, with the numbers that Memory goes by
	Past    []passedEnd      `json:"past,omitempty"`
	Calls   []passedCall     `json:"calls,omitempty"`
	// Away: clients are sent away, since then.
	Away  bool          `json:"away,omitempty"`
	Since clock.Instant `json:"since,omitzero"`

	conns map[string]*net.TCPConn // of the calls, by message
}

// passedEnd is a message that is over.
type passedEnd struct {
	ID string        `json:"id"`
	At clock.Instant `json:"at"`
}

// passedCall is a call out.
type passedCall struct {
	ID      string             `json:"id"`
	Attempt int                `json:"attempt"`
	Host    discovery.Endpoint `json:"host"`
	Begun   clock.Instant      `json:"begun"`
	Timeout time.Duration      `json:"timeout"` // from Begun on
}

// resume goes on with a message's call, if its connection has come; else what the journal says is all that is known of it.
func (h *inheritance) resume(l *loop, m *message) bool {
	conn := h.conns[m.ID]
	if conn == nil {
		return false
	}
	delete(h.conns, m.ID)
	for _, c := range h.Calls {
		if c.ID == m.ID && c.Attempt == len(m.Attempts)-1 && !m.Attempts[c.Attempt].Ended {
			m.begun = l.timeline.TimeOf(c.Begun)
			l.resumeCall(send{m: m, attempt: c.Attempt, host: c.Host, timeout: c.Timeout}, conn)
			return true
		}
	}
	_ = conn.Close()
	return false
}

// resumeCall waits for the answer to a call that was written before.
func (l *loop) resumeCall(s send, conn *net.TCPConn) {
	l.begin(s, func(ctx context.Context, r upstream.Request) upstream.Result {
		return l.pool.AwaitResponse(ctx, r, conn)
	})
}

// freeze asks the loop to write its state down and to do nothing until it is thawed, or ended. It does so once no call is
// out that is not parked.
type freeze struct {
	answer chan *inheritance // room for one; nil: it can't
	thaw   chan struct{}     // closed to go on
}

// frozen answers a freeze and waits for its end; false: the loop is at its own.
func (l *loop) frozen(ctx context.Context) bool {
	f := l.freeze
	l.freeze = nil
	if err := l.journal.Compact(); err != nil {
		slog.Error("the state can't be handed over", "err", err)
		f.answer <- nil
	} else {
		f.answer <- l.inheritance()
	}
	select {
	case <-ctx.Done():
		return false
	case <-f.thaw:
	}
	for id, conn := range l.parked {
		delete(l.parked, id)
		l.resumeCall(l.messages[id].call, conn)
	}
	l.serveOn()
	l.wakeAt = 0
	return true
}

// inheritance is what this process hands over beside the journal.
func (l *loop) inheritance() *inheritance {
	h := &inheritance{Memory: l.d.Snapshot(), Classes: l.cfg.policy.Classes, conns: l.parked}
	if away, since := l.stance.InStandby(); away {
		h.Away, h.Since = true, l.timeline.InstantOf(since)
	}
	for _, e := range l.journal.CompletedRequests() { // what the file had no room for as well
		h.Past = append(h.Past, passedEnd(e))
	}
	for id := range l.parked {
		s := l.messages[id].call
		h.Calls = append(h.Calls, passedCall{id, s.attempt, s.host, l.timeline.InstantOf(s.m.begun), s.timeout})
	}
	return h
}

// Quiesce brings the relay to a stop and gives what another process needs to go on from there.
func (n *node) Quiesce(ctx context.Context) (state any, items []handover.Conn, err error) {
	n.frozen = &frozen{freeze: freeze{make(chan *inheritance, 1), make(chan struct{})}}
	n.l.put(stopSending{})
	if n.frozen.clients, err = n.srv.Quiesce(ctx); err != nil {
		return nil, nil, err
	}
	n.frozen.idle = n.l.pool.Quiesce(ctx)
	n.frozen.asked = true
	n.l.put(n.frozen.freeze)
	h := <-n.frozen.answer
	if h == nil {
		return nil, nil, errors.New("the journal can't be written")
	}
	for id, conn := range h.conns {
		items = append(items, handover.Conn{Kind: handover.AttemptConn, ID: id, Conn: conn})
	}
	for _, c := range n.frozen.clients {
		items = append(items, handover.Conn{Kind: handover.ClientConn, Conn: c.Conn, Buffered: c.Buffered, Unused: c.Unused, Since: n.l.timeline.InstantOf(c.Since)})
	}
	for _, c := range n.frozen.idle {
		items = append(items, handover.Conn{Kind: handover.IdleEndpointConn, Conn: c.Conn, Endpoint: c.Endpoint, Addr: c.Addr, Since: n.l.timeline.InstantOf(c.Since)})
	}
	return h, items, nil
}

// frozen is what a relay holds while it is frozen.
type frozen struct {
	freeze
	asked   bool // the loop was
	clients []front.DetachedConn
	idle    []http1.IdleConn
}

// Resume goes on as before.
func (n *node) Resume() {
	f := n.frozen
	n.frozen = nil
	n.l.pool.Resume(f.idle)
	if f.asked {
		close(f.thaw)
	} else {
		n.l.put(serveOn{})
	}
	n.srv.Resume(f.clients)
}

// Released ends all that this process does: another owns the relay from now on.
func (n *node) Released() {
	n.door.taking.Store(false)
	n.stop()
	n.work.Wait()
	_ = n.l.journal.Close()
	n.book.HandedOver()
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
	n.begin(nil)
	return nil
}

// openJournal opens the journal. Where the folder can't be read for the moment it is tried again: without it nothing that is owed is
// known.
func (n *node) openJournal() (*journal.Journal, error) {
	pause := syserr.Backoff{Min: leastOpenPause, Max: mostOpenPause}
	for {
		kept, err := journal.Open(n.dir, n.cfg.journalRoom(), n.cfg.keeping() != nil)
		if err == nil || syserr.Classify(syserr.File, err) != syserr.Local {
			return kept, err
		}
		slog.Error("the journal can't be opened", "err", err)
		if !wait.For(n.told, pause.Next()) {
			return nil, err
		}
	}
}

// leastOpenPause and mostOpenPause bound the pause before a journal that could not be read is opened again.
const leastOpenPause, mostOpenPause = 20 * time.Millisecond, 500 * time.Millisecond

// Prepare reads what another process offers.
func (n *node) Prepare(state json.RawMessage) error {
	n.from = &inheritance{conns: map[string]*net.TCPConn{}}
	if err := json.Unmarshal(state, n.from); err != nil {
		return fmt.Errorf("state of the process before: %w", err)
	}
	kept, err := journal.Read(n.dir, n.cfg.journalRoom(), n.cfg.keeping() != nil)
	if err != nil {
		return err
	}
	n.cfg.policy.Classes = policy.MergeClasses(n.from.Classes, n.cfg.policy.Classes)
	if n.from.Away {
		n.stance.EnterStandby(kept.Timeline().TimeOf(n.from.Since))
	}
	return n.assemble(kept)
}

// Discard forgets what was prepared.
func (n *node) Discard() {
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.stance.Activate()
	n.cfg.policy.Classes = n.ownClasses
	n.from, n.l, n.srv, n.listener = nil, nil, nil, nil
}

// Acquire takes the journal.
func (n *node) Acquire() error { return n.l.journal.Acquire() }

// Serve begins, with the connections that came from the process before.
func (n *node) Serve(items []handover.Conn) error {
	for _, item := range items {
		switch item.Kind {
		case handover.AttemptConn:
			n.from.conns[item.ID] = item.Conn
		case handover.IdleEndpointConn:
			n.l.pool.Adopt(http1.IdleConn{Target: upstream.Target{Endpoint: item.Endpoint, Addr: item.Addr}, Conn: item.Conn, Since: n.l.timeline.TimeOf(item.Since)})
		case handover.ClientConn:
		default:
			_ = item.Conn.Close()
		}
	}
	n.begin(n.from)
	for _, conn := range n.from.conns { // of calls whose messages are over by the journal
		_ = conn.Close()
	}
	n.from = nil
	for _, item := range items {
		if item.Kind == handover.ClientConn {
			n.srv.Adopt(front.DetachedConn{Conn: item.Conn, Buffered: item.Buffered, Unused: item.Unused, Since: n.l.timeline.TimeOf(item.Since)})
		}
	}
	slog.Info("taken over", "connections", len(items), "messages", len(n.l.messages))
	return nil
}
