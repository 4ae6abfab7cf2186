package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/servingmode"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// testServer is the clients' side alone, with so much room; taken gets what it takes in.
func testServer(t *testing.T, room int) (s *Server, addr string, taken chan *frontend.Submission) {
	t.Helper()
	check := &frontend.Validator{
		Classes: map[string]*policy.Class{"status": {Name: "status", Deadline: 30 * time.Second}},
		Tenants: map[string]bool{"acme": true},
	}
	taken = make(chan *frontend.Submission, 100)
	s = New(Config{Validator: check, Mode: &servingmode.Mode{}, MemoryMB: 192, MaxConns: room, MaxIdleConns: 128}, func(a *frontend.Submission) { taken <- a }, func(string) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), taken
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waittest.Long))
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// raw is a good request for a message with an id, with lines added to its head.
func raw(id, body string, lines ...string) string {
	head := fmt.Sprintf("POST /status HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 5\r\n"+
		"X-Envelope: dest=7\r\n", id)
	for _, l := range lines {
		head += l + "\r\n"
	}
	return head + "\r\n" + body
}

// What can't be read, or leaves unclear where it ends, gets a 4xx and a close (or a close), takes nothing on,
// and nothing behind it is looked at. Before, a request hidden in the body of one with both a length and a
// transfer encoding was passed on, as was one behind a length that was too short.
func TestUnreadableRequests(t *testing.T) {
	hidden := raw("hidden", "", "Content-Length: 0")
	tests := []struct {
		name, text string
		want       []int // 0 for a close with no answer
	}{
		{"length and transfer encoding", raw("m", "0\r\n\r\n"+hidden, "Content-Length: 4", "Transfer-Encoding: chunked"), []int{400}},
		{"transfer encoding", raw("m", "1\r\nx\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), []int{400}},
		{"odd transfer encoding", raw("m", "", "Transfer-Encoding: xchunked", "Content-Length: 0"), []int{400}},
		{"HTTP/1.0 with both", strings.Replace(raw("m", "0\r\n\r\n", "Content-Length: 5", "Transfer-Encoding: chunked"),
			"HTTP/1.1", "HTTP/1.0", 1), []int{400}},
		{"length too short", raw("m", "0123456789", "Content-Length: 4"), []int{400}},
		{"a second request at once", raw("m", hidden, "Content-Length: 0"), []int{400}},
		{"no length", raw("m", ""), []int{411}},
		{"negative length", raw("m", "", "Content-Length: -5"), []int{400}},
		{"length that is no number", raw("m", "", "Content-Length: ten"), []int{400}},
		{"two lengths", raw("m", "abcd", "Content-Length: 4", "Content-Length: 2"), []int{400}},
		{"huge length", raw("m", "abcd", "Content-Length: 60000000"), []int{413}},
		{"absurd length", raw("m", "abcd", "Content-Length: 99999999999999999999"), []int{400}},
		{"a head without end", "POST /status HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxHead), []int{431, 0}},
		{"no HTTP", "what is this?\r\n\r\n", []int{400}},
		{"no host", strings.Replace(raw("m", "", "Content-Length: 0"), "Host: x\r\n", "", 1), []int{400}},
		{"two ids", raw("m", "", "Content-Length: 0", "Request-Id: n"), []int{400}},
		{"id of bad UTF-8", raw("\xff\xfe", "", "Content-Length: 0"), []int{400}},
		{"key of bad UTF-8", raw("m", "", "Content-Length: 0", "Idempotency-Key: k\xffk"), []int{400}},
	}
	for _, tt := range tests {
		_, addr, taken := testServer(t, 10)
		c := dial(t, addr)
		go func() { _, _ = io.WriteString(c, tt.text) }()
		in := bufio.NewReader(c)
		got := 0
		if resp, err := http.ReadResponse(in, nil); err == nil {
			got = resp.StatusCode
			if _, err := in.ReadByte(); err == nil || errors.Is(err, net.ErrClosed) {
				t.Errorf("%s: more than one answer", tt.name)
			}
		}
		found := false
		for _, want := range tt.want {
			found = found || got == want
		}
		if !found {
			t.Errorf("%s: answer %d, want %v", tt.name, got, tt.want)
		}
		select {
		case a := <-taken:
			// The loop looks at what lies behind a request last of all.
			if quiet, _ := a.Quiet(); quiet {
				t.Errorf("%s: taken in", tt.name)
			}
		default:
		}
	}
}

// An answer to a body that is far too large arrives although the client goes on sending.
func TestHugeBodyIsToldSo(t *testing.T) {
	_, addr, _ := testServer(t, 10)
	c := dial(t, addr)
	go func() {
		_, _ = io.WriteString(c, raw("m", "", "Content-Length: 60000000"))
		for {
			if _, err := c.Write(make([]byte, 32<<10)); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("answer %v, %v", resp, err)
	}
}

// Connections that say nothing, say half a request, or ask once and stay make room for others; one with a
// request open does not. Before, the listener stopped to accept.
func TestConnectionsMakeRoom(t *testing.T) {
	const room = 4
	half := raw("half", "", "Content-Length: 5")
	for name, before := range map[string]func(t *testing.T, c net.Conn){
		"silent":         func(*testing.T, net.Conn) {},
		"half a request": func(t *testing.T, c net.Conn) { write(t, c, half) },
		"resting": func(t *testing.T, c net.Conn) {
			write(t, c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, taken := testServer(t, room)
			c := dial(t, addr)
			write(t, c, raw("open", "", "Content-Length: 0"))
			a := waittest.Receive(t, taken)
			for range 3 * room {
				before(t, dial(t, addr))
			}
			late := dial(t, addr)
			write(t, late, raw("late", "", "Content-Length: 0"))
			waittest.Receive(t, taken).Response <- frontend.Response{Status: http.StatusAccepted}
			a.Response <- frontend.Response{Status: http.StatusAccepted}
			for _, c := range []net.Conn{c, late} {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || resp.StatusCode != http.StatusAccepted {
					t.Errorf("answer %v, %v", resp, err)
				}
			}
		})
	}
}

// Clients that ask once and stay keep so many connections at most: they hold only so many for requests. Before,
// they kept all that there was room for, and had none left to ask on.
func TestAskOnceAndStay(t *testing.T) {
	s, addr, _ := testServer(t, 100)
	s.keep = 3
	last := 0
	for range 20 {
		c := dial(t, addr)
		write(t, c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %v, %v", resp, err)
		}
		if resp.Close {
			last++
		}
		s.mu.Lock()
		kept := s.count[idle]
		s.mu.Unlock()
		if kept > s.keep {
			t.Fatalf("%d idle connections kept, want %d at most", kept, s.keep)
		}
	}
	if last == 0 {
		t.Error("no answer closed its connection")
	}
}

// A client that says nothing or half a request is closed in the time that it is owed an end.
func TestSilentClientsEnd(t *testing.T) {
	_, addr, _ := testServer(t, 10)
	silent, half := dial(t, addr), dial(t, addr)
	write(t, half, "POST /status HTTP/1.1\r\nHost:")
	for _, c := range []net.Conn{silent, half} {
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("no end: %v", err)
		}
	}
	if silentTime+firstTime >= 3*time.Second || readTime >= 3*time.Second {
		t.Error("an end within 3 s is owed")
	}
}
