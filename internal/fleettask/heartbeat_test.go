package fleettask

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"frostlink/internal/socket/sockettest"
)

// copyingMonitor accepts the first heartbeat and rejects the others. Before each response but the first on a connection it writes the
// response to the first heartbeat once more.
type copyingMonitor struct{ heartbeats atomic.Int32 }

func (m *copyingMonitor) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for onConn := 1; ; onConn++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if onConn > 1 {
			writeStatus(conn, http.StatusOK)
		}
		if m.heartbeats.Add(1) == 1 {
			writeStatus(conn, http.StatusOK)
		} else {
			writeStatus(conn, http.StatusConflict)
		}
	}
}

func writeStatus(conn net.Conn, status int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// A copy of the response to an earlier heartbeat does not hide that the monitor rejects the token of a later one.
func TestHeartbeat_CopiedResponseDoesNotHideRejection(t *testing.T) {
	m := &copyingMonitor{}
	address := sockettest.Serve(t, "tcp", sockettest.Loopback, m.serve)
	h := newHeartbeat(&Heartbeat{URL: "http://" + address}, "relay-1")
	if err := h.post(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if err := h.post(t.Context(), 1); !errors.Is(err, ErrFenced) {
		t.Errorf("second heartbeat: %v, want a rejection", err)
	}
}
