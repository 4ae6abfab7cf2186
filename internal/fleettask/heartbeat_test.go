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
)

// copyingMonitor accepts the first heartbeat and rejects the others. Before each response but the first on a connection it writes the
// response to the first heartbeat once more.
type copyingMonitor struct{ heartbeats atomic.Int32 }

func (m *copyingMonitor) serve(conn net.Conn) {
	defer conn.Close()
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	m := &copyingMonitor{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			go m.serve(conn)
		}
	}()
	h := newHeartbeat(&Heartbeat{URL: "http://" + listener.Addr().String()}, "relay-1")
	if err := h.post(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if err := h.post(t.Context(), 1); !errors.Is(err, ErrFenced) {
		t.Errorf("second heartbeat: %v, want a rejection", err)
	}
}
