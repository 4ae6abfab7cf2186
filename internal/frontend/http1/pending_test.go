package http1

import (
	"testing"
	"time"
)

// A connection with a request doesn't wait for a silent one that was accepted before it.
func TestServer_SilentConnectionDelaysNoRequest(t *testing.T) {
	s := newIdleServer()
	s.maxConns, s.maxPending = 1, 4
	_, server := newConnPair(t)
	s.addConn(newConn(server), connNew, time.Now())
	_, server = newConnPair(t)
	silent := newConn(server)
	client, server := newConnPair(t)
	request := newConn(server)
	sendHealthCheck(t, client, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = []*conn{silent, request}
	s.settlePending()
	if !s.conns[request] || len(s.pending) != 1 || s.pending[0] != silent {
		t.Errorf("the request is served: %v; %d connections are pending, want the silent one", s.conns[request], len(s.pending))
	}
}

// A connection whose client has just completed a request is spared for a while, in which another one may stall.
func TestServer_SparesIdleConnectionForAWhile(t *testing.T) {
	for _, tt := range []struct {
		pendingFor time.Duration
		want       bool // the idle connection is evicted
	}{{0, false}, {maxStallWait, true}} {
		s := newIdleServer()
		s.maxConns, s.maxPending = 2, 4
		_, server := newConnPair(t)
		idle := newConn(server)
		s.addConn(idle, connIdle, time.Now())
		_, server = newConnPair(t)
		reading := newConn(server)
		s.addConn(reading, connReading, time.Now())
		reading.progressAt = time.Now().Add(time.Hour) // never stalls
		client, server := newConnPair(t)
		c := newConn(server)
		c.since = time.Now().Add(-tt.pendingFor)
		sendHealthCheck(t, client, c)
		s.mu.Lock()
		s.pending = []*conn{c}
		s.settlePending()
		if idle.isGone() != tt.want || s.conns[c] != tt.want {
			t.Errorf("pending for %v: idle connection evicted %v, want %v", tt.pendingFor, idle.isGone(), tt.want)
		}
		s.mu.Unlock()
	}
}
