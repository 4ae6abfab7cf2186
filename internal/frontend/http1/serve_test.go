package http1

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

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
