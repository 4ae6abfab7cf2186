package relay

import (
	"context"
	"log/slog"
	"time"

	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/logkey"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// The stages of a graceful shutdown, as times since the signal. Clients still open connections for up to 0.4 s after
// the signal, and the process may be killed 3.7 s after it.
const (
	acceptConnsFor        = time.Second             // new connections are accepted until then
	startAttemptsFor      = 2700 * time.Millisecond // attempts are started until then
	finishAttemptsFor     = 3300 * time.Millisecond // attempts in flight may end until then
	idlePollInterval      = 50 * time.Millisecond   // between two checks of the loop for remaining requests
	finalResponsesTimeout = 250 * time.Millisecond  // for reading requests that have begun to arrive, and for their responses
)

// drain shuts the relay down gracefully. Every request that was read is answered: each response closes its connection, and
// connections without a request are closed last.
func (n *node) drain(ctx context.Context) {
	l := n.loop
	begun := time.Now()
	if n.stopTasks != nil { // releases the leases in the background, so that other relays need not wait until they expire
		n.stopTasks()
	}
	until := func(stage time.Duration) time.Duration { return time.Until(begun.Add(stage)) }
	l.trace.Record(l.now(), trace.Event{Kind: trace.ShutdownRequested})
	l.mode.Shutdown()
	time.Sleep(until(acceptConnsFor))
	_ = n.listener.Close() // accepted connections stay open
	for until(startAttemptsFor) > 0 && !l.idle() {
		time.Sleep(idlePollInterval)
	}
	l.send(sendingStopped{})
	for until(finishAttemptsFor) > 0 && !l.idle() {
		time.Sleep(idlePollInterval)
	}
	n.flushResponses(ctx)
}

// flushResponses waits until pending responses are written, and closes all clients' connections. ctx must not have ended.
func (n *node) flushResponses(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalResponsesTimeout)
	defer cancel()
	if err := n.frontend.Shutdown(ctx); err != nil {
		slog.Warn("client connections still open at shutdown", logkey.Err, err)
		for range n.frontend.Unanswered() {
			n.violations.Record(invariant.ClosedUnanswered, "")
		}
	}
}

// idle reports whether the loop holds no request.
func (l *loop) idle() bool {
	q := idleQuery{make(chan bool, 1)}
	l.send(q)
	return <-q.idle
}

// resumeSending makes the dispatcher start attempts again after sendingStopped, unless the folder is degraded.
func (l *loop) resumeSending() {
	l.stopping = false
	if l.folder.State() != journal.Degraded {
		l.events = append(l.events, policy.Resumed{})
	}
}
