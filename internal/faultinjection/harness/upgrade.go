package harness

import (
	"net/http"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// takeoverTimeout is how long a successor may take to take the place of its predecessor.
const takeoverTimeout = 6 * time.Second

// upgrade replaces the relay's process while it serves: the successor is started beside it, and the predecessor is shut
// down once the successor takes clients.
func (r *relay) upgrade() {
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
	if !pollUntil(r.h.ctx, takeoverTimeout, successor.answersStatus) {
		r.recordFailure("the process that is to take over does not say yes; its log ends: %s", r.logTail())
		successor.signal(syscall.SIGKILL)
		return
	}
	r.h.record(checker.Event{Kind: checker.Ready, Relay: r.number, Process: successor.number})
	r.mu.Lock()
	r.process, successor.successor, predecessor.replaced = successor, false, true
	r.mu.Unlock()
	predecessor.signal(syscall.SIGTERM)
	if !predecessor.exitsWithin(shutdownGrace, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
		predecessor.signal(syscall.SIGKILL)
	}
}

// answersStatus reports whether the process's admin endpoint answers: a successor's does once it takes clients.
func (p *process) answersStatus() bool {
	_, err := p.adminRequest(http.MethodGet, statusPath)
	return err == nil
}
