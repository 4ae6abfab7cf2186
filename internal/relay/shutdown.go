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

// The stages of a graceful shutdown, from the signal on. Connections go on coming for up to 0.4 s, and the process may be
// killed after 3.7 s.
const (
	acceptConnsFor        = time.Second             // until then new connections are accepted
	startAttemptsFor      = 2700 * time.Millisecond // until then attempts start
	finishAttemptsFor     = 3300 * time.Millisecond // until then attempts may end
	idlePollInterval      = 50 * time.Millisecond   // between looks whether nothing is left to do
	finalResponsesTimeout = 250 * time.Millisecond  // for requests that are being read, and their responses
)

// drain shuts the relay down. No request that was read goes unanswered: responses close their connections, and connections
// that stay unused are closed last.
func (n *node) drain(ctx context.Context) {
	l := n.loop
	begun := time.Now()
	if n.stopTasks != nil { // other relays need not wait for its leases to expire, nor this shutdown for their release
		n.stopTasks()
	}
	until := func(stage time.Duration) time.Duration { return time.Until(begun.Add(stage)) }
	l.trace.Record(l.now(), trace.Event{Kind: trace.ShutdownRequested})
	l.mode.Shutdown()
	time.Sleep(until(acceptConnsFor))
	_ = n.listener.Close() // connections that were accepted stay
	for until(startAttemptsFor) > 0 && !l.idle() {
		time.Sleep(idlePollInterval)
	}
	l.send(sendingStopped{})
	for until(finishAttemptsFor) > 0 && !l.idle() {
		time.Sleep(idlePollInterval)
	}
	n.flushResponses(ctx)
}

// flushResponses lets responses that are being written arrive, and closes all clients' connections. ctx must not have ended.
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

// resumeSending has the dispatcher start attempts again after a stop, unless the folder prevents that.
func (l *loop) resumeSending() {
	l.stopping = false
	if l.folder.State() != journal.Degraded {
		l.events = append(l.events, policy.Resumed{})
	}
}
