package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// Quiesce detaches an attempt that awaits its response and returns the idle connections. After
// Resume, the attempt continues on its connection, and the idle connections are cached again.
func TestPool_QuiesceAndResume(t *testing.T) {
	var conns atomic.Int32
	written, respond := make(chan bool, 1), make(chan bool, 1)
	addr := serveEndpoint(t, func(c net.Conn) {
		n := conns.Add(1)
		for in := bufio.NewReader(c); readRequest(in) == nil; {
			if n == 2 {
				written <- true
				<-respond
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	target := upstream.Target{Endpoint: "h", Addr: addr}
	p := newTestPool()
	p.Call(t.Context(), newTestRequest(addr))
	idle := p.idle[target].take(0) // so that the next attempt dials
	got := make(chan upstream.Result, 1)
	go func() { got <- p.Call(t.Context(), newTestRequest(addr)) }()
	waittest.Receive(t, written)
	p.release(target, idle, true)

	detachedConns := p.Quiesce(t.Context())
	detached := waittest.Receive(t, got)
	if detached.Detached == nil || len(detachedConns) != 1 || p.size != 0 {
		t.Fatalf("result %+v, %d idle connections, %d in the pool", detached, len(detachedConns), p.size)
	}
	if res := p.Call(t.Context(), newTestRequest(addr)); res != (upstream.Result{Outcome: policy.NotSent}) {
		t.Errorf("while quiesced: %+v", res)
	}
	if res := p.AwaitResponse(t.Context(), newTestRequest(addr), detached.Detached); res.Detached != detached.Detached {
		t.Errorf("awaited while quiesced: %+v", res)
	}

	p.Resume(detachedConns)
	respond <- true
	if res := p.AwaitResponse(t.Context(), newTestRequest(addr), detached.Detached); res.Outcome != policy.Succeeded || res.NewConn {
		t.Errorf("awaited after Resume: %+v", res)
	}
	if len(p.idle[target].conns) != 2 || p.size != 2 || conns.Load() != 2 {
		t.Errorf("%d idle of %d connections, %d established; want 2 of each", len(p.idle[target].conns), p.size, conns.Load())
	}
}

// Quiesce cancels a pending dial, and the request is not sent.
func TestPool_QuiesceCancelsDials(t *testing.T) {
	dialing := make(chan bool, 1)
	p := newTestPool()
	p.dialer.Timeout = waittest.Long
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		dialing <- true
		<-ctx.Done()
		return ctx.Err()
	}
	got := make(chan upstream.Result, 1)
	go func() { got <- p.Call(t.Context(), newTestRequest("127.0.0.1:9")) }()
	waittest.Receive(t, dialing)
	p.Quiesce(t.Context())
	if res := waittest.Receive(t, got); res != (upstream.Result{Outcome: policy.NotSent, NewConn: true}) {
		t.Errorf("result %+v, want not sent on a new connection", res)
	}
	if p.size != 0 || len(p.dialing) != 0 {
		t.Errorf("%d connections and %d dials left, want none", p.size, len(p.dialing))
	}
}

// When the context of Quiesce ends, the connection of an attempt whose response has stalled is
// closed.
func TestPool_QuiesceClosesStalledAttempts(t *testing.T) {
	begun := make(chan bool, 1)
	addr := serveEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		if readRequest(in) != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\n")
		begun <- true
		_, _ = in.ReadByte() // until the relay closes
	})
	p := newTestPool()
	got := make(chan upstream.Result, 1)
	go func() { got <- p.Call(t.Context(), newTestRequest(addr)) }()
	waittest.Receive(t, begun)
	for end := time.Now().Add(waittest.Long); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if p.hasState(connReadingResponse) {
			break
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.Quiesce(ctx)
	if res := waittest.Receive(t, got); res.Detached != nil || res.Outcome != policy.ConnectionReset {
		t.Errorf("result %+v, want a connection reset", res)
	}
}

// hasState reports whether an active connection is in a state.
func (p *Pool) hasState(want connState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.active {
		c.mu.Lock()
		state := c.state
		c.mu.Unlock()
		if state == want {
			return true
		}
	}
	return false
}

// A request on a connection that was used before is not handed over while a response would be early: its successor does not know when
// it was written, and would take a copy that has crossed the request for its response. The confirmation does not delay the hand-over.
func TestPool_QuiesceKeepsEarlyResponses(t *testing.T) {
	respond := make(chan bool)
	addr := serveEndpoint(t, func(c net.Conn) {
		<-respond
		_, _ = io.WriteString(c, responseText(http.StatusServiceUnavailable))
		_, _ = io.Copy(io.Discard, c) // until the relay closes
	})
	p := newTestPool()
	r := newTestRequest(addr)
	set := p.beginDetachedAttempt(r.Target)
	p.learnLatency(time.Second)
	c := newConn(dialEndpoint(t, addr), set)
	if !p.activate(c, connWriting) {
		t.Fatal("the connection can't be activated")
	}
	c.start(connAwaitingResponse)
	c.respondedAt = time.Now()
	c.writtenAt = time.Now().Add(waittest.Long)
	p.beginQuiesce()
	got := make(chan exchangeResult, 1)
	go func() { got <- p.awaitResponse(t.Context(), t.Context(), c, &r) }()
	close(respond)
	res := waittest.Receive(t, got)
	if res.Detached != nil || res.Outcome != policy.Rejected || res.Doubt != upstream.DoubtUndecided || res.reusable {
		t.Errorf("result %+v, want a rejection in doubt", res)
	}
	_ = c.Close()
	if res.Unconfirmed > 500*time.Millisecond {
		t.Errorf("another response was awaited for %v", res.Unconfirmed)
	}
}
