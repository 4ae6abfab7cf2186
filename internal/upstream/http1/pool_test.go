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

// A connection that was active when its endpoint was evicted is not cached, and one that is idle is
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
		t.Errorf("%+v, %d connections cached", got, p.size)
	}
	p.Call(t.Context(), newTestRequest(addr))
	other := newTestRequest(addr)
	other.Endpoint = "h2"
	p.Call(t.Context(), other)
	if conns.Load() != 3 {
		t.Errorf("%d connections for three requests to two endpoints, one of which was evicted", conns.Load())
	}
}

// A cached connection carries the next request. One that the endpoint has closed carries none, and
// a request that is reset on a cached connection is not sent again by the pool although it has an
// idempotency key.
func TestPool_ReusesConnections(t *testing.T) {
	var conns, requests atomic.Int32
	var mode atomic.Value // what the endpoint does with a connection on which a request has come
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
			current := mode.Load() // before the response: the next step may set another once it has that
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
		before := conns.Load()
		got := p.Call(t.Context(), newTestRequest(addr))
		if got.Outcome != want {
			t.Errorf("%s: outcome %v, want %v", m, got.Outcome, want)
		}
		if got.NewConn != (conns.Load() > before) {
			t.Errorf("%s: a fresh connection %v", m, got.NewConn)
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
		t.Errorf("%d connections cached after a reset", p.size)
	}
}

// Idle and active connections together stay within the capacity: the one that was used longest ago
// is closed for a new one. Those that have been idle for too long are closed by a sweep.
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
		t.Error("the oldest is still cached")
	}
	p.CloseIdle(upstream.Target{Endpoint: "h", Addr: addrs[1]})
	if p.size != 1 {
		t.Errorf("%d after closing one endpoint's", p.size)
	}
	p.maxIdleTime = 0
	p.Sweep()
	if p.size != 0 {
		t.Errorf("%d cached past their time", p.size)
	}
}
