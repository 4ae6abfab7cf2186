package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/wait/waittest"
)

// New connections, idle ones and those with a partial request are evicted for further connections;
// one that awaits a response is not. Without eviction, the server stops accepting connections.
func TestServer_EvictsForNewConnections(t *testing.T) {
	const maxConns = 4
	half := newRequest("half", "", "Content-Length: 5")
	for name, before := range map[string]func(t *testing.T, c net.Conn){
		"new": func(*testing.T, net.Conn) {},
		"half a request": func(t *testing.T, c net.Conn) {
			t.Helper()
			write(t, c, half)
		},
		"idle": func(t *testing.T, c net.Conn) {
			t.Helper()
			write(t, c, healthRequest)
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, admitted := newTestServer(t, maxConns)
			first := dial(t, addr)
			write(t, first, newRequest("awaiting", "", "Content-Length: 0"))
			awaiting := waittest.Receive(t, admitted)
			for range 3 * maxConns {
				before(t, dial(t, addr))
			}
			late := dial(t, addr)
			write(t, late, newRequest("late", "", "Content-Length: 0"))
			waittest.Receive(t, admitted).Response <- frontend.Response{Status: http.StatusAccepted}
			awaiting.Response <- frontend.Response{Status: http.StatusAccepted}
			for _, c := range []net.Conn{first, late} {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || resp.StatusCode != http.StatusAccepted {
					t.Errorf("response %v, %v", resp, err)
				}
			}
		})
	}
}

// The number of idle connections is bounded. Without the bound, clients that send one request on
// each connection and leave it idle use up all the connections that they may have, and have none for
// further requests.
func TestServer_BoundsIdleConnections(t *testing.T) {
	s, addr, _ := newTestServer(t, 100)
	s.maxIdle = 3
	closed := 0
	for range 20 {
		c := dial(t, addr)
		write(t, c, healthRequest)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, %v", resp, err)
		}
		if resp.Close {
			closed++
		}
		s.mu.Lock()
		idle := s.countOf(connIdle)
		s.mu.Unlock()
		if idle > s.maxIdle {
			t.Fatalf("%d idle connections, want at most %d", idle, s.maxIdle)
		}
	}
	if closed == 0 {
		t.Error("no response announced a close")
	}
}

// While connections are pending, clients with large requests leave half of the idle connections to others.
func TestServer_LargeRequestsLeaveIdleConnectionsToOthers(t *testing.T) {
	for _, tt := range []struct {
		crowded, large bool
		idle           int
		want           bool
	}{
		{true, true, 1, true},
		{true, true, 2, false},
		{true, false, 2, true},
		{true, false, 4, false},
		{false, true, 2, true},
	} {
		s := newIdleServer()
		s.maxIdle, s.maxConns = 4, 8
		s.crowded.Store(tt.crowded)
		for range tt.idle {
			_, server := newConnPair(t)
			s.addConn(newConn(server), connIdle, time.Now())
		}
		_, server := newConnPair(t)
		c := newConn(server)
		c.tookChunks = tt.large
		s.addConn(c, connReading, time.Now())
		if got := s.reserveIdle(c); got != tt.want {
			t.Errorf("%+v: may become idle: %v", tt, got)
		}
	}
}

// A connection with an unread request is not evicted: neither for a new connection, nor at shutdown,
// nor when too many connections are idle. Nor is a lingering connection with unread bytes, since a
// close would reset it.
func TestServer_DoesNotEvictWithUnreadRequest(t *testing.T) {
	for _, state := range []connState{connLingering, connIdle, connNew} {
		t.Run(fmt.Sprint(int(state)), func(t *testing.T) {
			s := newIdleServer()
			client, server := newConnPair(t)
			busy := newConn(server)
			s.addConn(busy, state, time.Now().Add(-time.Hour))
			sendHealthCheck(t, client, busy)
			if s.evict(connLingering) || busy.isGone() {
				t.Error("connection with an unread request was evicted")
			}
			if state == connIdle {
				if s.reserveIdle(busy) || busy.isGone() {
					t.Error("connection with an unread request was closed since too many are idle")
				}
			}
			_, server = newConnPair(t)
			quiet := newConn(server)
			s.addConn(quiet, state, time.Now().Add(-time.Hour))
			if !s.evict(connLingering) || !quiet.isGone() || busy.isGone() {
				t.Error("connection without unread bytes was not evicted, or the wrong one was")
			}
		})
	}
}

// A connection whose request was just read is not evicted, before its goroutine has noted the state of the connection or that the
// request is complete, however long that takes on a busy machine. The request would be lost.
func TestServer_DoesNotEvictWhileHandlingRequest(t *testing.T) {
	for _, state := range []connState{connNew, connIdle, connReading} {
		t.Run(fmt.Sprint(int(state)), func(t *testing.T) {
			s := newIdleServer()
			client, server := newConnPair(t)
			c := newConn(server)
			longAgo := time.Now().Add(-time.Hour)
			s.addConn(c, state, longAgo)
			c.progressAt = longAgo
			sendHealthCheck(t, client, c)
			if n, err := c.from.Read(c.buffer.space()); n != len(healthRequest) || err != nil {
				t.Fatalf("%d bytes, %v", n, err)
			}
			if s.evict(connLingering) || c.isGone() {
				t.Error("connection was evicted while its request was handled")
			}
			s.closeIfQuiet(c)
			if c.isGone() {
				t.Error("connection was closed for standby while its request was handled")
			}
		})
	}
}

// A connection whose client has completed a request is evicted after one whose request has stalled, unless it has been idle for long.
func TestServer_EvictsStalledBeforeIdle(t *testing.T) {
	for _, tt := range []struct {
		idle time.Duration
		want connState // of the connection that is evicted
	}{{minIdleTime / 2, connReading}, {2 * minIdleTime, connIdle}} {
		s := newIdleServer()
		conns := map[connState]*conn{}
		for state, age := range map[connState]time.Duration{connIdle: tt.idle, connReading: 2 * minStall} {
			_, server := newConnPair(t)
			c := newConn(server)
			s.addConn(c, state, time.Now().Add(-age))
			c.progressAt = c.since
			conns[state] = c
		}
		if !s.evict(connLingering) || !conns[tt.want].isGone() || s.countOf(connIdle)+s.countOf(connReading) != 1 {
			t.Errorf("idle for %v: the wrong connection was evicted", tt.idle)
		}
	}
}
