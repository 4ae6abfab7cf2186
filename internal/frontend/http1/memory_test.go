package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/wait/waittest"
)

// A head may have maxHeadFields lines, and one more is too many, whatever their length: each takes many times its length once it is
// parsed.
func TestServer_BoundsFieldsOfHead(t *testing.T) {
	for _, tt := range []struct{ fields, want int }{{maxHeadFields - 10, http.StatusAccepted}, {maxHeadFields, http.StatusRequestHeaderFieldsTooLarge}} {
		t.Run(fmt.Sprint(tt.fields), func(t *testing.T) {
			_, addr, admitted := newTestServer(t, 10)
			c := dial(t, addr)
			var lines []string
			for i := range tt.fields {
				lines = append(lines, fmt.Sprintf("a%d:", i))
			}
			write(t, c, newRequest("m", "", append(lines, "Content-Length: 0")...))
			if tt.want == http.StatusAccepted {
				waittest.Receive(t, admitted).Response <- frontend.Response{Status: http.StatusAccepted}
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Errorf("response %v, %v", resp, err)
			}
		})
	}
}

// A request is read correctly whatever the pieces are in which it arrives, and wherever its head ends in the chunks.
func TestServer_ReadsRequestInPieces(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1000)
	for _, tt := range []struct{ padding, piece int }{{0, 1 << 20}, {0, 7}, {firstChunkSize - 200, 511}, {chunkSize, 4096}, {2*chunkSize + 77, 1000}} {
		t.Run(fmt.Sprintf("padding %d, pieces of %d", tt.padding, tt.piece), func(t *testing.T) {
			s, addr, admitted := newTestServer(t, 10)
			c := dial(t, addr)
			text := newRequest("m", body, "Padding: "+strings.Repeat("p", tt.padding), fmt.Sprintf("Content-Length: %d", len(body)))
			go func() {
				for len(text) > 0 {
					n := min(tt.piece, len(text))
					_, _ = c.Write([]byte(text[:n]))
					text = text[n:]
				}
			}()
			submission := waittest.Receive(t, admitted)
			if string(submission.Entry.Body) != body {
				t.Errorf("body of %d bytes differs", len(submission.Entry.Body))
			}
			submission.Response <- frontend.Response{Status: http.StatusAccepted}
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusAccepted {
				t.Errorf("response %v, %v", resp, err)
			}
			if used := s.Stats().Memory["requests_read"].Used; used != 0 {
				t.Errorf("%d bytes are still held after the request", used)
			}
		})
	}
}

// A part of a large request survives a hand-over.
func TestServer_DetachesHalfABody(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1000)
	request := newRequest("half", body, fmt.Sprintf("Content-Length: %d", len(body)))
	begun := request[:len(request)-5000]
	s, addr, admitted := newTestServer(t, 10)
	half := dial(t, addr)
	write(t, half, begun)
	waitUntil(t, func() bool { return s.Stats().Memory["requests_read"].Used >= len(begun)-firstChunkSize })
	detached, err := s.Quiesce(t.Context())
	if err != nil || len(detached) != 1 || string(detached[0].Buffered) != begun {
		t.Fatalf("%d connections detached, %v", len(detached), err)
	}
	s.Resume(detached)
	write(t, half, request[len(begun):])
	submission := waittest.Receive(t, admitted)
	if string(submission.Entry.Body) != body {
		t.Errorf("body of %d bytes differs", len(submission.Entry.Body))
	}
	submission.Response <- frontend.Response{Status: http.StatusAccepted}
}

// A health check and the bytes of the request behind it, which arrive together, both survive: the second is not lost when it is
// handed over before it is complete.
func TestServer_DetachesBytesBehindAHealthCheck(t *testing.T) {
	request := newRequest("behind", "", "Content-Length: 0")
	const begun = 40
	s, addr, _ := newTestServer(t, 10)
	c := dial(t, addr)
	write(t, c, healthRequest+request[:begun])
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	waitForCounts(t, s, 0, 1)
	detached, err := s.Quiesce(t.Context())
	if err != nil || len(detached) != 1 || string(detached[0].Buffered) != request[:begun] {
		t.Fatalf("detached %+v, %v", detached, err)
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waittest.Long); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
	}
}

