package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/wait/waittest"
)

// timedOutReader is a connection whose first read fails since the deadline has passed, even if bytes
// have arrived, as in a process that was not scheduled for a long time.
type timedOutReader struct {
	io.Reader
	read atomic.Bool
}

func (r *timedOutReader) Read(b []byte) (int, error) {
	if !r.read.Swap(true) {
		return 0, os.ErrDeadlineExceeded
	}
	return r.Reader.Read(b)
}

// A request that arrives at the moment of its connection's idle timeout is answered, and the
// connection is not closed.
func TestServer_AnswersRequestInTheInstantOfTheTimeout(t *testing.T) {
	client, server := newConnPair(t)
	c := newConn(server)
	c.from = &timedOutReader{Reader: server}
	sendHealthCheck(t, client, c)
	s := newIdleServer()
	s.mu.Lock()
	s.start(c, connIdle)
	s.mu.Unlock()
	_ = client.SetDeadline(time.Now().Add(waittest.Long))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v", resp, err)
	}
}

// The time that a request waits in the queue of the listening socket counts: its deadline is that of the client. The fault: it counted
// from when the request was read, and its notice came late.
func TestServer_CountsTimeInTheListenQueue(t *testing.T) {
	const waited = 300 * time.Millisecond
	s, _, admitted := newTestServer(t, 10)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dial(t, l.Addr().String())
	sent := time.Now()
	write(t, c, newRequest("m", "", "Content-Length: 0"))
	time.Sleep(waited)
	go func() { _ = s.Serve(l) }()
	submission := waittest.Receive(t, admitted)
	submission.Response <- frontend.Response{Status: http.StatusAccepted}
	if late := submission.ReceivedAt.Sub(sent); late > waited/3 || late < -waited/3 {
		t.Errorf("counts from %v after it was sent", late)
	}
}
