package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"frostlink/policy"
)

// A response whose head has more lines than a response may have is malformed, however short they are: its request may have executed.
// Lines of a body, and of the heads of interim responses, don't count.
func TestCall_BoundsLinesOfResponse(t *testing.T) {
	fields := func(n int) string {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "a%d:\r\n", i)
		}
		return text.String()
	}
	body := strings.Repeat("\n", 20<<10)
	for _, tt := range []struct {
		name, response string
		want           policy.Outcome
	}{
		{"few lines", "HTTP/1.1 500 Error\r\n" + fields(maxResponseLines-10) + "Content-Length: 0\r\n\r\n", policy.Failed},
		{"many lines", "HTTP/1.1 500 Error\r\n" + fields(5000) + "Content-Length: 0\r\n\r\n", policy.ConnectionReset},
		{"lines of a body", fmt.Sprintf("HTTP/1.1 500 Error\r\nContent-Length: %d\r\n\r\n%s", len(body), body), policy.Failed},
		{"an interim response and a body", fmt.Sprintf("HTTP/1.1 102 Wait\r\n%s\r\nHTTP/1.1 500 Error\r\n%sContent-Length: %d\r\n\r\n%s",
			fields(100), fields(100), len(body), body), policy.Failed},
		{"an interim response and many lines", "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 500 Error\r\n" + fields(5000) + "\r\n", policy.ConnectionReset},
		{"200 and many lines", "HTTP/1.1 200 OK\r\n" + fields(5000) + "\r\n", policy.Succeeded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr := serveEndpoint(t, respondWith(tt.response))
			if got := newTestPool().Call(t.Context(), newTestRequest(addr)); got.Outcome != tt.want {
				t.Errorf("outcome %v, want %v", got.Outcome, tt.want)
			}
		})
	}
}

// A request with a large body, which is written apart from its head, arrives complete.
func TestCall_WritesLargeBody(t *testing.T) {
	bodies := make(chan int64, 1)
	addr := serveEndpoint(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		bodies <- n
		_, _ = io.WriteString(c, okResponse)
	})
	r := newTestRequest(addr)
	r.Body = make([]byte, 64<<10)
	if got := newTestPool().Call(t.Context(), r); got.Outcome != policy.Succeeded || <-bodies != int64(len(r.Body)) {
		t.Errorf("%+v", got)
	}
}