// Requests that stop half way hold at most the memory for reading, with the part that is lent; a further client's request takes the
// place of the one that has stalled the longest.
func TestServer_StalledRequestsMakeRoomForOthers(t *testing.T) {
	s, addr, admitted := newTestServer(t, 100)
	s.chunks.limit = 64
	half := newRequest("half", strings.Repeat("x", 48<<10), "Content-Length: 65536")
	for range 20 {
		write(t, dial(t, addr), half)
		time.Sleep(2 * minStall)
	}
	waitUntil(t, func() bool { return s.Stats().Closed[CloseForMemory] > 0 })
	c := dial(t, addr)
	body := strings.Repeat("y", 16<<10)
	time.Sleep(2 * minStall)
	write(t, c, newRequest("whole", body, fmt.Sprintf("Content-Length: %d", len(body))))
	submission := waittest.Receive(t, admitted)
	if submission.Entry.ID != "whole" {
		t.Errorf("admitted %q", submission.Entry.ID)
	}
	submission.Response <- frontend.Response{Status: http.StatusAccepted}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("response %v, %v", resp, err)
	}
	if peak, most := s.Stats().Memory["requests_read"].Peak, 64*chunkSize*5/4; peak > most {
		t.Errorf("%d bytes were held, want at most %d", peak, most)
	}
}

// A request for whose body the relay has no space is shed before the body is sent.
func TestServer_ShedsBeforeTheBody(t *testing.T) {
	shed := make(chan *frontend.Submission, 1)
	s := New(Config{
		Validator: newValidator(), Mode: newIdleServer().mode, MemoryMB: 64, MaxConns: 4, MaxIdleConns: 4,
		HasSpace: func(bodySize int) bool { return bodySize < 1000 },
	}, func(*frontend.Submission) {}, func(a *frontend.Submission) { shed <- a })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = s.Serve(l) }()
	c := dial(t, l.Addr().String())
	write(t, c, newRequest("large", "", "Content-Length: 5000"))
	waittest.Receive(t, shed).Response <- frontend.Response{Status: http.StatusServiceUnavailable}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("response %v, %v", resp, err)
	}
}

// At the bound on connections, a silent connection replaces one that has been silent for longer; if there is none, it waits, and is
// closed if too many wait. One with a request is served.
func TestServer_SettlesConnectionsBeyondTheBound(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name       string
		maxPending int
		served     time.Duration // age of the silent connection that is served
		request    bool          // the pending connection has a request
		wantServed bool
		wantClosed bool
	}{
		{"an older one is silent", 1, time.Hour, false, true, false},
		{"it waits", 2, -time.Hour, false, false, false},
		{"too many wait", 1, -time.Hour, false, false, true},
		{"it has a request", 1, 0, true, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newIdleServer()
			s.maxConns, s.maxPending = 1, tt.maxPending
			_, server := newConnPair(t)
			served := newConn(server)
			s.addConn(served, connNew, now.Add(-tt.served))
			client, server := newConnPair(t)
			c := newConn(server)
			c.since = now.Add(-2 * pendingTime)
			if tt.request {
				sendHealthCheck(t, client, c)
			}
			s.mu.Lock()
			s.pending = []*conn{c}
			s.settlePending()
			if isServed, closed := s.conns[c], s.stats.closed[CloseSurplus] > 0; isServed != tt.wantServed || closed != tt.wantClosed {
				t.Errorf("served %v, closed %v", isServed, closed)
			}
			s.mu.Unlock()
		})
	}
}

// A request that is rejected gives its memory back before its connection lingers.
func TestServer_LingeringConnectionHoldsNoChunks(t *testing.T) {
	s, addr, _ := newTestServer(t, 4)
	c := dial(t, addr)
	write(t, c, newRequest("m", "", "Padding: "+strings.Repeat("p", 2*chunkSize), "Content-Length: 60000000"))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("response %v, %v", resp, err)
	}
	if use := s.Stats().Memory["requests_read"]; use.Used != 0 || use.Peak == 0 {
		t.Errorf("%+v", use)
	}
}
