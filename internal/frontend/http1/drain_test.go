package http1

import (
	"runtime"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// Shutdown closes an idle connection at once, but not a lingering one: its last response still has to
// arrive, and it closes by itself.
func TestServer_ShutdownLeavesLingeringConnections(t *testing.T) {
	s := newIdleServer()
	add := func(state connState) *conn {
		_, server := newConnPair(t)
		c := newConn(server)
		s.addConn(c, state, time.Now())
		return c
	}
	lingering, idle := add(connLingering), add(connIdle)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	for gone := false; !gone; runtime.Gosched() {
		s.mu.Lock()
		gone = idle.isGone() || lingering.isGone()
		s.mu.Unlock()
	}
	s.mu.Lock()
	if lingering.isGone() || !idle.isGone() {
		t.Errorf("closed: lingering %v, idle %v", lingering.isGone(), idle.isGone())
	}
	s.close(lingering, CloseConcurrent)
	s.close(idle, CloseConcurrent)
	s.mu.Unlock()
	s.changed.Broadcast()
	if err := waittest.Receive(t, ended); err != nil {
		t.Error(err)
	}
}
