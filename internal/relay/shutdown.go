package relay

import (
	"context"
	"log/slog"
	"time"

	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// resumeSending goes on sending after a stop, unless the folder keeps that back.
func (l *loop) resumeSending() {
	l.stopping = false
	if l.folder.State() != journal.Degraded {
		l.events = append(l.events, policy.Resumed{})
	}
}

// The stages of a planned end, from the signal on. Connections go on coming for up to 0.4 s, and the process
// may be killed after 3.7 s.
const (
	acceptConnsFor        = time.Second             // until then new connections are taken
	startAttemptsFor      = 2700 * time.Millisecond // until then calls begin
	finishAttemptsFor     = 3300 * time.Millisecond // until then calls come to their end
	idlePollInterval      = 50 * time.Millisecond   // between looks whether all is done
	finalResponsesTimeout = 250 * time.Millisecond  // for requests that are being read, and their answers
)

// drain brings the relay to its end. No request that was read goes unanswered: answers close their
// connections, and those that stay unused are closed last.
func (n *node) drain() {
	l := n.loop
	begun := time.Now()
	if n.stopTasks != nil { // others need not wait for their leases to run out, nor the end of this relay for their giving back
		n.stopTasks()
	}
	until := func(stage time.Duration) time.Duration { return time.Until(begun.Add(stage)) }
	l.trace.Record(l.now(), trace.Event{Kind: trace.ShutdownRequested})
	l.mode.Shutdown()
	time.Sleep(until(acceptConnsFor))
	_ = n.listener.Close()
	for until(startAttemptsFor) > 0 && !l.idle() {
		time.Sleep(idlePollInterval)
	}
	l.send(stopSending{})
	for until(finishAttemptsFor) > 0 && !l.idle() {
		time.Sleep(idlePollInterval)
	}
	n.flushResponses()
}

// flushResponses lets answers that are being written arrive, and closes all clients' connections.
func (n *node) flushResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponsesTimeout)
	defer cancel()
	if err := n.frontend.Shutdown(ctx); err != nil {
		slog.Warn("connections left", "err", err)
		for range n.frontend.Unanswered() {
			n.violations.Record(invariant.ClosedUnanswered, "")
		}
	}
}

// idle tells whether nothing is held.
func (l *loop) idle() bool {
	q := question{make(chan bool, 1)}
	l.send(q)
	return <-q.idle
}
