package http1

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// A connection carries the next request only once it has rested. If none can be dialed meanwhile, the request waits for it.
func TestPool_WaitsForRestingConnection(t *testing.T) {
	addr := serveEndpoint(t, respondWith(okResponse))
	p := newTestPool()
	p.Call(t.Context(), newTestRequest(addr))
	if got := p.Call(t.Context(), newTestRequest(addr)); got.Outcome != policy.Succeeded || !got.NewConn {
		t.Errorf("right after a response: %+v, want a new connection", got)
	}
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error { return syscall.ECONNREFUSED }
	begun := time.Now()
	if got := p.Call(t.Context(), newTestRequest(addr)); got.Outcome != policy.Succeeded || got.NewConn {
		t.Errorf("while no connection can be dialed: %+v, want a delivery on a rested connection", got)
	}
	if took := time.Since(begun); took < 100*time.Millisecond {
		t.Errorf("delivered after %v, before the connection had rested", took)
	}
}

// If a dial takes long, a second one is started. The connection that is established last becomes idle.
func TestPool_HedgesSlowDial(t *testing.T) {
	addr := serveEndpoint(t, respondWith(okResponse))
	p := newTestPool()
	p.dialer.Timeout = waittest.Long
	var dials atomic.Int32
	release := make(chan bool)
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if dials.Add(1) == 1 {
			<-release
		}
		return nil
	}
	request := newTestRequest(addr)
	if got := p.Call(t.Context(), request); got.Outcome != policy.Succeeded || !got.NewConn || dials.Load() != 2 {
		t.Errorf("%+v after %d dials, want a delivery after 2", got, dials.Load())
	}
	close(release)
	waittest.Until(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idleSetOf(request.Target).conns) == 2
	})
	if got := p.Call(t.Context(), request); got.Outcome != policy.Succeeded || got.NewConn || dials.Load() != 2 {
		t.Errorf("%+v after %d dials, want a delivery on the connection that was established last", got, dials.Load())
	}
}
