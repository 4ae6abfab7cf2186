package relay

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	front "frostlink/internal/frontend/http1"
	"frostlink/internal/handover"
	"frostlink/internal/journal"
	"frostlink/internal/logkey"
	"frostlink/internal/syserr"
	"frostlink/internal/upstream"
	"frostlink/internal/upstream/http1"
	"frostlink/internal/wait"
	"frostlink/policy"
)

// minOpenBackoff and maxOpenBackoff bound the pause before a journal that could not be read is opened again.
const minOpenBackoff, maxOpenBackoff = 20 * time.Millisecond, 500 * time.Millisecond

// Start begins from the journal: nobody else holds the folder.
func (n *node) Start() error {
	j, err := n.openJournal()
	if err != nil {
		return err
	}
	if err := n.assemble(j); err != nil {
		return err
	}
	n.start(nil)
	return nil
}

// openJournal opens the journal. Where the folder can't be read for the moment it is tried again: without the journal it is
// not known what is owed.
func (n *node) openJournal() (*journal.Journal, error) {
	backoff := syserr.Backoff{Min: minOpenBackoff, Max: maxOpenBackoff}
	for {
		j, err := journal.Open(n.dir, n.cfg.journalSizeMB(), n.cfg.deadLetterSection() != nil)
		if err == nil || syserr.Classify(syserr.File, err) != syserr.Local {
			return j, err
		}
		slog.Error("opening the journal failed", logkey.Err, err)
		if !wait.For(n.shutdownRequested, backoff.Next()) {
			return nil, err
		}
	}
}

// Prepare reads what a predecessor offers.
func (n *node) Prepare(state json.RawMessage) error {
	n.predecessor = &handoverState{conns: map[string]*net.TCPConn{}}
	if err := json.Unmarshal(state, n.predecessor); err != nil {
		return fmt.Errorf("state of the predecessor: %w", err)
	}
	j, err := journal.Read(n.dir, n.cfg.journalSizeMB(), n.cfg.deadLetterSection() != nil)
	if err != nil {
		return err
	}
	n.cfg.policy.Classes = policy.MergeClasses(n.predecessor.Classes, n.cfg.policy.Classes)
	if n.predecessor.Standby {
		n.mode.EnterStandby(j.Timeline().TimeOf(n.predecessor.StandbySince))
	}
	return n.assemble(j)
}

// Discard drops what was prepared.
func (n *node) Discard() {
	if n.listener != nil {
		_ = n.listener.Close() // nothing was served on it
	}
	n.mode.Activate()
	n.cfg.policy.Classes = n.configuredClasses
	n.predecessor, n.loop, n.frontend, n.listener = nil, nil, nil, nil
}

// Acquire makes this process the owner of the journal.
func (n *node) Acquire() error { return n.loop.journal.Acquire() }

// Serve begins, with the connections that came from the predecessor.
func (n *node) Serve(conns []handover.Conn) error {
	n.adoptEndpointConns(conns)
	requests := len(n.loop.journal.Entries()) // the loop's own from its start on
	n.start(n.predecessor)
	for _, conn := range n.predecessor.conns {
		_ = conn.Close() // of an attempt whose request is completed by the journal
	}
	n.predecessor = nil
	n.adoptClientConns(conns)
	slog.Info("took over from the predecessor", logkey.Connections, len(conns), logkey.Requests, requests)
	return nil
}

// adoptEndpointConns takes over connections to endpoints, and closes those of a kind that this version does not know.
func (n *node) adoptEndpointConns(conns []handover.Conn) {
	for _, c := range conns {
		switch c.Kind {
		case handover.AttemptConn:
			n.predecessor.conns[c.ID] = c.Conn
		case handover.IdleEndpointConn:
			n.loop.pool.Adopt(http1.IdleConn{
				Target: upstream.Target{Endpoint: c.Endpoint, Addr: c.Addr}, Conn: c.Conn, Since: n.loop.timeline.TimeOf(c.Since),
			})
		case handover.ClientConn: // once the loop runs
		default:
			_ = c.Conn.Close()
		}
	}
}

// adoptClientConns takes over clients' connections.
func (n *node) adoptClientConns(conns []handover.Conn) {
	for _, c := range conns {
		if c.Kind == handover.ClientConn {
			n.frontend.Adopt(front.DetachedConn{Conn: c.Conn, Buffered: c.Buffered, Unused: c.Unused, Since: n.loop.timeline.TimeOf(c.Since)})
		}
	}
}
