package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// rawHost serves each connection to a host by a function.
func rawHost(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// readCall reads one whole request.
func readCall(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// answering gives every request of a connection the same answer.
func answering(text string) func(net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			if _, err := readCall(in); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func testPool() *Pool { return New(time.Second, 10*time.Second, 4) }

func testCall(addr string) upstream.Request {
	return upstream.Request{Target: upstream.Target{Endpoint: "h", Addr: addr}, ID: "m1", IdempotencyKey: "k1", Body: []byte("a\x00b"), Timeout: waittest.Long}
}

func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	readThen := func(do func(c net.Conn)) string {
		return rawHost(t, func(c net.Conn) {
			if _, err := readCall(bufio.NewReader(c)); err == nil {
				do(c)
			}
		})
	}
	reply := func(text string) string { return rawHost(t, answering(text)) }
	tests := []struct {
		name string
		addr string
		want upstream.Result
	}{
		{"delivered", reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{
			"an interim answer ahead", reply("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
			upstream.Result{Outcome: policy.Succeeded, Final: true},
		},
		{"error", reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.Failed}},
		{
			"told to wait", reply("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n"),
			upstream.Result{Outcome: policy.Rejected, RetryAfter: 250 * time.Millisecond},
		},
		// Before, a wait was cut to the life of a message, and what came after that was sent within it.
		{
			"told to wait for long", reply("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 3600000\r\nContent-Length: 0\r\n\r\n"),
			upstream.Result{Outcome: policy.Rejected, RetryAfter: time.Hour},
		},
		{"turned away", reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.Rejected}},
		{"no slot", reply("HTTP/1.1 503 No\r\nX-No-Slot: 1\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.NotSent}},
		{"attempts spent", reply("HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.NotSent, AttemptsExhausted: true}},
		{"over", reply("HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.NotSent, Final: true}},
		{"connection refused", closed.Addr().String(), upstream.Result{Outcome: policy.ConnectError}},
		{"closed with no answer", readThen(func(net.Conn) {}), upstream.Result{Outcome: policy.ConnectionReset}},
		{"reset", readThen(func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }), upstream.Result{Outcome: policy.ConnectionReset}},
		{"a head without end", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 503 No\r\n")
			for err == nil {
				_, err = io.WriteString(c, "X-More: and more\r\n")
			}
		}), upstream.Result{Outcome: policy.ConnectionReset}},
		{"a body without end", readThen(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("more", 1000))
			}
		}), upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{"no HTTP", readThen(func(c net.Conn) { _, _ = io.WriteString(c, "what?\r\n\r\n") }), upstream.Result{Outcome: policy.ConnectionReset}},
	}
	for _, tt := range tests {
		tt.want.NewConn = true
		if got := testPool().Call(t.Context(), testCall(tt.addr)); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Spoilt answers have run, but for a first line that says 200, and their connections carry no further call.
// Before, a broken 503 counted as proof that a message never ran.
func TestSpoiltAnswers(t *testing.T) {
	ok, reset := upstream.Result{Outcome: policy.Succeeded, Final: true}, upstream.Result{Outcome: policy.ConnectionReset}
	const no, wait = "HTTP/1.1 503 No\r\n", "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 1e18\r\n"
	tests := []struct {
		name, text string
		want       upstream.Result
	}{
		{"a head that can't be read", no + "what?\x00\r\n\r\n", reset},
		{"a length that is too long", no + "Content-Length: 9\r\n\r\nabc", reset},
		{"a length that is too short", no + "Content-Length: 1\r\n\r\nabc", upstream.Result{Outcome: policy.Rejected, OutcomeUnknown: true}},
		{"a length that is no number", no + "Content-Length: x\r\n\r\n", reset},
		{"3 GB", no + "Content-Length: 3000000000\r\n\r\nabc", reset},
		{"over, but broken", "HTTP/1.1 410 No\r\nContent-Length: 9\r\n\r\nabc", reset},
		{"delivered, an unreadable head", "HTTP/1.1 200 OK\r\nwhat?\x00\r\n\r\n", ok},
		{"delivered, 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", ok},
		{"delivered, a head without end", "HTTP/1.1 200 OK\r\nA: b\r\n", ok},
		{"not quite delivered", "HTTP/1.1 2000 OK\r\n\r\n", reset},
		{
			"a good answer and a copy", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			upstream.Result{Outcome: policy.Succeeded, Final: true, OutcomeUnknown: true},
		},
		{"interim ones and an absurd wait", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + wait +
			"Content-Length: 0\r\n\r\n", upstream.Result{Outcome: policy.Rejected, RetryAfter: mostWait}},
		{"interim ones without end", strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 100), reset},
	}
	for _, tt := range tests {
		p := testPool()
		tt.want.NewConn = true
		if got := p.Call(t.Context(), testCall(rawHost(t, answering(tt.text)))); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
		if p.count != 0 && !strings.Contains(tt.name, "absurd wait") {
			t.Errorf("%s: the connection is kept", tt.name)
		}
	}
}

// A connection that was out when its host went is not kept, and one that is idle is not used for another host
// at the same address.
func TestHostGone(t *testing.T) {
	var conns atomic.Int32
	release := make(chan bool)
	addr := rawHost(t, func(c net.Conn) {
		n := conns.Add(1)
		for in := bufio.NewReader(c); ; {
			if _, err := readCall(in); err != nil {
				return
			}
			if n == 1 {
				<-release
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := testPool()
	done := make(chan upstream.Result, 1)
	go func() { done <- p.Call(t.Context(), testCall(addr)) }()
	for end := time.Now().Add(waittest.Long); conns.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	p.Evict(upstream.Target{Endpoint: "h", Addr: addr})
	close(release)
	if got := waittest.Receive(t, done); got.Outcome != policy.Succeeded || p.count != 0 {
		t.Errorf("%+v, %d connections kept", got, p.count)
	}
	p.Call(t.Context(), testCall(addr))
	other := testCall(addr)
	other.Endpoint = "h2"
	p.Call(t.Context(), other)
	if conns.Load() != 3 {
		t.Errorf("%d connections for three calls to two hosts and one that went", conns.Load())
	}
}

func TestReport(t *testing.T) {
	for text, want := range map[string]*policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, RateLimit: 25}, "x1=3, x0=0": {RateLimit: 3}, "": nil, "x0=0.4": nil, "x0=NaN,x1=1": nil,
		"x0=-1,x1=2": nil, "x0=a,x1=2": nil, "x0=1;x1=2": nil,
		"x0=Inf,x1=1": nil, "x0=0.4,x1=1e300": nil, "x0=1e9,x1=1": nil, "x0=0.4,x0=0.5,x1=1": nil,
	} {
		if got := parseReport(text); (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

func TestRequestOnTheWire(t *testing.T) {
	heads := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	addr := rawHost(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		heads <- r
		bodies <- string(b)
	})
	call := testCall(addr)
	call.Timeout = 90 * time.Second
	testPool().Call(t.Context(), call)
	r := <-heads
	if r.Method != "POST" || r.URL.Path != "/inbox" || r.Header.Get("Request-Id") != "m1" ||
		r.Header.Get("Idempotency-Key") != "k1" || r.ContentLength != 3 {
		t.Errorf("head: %v %v %v", r.Method, r.URL, r.Header)
	}
	if !strings.HasPrefix(r.Header.Get("Request-Timeout"), "8") && r.Header.Get("Request-Timeout") != "90.000" {
		t.Errorf("time-out %q", r.Header.Get("Request-Timeout"))
	}
	if b := <-bodies; b != "a\x00b" {
		t.Errorf("body %q", b)
	}
}

// A call that timed out or was called off is off the wire when its end is reported: the host's side of the
// connection ends.
func TestGivenUpCallIsOffTheWire(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		began, ended := make(chan bool, 1), make(chan error, 1)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := readCall(in); err != nil {
				return
			}
			began <- true
			_, err := in.ReadByte()
			ended <- err
		})
		ctx, cancel := context.WithCancel(t.Context())
		call := testCall(addr)
		want := policy.TimedOut
		if cancelled {
			want = policy.Canceled
			go func() {
				<-began
				cancel()
			}()
		} else {
			call.Timeout = 50 * time.Millisecond
		}
		if got := testPool().Call(ctx, call); got.Outcome != want {
			t.Errorf("cancelled %v: outcome %v, want %v", cancelled, got.Outcome, want)
		}
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the host read more")
			}
		case <-time.After(waittest.Long):
			t.Errorf("cancelled %v: the connection is still open", cancelled)
		}
		cancel()
	}
}

// A kept connection carries the next call; one that the host has closed carries none, and a call that is
// reset on a kept connection is not made again by itself although it has a key.
func TestReuse(t *testing.T) {
	var conns, calls atomic.Int32
	var mode atomic.Value // what the host does after an answer
	mode.Store("keep")
	closed := make(chan bool, 4)
	addr := rawHost(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for {
			if _, err := readCall(in); err != nil {
				return
			}
			calls.Add(1)
			if mode.Load() == "reset" {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if mode.Load() == "close" {
				_ = c.Close()
				closed <- true
				return
			}
		}
	})
	p := testPool()
	step := func(m string, want policy.Outcome, wantConns, wantCalls int32) {
		t.Helper()
		mode.Store(m)
		before := conns.Load()
		got := p.Call(t.Context(), testCall(addr))
		if got.Outcome != want {
			t.Errorf("%s: outcome %v, want %v", m, got.Outcome, want)
		}
		if got.NewConn != (conns.Load() > before) {
			t.Errorf("%s: a fresh connection %v", m, got.NewConn)
		}
		if conns.Load() != wantConns || calls.Load() != wantCalls {
			t.Errorf("%s: %d connections and %d calls, want %d and %d", m, conns.Load(), calls.Load(), wantConns, wantCalls)
		}
	}
	step("keep", policy.Succeeded, 1, 1)
	step("close", policy.Succeeded, 1, 2)
	<-closed
	step("keep", policy.Succeeded, 2, 3)
	step("reset", policy.ConnectionReset, 2, 4)
	p.Sweep()
	if p.count != 0 {
		t.Errorf("%d connections kept after a reset", p.count)
	}
}

// Connections to hosts stay within their room, idle ones and those with a call out together: the one that was
// used longest ago makes room.
func TestPoolBounds(t *testing.T) {
	p := New(time.Second, 10*time.Second, 2)
	var addrs []string
	for range 3 {
		addrs = append(addrs, rawHost(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")))
	}
	for _, addr := range addrs {
		if got := p.Call(t.Context(), testCall(addr)); got.Outcome != policy.Succeeded {
			t.Errorf("outcome %v", got.Outcome)
		}
		if p.count > 2 {
			t.Errorf("%d connections, room for 2", p.count)
		}
	}
	if kept := p.idle[upstream.Target{Endpoint: "h", Addr: addrs[0]}].conns; len(kept) != 0 {
		t.Error("the oldest was kept")
	}
	p.CloseIdle(upstream.Target{Endpoint: "h", Addr: addrs[1]})
	if p.count != 1 {
		t.Errorf("after closing one host's: %d", p.count)
	}
	p.keep = 0
	p.Sweep()
	if p.count != 0 {
		t.Errorf("%d kept past their time", p.count)
	}
}
