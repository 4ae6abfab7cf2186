package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/servingmode"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// healthRequest is a request that is answered without a submission.
const healthRequest = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"

func newValidator() *frontend.Validator {
	return &frontend.Validator{
		Classes: map[string]*policy.Class{"status": {Name: "status", Deadline: 30 * time.Second}},
		Tenants: map[string]bool{"acme": true},
	}
}

// newTestServer starts a server with a bound on its connections. It sends submissions to admitted.
func newTestServer(t *testing.T, maxConns int) (s *Server, addr string, admitted chan *frontend.Submission) {
	t.Helper()
	admitted = make(chan *frontend.Submission, 100)
	s = New(Config{Validator: newValidator(), Mode: &servingmode.Mode{}, MemoryMB: 192, MaxConns: maxConns, MaxPending: 8, MaxIdleConns: 128},
		func(a *frontend.Submission) { admitted <- a }, func(*frontend.Submission) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), admitted
}

// newIdleServer returns a server that is not accepting connections and permits one idle connection.
func newIdleServer() *Server {
	return New(Config{Validator: &frontend.Validator{}, Mode: &servingmode.Mode{}, MemoryMB: 64, MaxConns: 4, MaxIdleConns: 1},
		func(*frontend.Submission) {}, func(*frontend.Submission) {})
}

// addConn registers a connection without a goroutine that serves it.
func (s *Server) addConn(c *conn, state connState, since time.Time) {
	s.add(c, state)
	c.since = since
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

// newRequest returns a valid request with an id, a body, and lines added to its head.
func newRequest(id, body string, lines ...string) string {
	head := fmt.Sprintf("POST /status HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 5\r\n"+
		"X-Envelope: dest=7\r\n", id)
	for _, l := range lines {
		head += l + "\r\n"
	}
	return head + "\r\n" + body
}

// newConnPair returns both ends of a client's connection.
func newConnPair(t *testing.T) (client, server *net.TCPConn) {
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

// sendHealthCheck sends a request, and waits until its bytes have arrived.
func sendHealthCheck(t *testing.T, client *net.TCPConn, c *conn) {
	t.Helper()
	write(t, client, healthRequest)
	for end := time.Now().Add(waittest.Long); !c.hasUnread(); {
		if time.Now().After(end) {
			t.Fatal("the request did not arrive")
		}
	}
}

// fullListener is a listener that accepts one connection and then fails with a descriptor shortage.
type fullListener struct {
	first  chan net.Conn
	tried  chan struct{}
	closed chan struct{}
}

func (l *fullListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.first:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case l.tried <- struct{}{}:
	default:
	}
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
}

func (l *fullListener) Close() error   { return nil }
func (l *fullListener) Addr() net.Addr { return &net.TCPAddr{} }

// A connection that was just accepted is not closed to free a descriptor: its first request may be in
// transit and would be lost.
func TestServer_DescriptorShortageKeepsNewConnections(t *testing.T) {
	client, server := newConnPair(t)
	s := newIdleServer()
	l := &fullListener{make(chan net.Conn, 1), make(chan struct{}), make(chan struct{})}
	l.first <- server
	go func() { _ = s.Serve(l) }()
	defer close(l.closed)
	for range 3 {
		<-l.tried
	}
	_ = client.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !os.IsTimeout(err) {
		t.Errorf("a new connection was closed: %v", err)
	}
}

// A client that sends nothing, or a partial request, gets a response or a close within 3 s.
func TestServer_ClosesUnresponsiveClients(t *testing.T) {
	_, addr, _ := newTestServer(t, 10)
	nothing, half := dial(t, addr), dial(t, addr)
	write(t, half, "POST /status HTTP/1.1\r\nHost:")
	for _, c := range []net.Conn{nothing, half} {
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("not closed: %v", err)
		}
	}
	if newConnTimeout+firstRequestTimeout >= 3*time.Second || requestTimeout >= 3*time.Second {
		t.Error("the timeouts do not guarantee a response or a close within 3 s")
	}
}

// Traces are searched for these values, so they must not change.
func TestCloseReason_Values(t *testing.T) {
	for reason, want := range map[CloseReason]string{
		CloseEvicted:      "room for others",
		CloseTooManyIdle:  "clients keep more than they use",
		CloseDraining:     "clients are sent away",
		CloseNoRequest:    "no request in time, or its client has left",
		CloseClientGone:   "nobody waits for an answer",
		CloseWriteFailed:  "the answer can't be written",
		CloseLastResponse: "the last answer",
		CloseConcurrent:   "closed meanwhile",
	} {
		if string(reason) != want {
			t.Errorf("got %q, want %q", string(reason), want)
		}
	}
}

// OnClose is called with the reason of each close.
func TestServer_ReportsCloseReason(t *testing.T) {
	reasons := make(chan string, 10)
	s := New(Config{
		Validator: &frontend.Validator{}, Mode: &servingmode.Mode{}, MemoryMB: 64, MaxConns: 4, MaxIdleConns: 1,
		OnClose: func(reason string) { reasons <- reason },
	}, func(*frontend.Submission) {}, func(*frontend.Submission) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = s.Serve(l) }()
	for _, tt := range []struct {
		text string
		want CloseReason
	}{
		{"what is this?\r\n\r\n", CloseLastResponse},
		{"", CloseNoRequest},
		{"POST /status HTTP/1.1\r\nHost:", CloseClientGone},
	} {
		c := dial(t, l.Addr().String())
		write(t, c, tt.text)
		if tt.want == CloseLastResponse {
			_, _ = bufio.NewReader(c).ReadString('\n')
		}
		_ = c.Close()
		if got := waittest.Receive(t, reasons); got != string(tt.want) {
			t.Errorf("after %q: %q, want %q", tt.text, got, tt.want)
		}
	}
}
