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
	Memory  *policy.Memory `json:"memory"`
	Classes []policy.Class `json:"classes"` // the table, with the numbers that Memory goes by
	Past    []passedEnd    `json:"past,omitempty"`
	Calls   []passedCall   `json:"calls,omitempty"`
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
	ID      string           `json:"id"`
	Attempt int              `json:"attempt"`
	Host    discovery.Member `json:"host"`
	Begun   clock.Instant    `json:"begun"`
	Timeout time.Duration    `json:"timeout"` // from Begun on
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
			m.begun = l.timeline.Moment(c.Begun)
			l.resumeCall(send{m: m, attempt: c.Attempt, host: c.Host, timeout: c.Timeout}, conn)
			return true
		}
	}
	_ = conn.Close()
	return false
}

// resumeCall waits for the answer to a call that was written before.
func (l *loop) resumeCall(s send, conn *net.TCPConn) {
	l.begin(s, func(ctx context.Context, r upstream.Request) upstream.Result { return l.pool.Resume(ctx, r, conn) })
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
	h := &inheritance{Memory: l.d.Memory(), Classes: l.cfg.policy.Classes, conns: l.parked}
	if away, since := l.stance.Away(); away {
		h.Away, h.Since = true, l.timeline.Of(since)
	}
	for _, e := range l.journal.Ends() { // what the file had no room for as well
		h.Past = append(h.Past, passedEnd(e))
	}
	for id := range l.parked {
		s := l.messages[id].call
		h.Calls = append(h.Calls, passedCall{id, s.attempt, s.host, l.timeline.Of(s.m.begun), s.timeout})
	}
	return h
}

// Freeze brings the relay to a stop and gives what another process needs to go on from there.
func (n *node) Freeze(ctx context.Context) (state any, items []handover.Item, err error) {
	n.frozen = &frozen{freeze: freeze{make(chan *inheritance, 1), make(chan struct{})}}
	n.l.put(stopSending{})
	if n.frozen.clients, err = n.srv.Freeze(ctx); err != nil {
		return nil, nil, err
	}
	n.frozen.idle = n.l.pool.Freeze(ctx)
	n.frozen.asked = true
	n.l.put(n.frozen.freeze)
	h := <-n.frozen.answer
	if h == nil {
		return nil, nil, errors.New("the journal can't be written")
	}
	for id, conn := range h.conns {
		items = append(items, handover.Item{Kind: handover.OnCall, ID: id, Conn: conn})
	}
	for _, c := range n.frozen.clients {
		items = append(items, handover.Item{Kind: handover.FromClient, Conn: c.Conn, Read: c.Read, Fresh: c.Fresh, Since: n.l.timeline.Of(c.Since)})
	}
	for _, c := range n.frozen.idle {
		items = append(items, handover.Item{Kind: handover.ToHost, Conn: c.Conn, Host: c.Host, Addr: c.Addr, Since: n.l.timeline.Of(c.Since)})
	}
	return h, items, nil
}

// frozen is what a relay holds while it is frozen.
type frozen struct {
	freeze
	asked   bool // the loop was
	clients []front.Parked
	idle    []http1.Idle
}

// Thaw goes on as before.
func (n *node) Thaw() {
	f := n.frozen
	n.frozen = nil
	n.l.pool.Thaw(f.idle)
	if f.asked {
		close(f.thaw)
	} else {
		n.l.put(serveOn{})
	}
	n.srv.Thaw(f.clients)
}

// Given ends all that this process does: another owns the relay from now on.
func (n *node) Given() {
	n.door.taking.Store(false)
	n.stop()
	n.work.Wait()
	_ = n.l.journal.Close()
	n.book.Given()
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
	pause := syserr.Backoff{Least: leastOpenPause, Most: mostOpenPause}
	for {
		kept, err := journal.Open(n.dir, n.cfg.journalRoom(), n.cfg.keeping() != nil)
		if err == nil || syserr.Of(syserr.File, err) != syserr.Local {
			return kept, err
		}
		slog.Error("the journal can't be opened", "err", err)
		if !wait.For(n.told, pause.Failed()) {
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
	n.cfg.policy.Classes = policy.Merge(n.from.Classes, n.cfg.policy.Classes)
	if n.from.Away {
		n.stance.Leave(kept.Timeline().Moment(n.from.Since))
	}
	return n.assemble(kept)
}

// Discard forgets what was prepared.
func (n *node) Discard() {
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.stance.Return()
	n.cfg.policy.Classes = n.ownClasses
	n.from, n.l, n.srv, n.listener = nil, nil, nil, nil
}

// Own takes the journal.
func (n *node) Own() error { return n.l.journal.Own() }

// Serve begins, with the connections that came from the process before.
func (n *node) Serve(items []handover.Item) error {
	for _, item := range items {
		switch item.Kind {
		case handover.OnCall:
			n.from.conns[item.ID] = item.Conn
		case handover.ToHost:
			n.l.pool.Adopt(http1.Idle{Target: upstream.Target{Host: item.Host, Addr: item.Addr}, Conn: item.Conn, Since: n.l.timeline.Moment(item.Since)})
		case handover.FromClient:
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
		if item.Kind == handover.FromClient {
			n.srv.Adopt(front.Parked{Conn: item.Conn, Read: item.Read, Fresh: item.Fresh, Since: n.l.timeline.Moment(item.Since)})
		}
	}
	slog.Info("taken over", "connections", len(items), "messages", len(n.l.messages))
	return nil
}
