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

// minOpenBackoff and maxOpenBackoff limit the pause before another try to open a journal that could not be read.
const minOpenBackoff, maxOpenBackoff = 20 * time.Millisecond, 500 * time.Millisecond

// Start starts the relay from the journal alone. It is called if no other process owns the folder.
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

// openJournal opens the journal. If the folder is temporarily unreadable it retries, since the relay can't serve without knowing
// the open requests in the journal.
func (n *node) openJournal() (*journal.Journal, error) {
	backoff := syserr.Backoff{Min: minOpenBackoff, Max: maxOpenBackoff}
	for {
		j, err := journal.Open(n.dir, n.cfg.journalSizeMB(), n.cfg.deadLetterSection() != nil)
		if err == nil {
			j.LimitCompleted(n.cfg.completedMemory())
		}
		if err == nil || syserr.Classify(syserr.File, err) != syserr.Local {
			return j, err
		}
		slog.Error("opening the journal failed", logkey.Err, err)
		if !wait.For(n.shutdownRequested, backoff.Next()) {
			return nil, err
		}
	}
}

// Prepare assembles the relay from the state of a predecessor and the journal, without starting it.
func (n *node) Prepare(state json.RawMessage) error {
	n.predecessor = &handoverState{conns: map[string]*net.TCPConn{}}
	if err := json.Unmarshal(state, n.predecessor); err != nil {
		return fmt.Errorf("decode the predecessor's state: %w", err)
	}
	j, err := journal.Read(n.dir, n.cfg.journalSizeMB(), n.cfg.deadLetterSection() != nil)
	if err != nil {
		return err
	}
	j.LimitCompleted(n.cfg.completedMemory())
	n.cfg.policy.Classes = policy.MergeClasses(n.predecessor.Classes, n.cfg.policy.Classes)
	if n.predecessor.Standby {
		n.mode.EnterStandby(j.Timeline().TimeOf(n.predecessor.StandbySince))
	}
	return n.assemble(j)
}

// Discard undoes Prepare.
func (n *node) Discard() {
	if n.listener != nil {
		_ = n.listener.Close() // it has not served any connection
	}
	n.mode.Activate()
	n.cfg.policy.Classes = n.configuredClasses
	n.predecessor, n.loop, n.deadLetters, n.frontend, n.listener = nil, nil, nil, nil, nil
}

// Acquire makes this process the owner of the journal.
func (n *node) Acquire() error { return n.loop.journal.Acquire() }

// Serve starts the relay with the connections that the predecessor handed over.
func (n *node) Serve(conns []handover.Conn) error {
	n.adoptEndpointConns(conns)
	requests := len(n.loop.journal.Entries()) // read before start, after which only the loop may access the journal
	n.start(n.predecessor)
	for _, conn := range n.predecessor.conns {
		_ = conn.Close() // its attempt's request is completed according to the journal
	}
	n.predecessor = nil
	n.adoptClientConns(conns)
	slog.Info("took over from the predecessor", logkey.Connections, len(conns), logkey.Requests, requests)
	return nil
}

// adoptEndpointConns takes over connections to endpoints, and closes connections of a kind that this version does not support.
func (n *node) adoptEndpointConns(conns []handover.Conn) {
	for _, c := range conns {
		switch c.Kind {
		case handover.AttemptConn:
			n.predecessor.conns[c.ID] = c.Conn
		case handover.IdleEndpointConn:
			n.loop.pool.Adopt(http1.IdleConn{
				Target: upstream.Target{Endpoint: c.Endpoint, Addr: c.Addr}, Conn: c.Conn, Since: n.loop.timeline.TimeOf(c.Since),
			})
		case handover.ClientConn: // adoptClientConns takes over clients' connections once the loop runs
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
