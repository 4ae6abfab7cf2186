package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/servingmode"
	"frostlink/internal/wait/waittest"
)

// pair is a client's connection from both sides.
func pair(t *testing.T) (theirs, ours *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// send sends a request for health, and waits until it has come.
func send(t *testing.T, theirs *net.TCPConn, c *client) {
	t.Helper()
	if _, err := io.WriteString(theirs, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waittest.Long); !c.has(); {
		if time.Now().After(end) {
			t.Fatal("the request did not come")
		}
	}
}

// unserved is a server that takes no connections by itself, with room for one idle one.
func unserved() *Server {
	return New(Config{Validator: &frontend.Validator{}, Mode: &servingmode.Mode{}, MemoryMB: 64, MaxConns: 4, MaxIdleConns: 1},
		func(*frontend.Submission) {}, func(string) {})
}

// tardy is a connection whose first read finds its deadline past, whatever has come: as a process that got no turn for long.
type tardy struct {
	io.Reader
	asked atomic.Bool
}

func (r *tardy) Read(b []byte) (int, error) {
	if !r.asked.Swap(true) {
		return 0, os.ErrDeadlineExceeded
	}
	return r.Reader.Read(b)
}

// A request that has come when its connection has been idle for too long is answered, and not closed on.
func TestRequestInTheInstantOfTheTimeOut(t *testing.T) {
	theirs, ours := pair(t)
	c := newClient(ours, nil)
	c.came.from = &tardy{Reader: ours}
	send(t, theirs, c)
	s := unserved()
	s.mu.Lock()
	s.begin(c, idle)
	s.mu.Unlock()
	_ = theirs.SetDeadline(time.Now().Add(waittest.Long))
	resp, err := http.ReadResponse(bufio.NewReader(theirs), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", resp, err)
	}
}

// A connection on which a request has come that was not read makes no room for others: neither for a new one, nor at the end,
// nor where too many are idle. Nor does one that has its last answer, with bytes that were not read: they would reset it.
func TestUnreadRequestIsNotClosedOn(t *testing.T) {
	for _, at := range []stage{leaving, idle, fresh} {
		s := unserved()
		theirs, ours := pair(t)
		busy := newClient(ours, nil)
		busy.stage, busy.since = at, time.Now().Add(-time.Hour)
		s.clients[busy] = true
		s.count[at] = 1
		send(t, theirs, busy)
		if s.evict(leaving) || busy.removed {
			t.Errorf("stage %d: closed on to make room", at)
		}
		if at == idle {
			if !s.crowded() || busy.removed {
				t.Error("closed on since too many are idle")
			}
		}
		_, quiet := pair(t)
		other := newClient(quiet, nil)
		other.stage, other.since = at, time.Now().Add(-time.Hour)
		s.clients[other] = true
		s.count[at]++
		if !s.evict(leaving) || !other.removed || busy.removed {
			t.Errorf("stage %d: one that is quiet does not make room", at)
		}
	}
}

// The end leaves a connection the time in which its last answer arrives: it closes by itself. One that rests is closed at once.
func TestEndLeavesLastAnswers(t *testing.T) {
	s := unserved()
	add := func(at stage) *client {
		_, ours := pair(t)
		c := newClient(ours, nil)
		c.stage = at
		s.clients[c] = true
		s.count[at]++
		return c
	}
	last, rests := add(leaving), add(idle)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	for gone := false; !gone; runtime.Gosched() {
		s.mu.Lock()
		gone = rests.removed || last.removed
		s.mu.Unlock()
	}
	s.mu.Lock()
	if last.removed || !rests.removed {
		t.Errorf("closed: with its last answer %v, at rest %v", last.removed, rests.removed)
	}
	s.remove(last, closedByEnd)
	s.remove(rests, closedByEnd)
	s.mu.Unlock()
	s.left.Broadcast()
	if err := waittest.Receive(t, ended); err != nil {
		t.Error(err)
	}
}
