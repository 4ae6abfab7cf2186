package harness

import (
	"net/http"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

// takeoverTimeout is the time within which a successor has to serve clients in place of its predecessor.
const takeoverTimeout = 6 * time.Second

// maxHandoverDelay is the longest time from a successor's launch until its predecessor is terminated, if the scenario specifies a
// SIGTERM during the hand-over.
const maxHandoverDelay = 40 * time.Millisecond

// upgrade replaces the relay's process while it serves: the successor is started beside it, and the predecessor is shut down
// once the successor serves clients, or already during the hand-over.
func (r *relay) upgrade(signals string) {
	predecessor := r.serving()
	if predecessor == nil {
		r.recordFailure("upgrade: it does not run")
		return
	}
	if err := r.configure(); err != nil {
		r.h.recordFailure("%v", err)
		return
	}
	successor, err := r.launch(true)
	if err != nil {
		r.h.recordFailure("%v", err)
		return
	}
	if signals == scenario.SignalsHandover {
		r.terminateInHandover(predecessor)
	}
	if !pollUntil(r.h.ctx, takeoverTimeout, successor.answersStatus) {
		r.recordFailure("the process that is to take over does not say yes; its log ends: %s", r.logTail())
		successor.signal(syscall.SIGKILL)
		return
	}
	successor.recordReady()
	r.mu.Lock()
	r.process, successor.successor, predecessor.replaced = successor, false, true
	r.mu.Unlock()
	predecessor.signal(syscall.SIGTERM)
	if !predecessor.exitsWithin(shutdownGrace, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
		predecessor.signal(syscall.SIGKILL)
	}
}

// terminateInHandover sends SIGTERM to a process whose successor has just been launched.
func (r *relay) terminateInHandover(predecessor *process) {
	draw := r.h.random.Stream("handover", r.number, r.startCount()).Float64()
	wait.For(r.h.ctx, time.Duration(draw*float64(maxHandoverDelay)))
	r.h.record(checker.Event{Kind: checker.Stopping, Relay: r.number})
	predecessor.signal(syscall.SIGTERM)
	r.h.count(TerminatedInHandover)
}

// answersStatus reports whether the process's admin endpoint answers. A successor's does so once the successor serves clients.
func (p *process) answersStatus() bool {
	_, err := p.adminRequest(http.MethodGet, statusPath)
	return err == nil
}
