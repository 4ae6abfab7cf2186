package http1

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// A connection that was active when its endpoint was evicted is not cached, and an idle connection is
// not used for another endpoint at the same address.
func TestPool_EvictedEndpointIsNotReused(t *testing.T) {
	var conns atomic.Int32
	release := make(chan bool)
	addr := serveEndpoint(t, func(c net.Conn) {
		n := conns.Add(1)
		for in := bufio.NewReader(c); ; {
			if err := readRequest(in); err != nil {
				return
			}
			if n == 1 {
				<-release
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	p := newTestPool()
	done := make(chan upstream.Result, 1)
	go func() { done <- p.Call(t.Context(), newTestRequest(addr)) }()
	for end := time.Now().Add(waittest.Long); conns.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	p.Evict(upstream.Target{Endpoint: "h", Addr: addr})
	close(release)
	if got := waittest.Receive(t, done); got.Outcome != policy.Succeeded || p.size != 0 {
		t.Errorf("result %+v, %d connections cached, want a success and none", got, p.size)
	}
	p.Call(t.Context(), newTestRequest(addr))
	other := newTestRequest(addr)
	other.Endpoint = "h2"
	p.Call(t.Context(), other)
	if conns.Load() != 3 {
		t.Errorf("%d connections for three requests to two endpoints, one of them evicted; want 3", conns.Load())
	}
}

// A cached connection carries the next request, unless the endpoint has closed it. If a cached
// connection is reset, the pool does not resend the request, even with an idempotency key.
func TestPool_ReusesConnections(t *testing.T) {
	var conns, requests atomic.Int32
	var mode atomic.Value // how the endpoint treats a connection after a request: persist, close or reset
	mode.Store("persist")
	closed := make(chan bool, 4)
	addr := serveEndpoint(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			if err := readRequest(in); err != nil {
				return
			}
			requests.Add(1)
			current := mode.Load() // read before the response, after which the next step may change it
			if current == "reset" {
				return
			}
			_, _ = io.WriteString(c, okResponse)
			if current == "close" {
				_ = c.Close()
				closed <- true
				return
			}
		}
	})
	p := newTestPool()
	step := func(m string, want policy.Outcome, wantConns, wantRequests int32) {
		t.Helper()
		mode.Store(m)
		p.restIdleConns()
		before := conns.Load()
		got := p.Call(t.Context(), newTestRequest(addr))
		if got.Outcome != want {
			t.Errorf("%s: outcome %v, want %v", m, got.Outcome, want)
		}
		if got.NewConn != (conns.Load() > before) {
			t.Errorf("%s: NewConn is %v", m, got.NewConn)
		}
		if conns.Load() != wantConns || requests.Load() != wantRequests {
			t.Errorf("%s: %d connections and %d requests, want %d and %d", m, conns.Load(), requests.Load(), wantConns, wantRequests)
		}
	}
	step("persist", policy.Succeeded, 1, 1)
	step("close", policy.Succeeded, 1, 2)
	<-closed
	step("persist", policy.Succeeded, 2, 3)
	step("reset", policy.ConnectionReset, 2, 4)
	p.Sweep()
	if p.size != 0 {
		t.Errorf("%d connections cached after a reset, want none", p.size)
	}
}

// Idle and active connections together stay within the capacity: the least recently used idle
// connection is closed for a new one. Sweep closes those that have reached the maximum idle time.
func TestPool_StaysWithinCapacity(t *testing.T) {
	p := New(time.Second, 10*time.Second, 2)
	var addrs []string
	for range 3 {
		addrs = append(addrs, serveEndpoint(t, respondWith(okResponse)))
	}
	for _, addr := range addrs {
		if got := p.Call(t.Context(), newTestRequest(addr)); got.Outcome != policy.Succeeded {
			t.Errorf("outcome %v", got.Outcome)
		}
		if p.size > 2 {
			t.Errorf("%d connections, capacity 2", p.size)
		}
	}
	if cached := p.idle[upstream.Target{Endpoint: "h", Addr: addrs[0]}].conns; len(cached) != 0 {
		t.Error("the least recently used connection is still cached")
	}
	p.CloseIdle(upstream.Target{Endpoint: "h", Addr: addrs[1]})
	if p.size != 1 {
		t.Errorf("%d connections after closing those of one endpoint, want 1", p.size)
	}
	p.maxIdleTime = 0
	p.Sweep()
	if p.size != 0 {
		t.Errorf("%d connections cached past the maximum idle time", p.size)
	}
}
