package api

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

	"frostlink/internal/socket/sockettest"
	"frostlink/internal/wait/waittest"
)

// settleTime lets the caller cache the connection of a call before the next one.
const settleTime = 20 * time.Millisecond

// leaderText returns a member's response that names a leader.
func leaderText(id int) string {
	body := fmt.Sprintf(`{"leader":%d}`, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A copy of the response to one call is not taken for the response to the next: a lease would count as granted that is not.
func TestCaller_CopiedResponseDoesNotAnswerTheNextCall(t *testing.T) {
	calls := make(chan int, 2)
	calls <- 1
	calls <- 2
	address := sockettest.Serve(t, "tcp", sockettest.Loopback, func(c net.Conn) { serveWithCopies(c, calls) })
	caller := NewCaller("c")
	caller.HTTPClient.Timeout = waittest.Long
	for call := uint64(1); call <= 2; call++ {
		response, err := caller.Post(t.Context(), address, PathRead, Request{})
		if err != nil || response.Leader != call {
			t.Errorf("call %d: response %+v, err %v, want that of call %d", call, response, err, call)
		}
		time.Sleep(settleTime)
	}
}

// serveWithCopies responds to each request with the number of its call. Before each response but a connection's first, it writes
// a copy of the response before it.
func serveWithCopies(c net.Conn, calls <-chan int) {
	last := ""
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := leaderText(<-calls)
		if _, err := io.WriteString(c, last+text); err != nil {
			return
		}
		last = text
	}
}

// A reply that exceeds the caller's bounds is an error, whatever it says.
func TestCaller_RejectsReplyBeyondBounds(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		tooLarge   bool
	}{
		{"at the bound", `{"leases":[{},{}]}`, false},
		{"too many objects", `{"leases":[{},{},{}]}`, true},
		{"too long", `{"error":"` + strings.Repeat("x", 100) + `"}`, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address := sockettest.Serve(t, "tcp", sockettest.Loopback, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(tt.body), tt.body)
				}
			})
			caller := NewCaller("c")
			caller.HTTPClient.Timeout = waittest.Long
			caller.MaxReplySize, caller.MaxReplyObjects = 100, 3
			if _, err := caller.Post(t.Context(), address, PathRead, Request{}); errors.Is(err, ErrReplyTooLarge) != tt.tooLarge {
				t.Errorf("err %v, want ErrReplyTooLarge: %v", err, tt.tooLarge)
			}
		})
	}
}
