package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// A request that cannot be read, or whose end is ambiguous, gets a 4xx response and a close (or only
// a close). It is not submitted, and nothing after it is read as a request. The faults: a request
// hidden in the body of another one with both a Content-Length and a Transfer-Encoding was
// forwarded, and so was a request after a Content-Length that was too short.
func TestServer_RejectsMalformedRequests(t *testing.T) {
	hidden := newRequest("hidden", "", "Content-Length: 0")
	tests := []struct {
		name, text string
		want       []int // 0 for a close without a response
	}{
		{"Content-Length and Transfer-Encoding", newRequest("m", "0\r\n\r\n"+hidden, "Content-Length: 4", "Transfer-Encoding: chunked"), []int{400}},
		{"Transfer-Encoding", newRequest("m", "1\r\nx\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), []int{400}},
		{"unknown Transfer-Encoding", newRequest("m", "", "Transfer-Encoding: xchunked", "Content-Length: 0"), []int{400}},
		{"HTTP/1.0 with both", strings.Replace(newRequest("m", "0\r\n\r\n", "Content-Length: 5", "Transfer-Encoding: chunked"),
			"HTTP/1.1", "HTTP/1.0", 1), []int{400}},
		{"Content-Length too short", newRequest("m", "0123456789", "Content-Length: 4"), []int{400}},
		{"pipelined request", newRequest("m", hidden, "Content-Length: 0"), []int{400}},
		{"no Content-Length", newRequest("m", ""), []int{411}},
		{"negative Content-Length", newRequest("m", "", "Content-Length: -5"), []int{400}},
		{"Content-Length not a number", newRequest("m", "", "Content-Length: ten"), []int{400}},
		{"two Content-Lengths", newRequest("m", "abcd", "Content-Length: 4", "Content-Length: 2"), []int{400}},
		{"Content-Length too large", newRequest("m", "abcd", "Content-Length: 60000000"), []int{413}},
		{"absurd Content-Length", newRequest("m", "abcd", "Content-Length: 99999999999999999999"), []int{400}},
		{"endless head", "POST /status HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxHeadSize), []int{431, 0}},
		{"not HTTP", "what is this?\r\n\r\n", []int{400}},
		{"no Host", strings.Replace(newRequest("m", "", "Content-Length: 0"), "Host: x\r\n", "", 1), []int{400}},
		{"two ids", newRequest("m", "", "Content-Length: 0", "Request-Id: n"), []int{400}},
		{"id not UTF-8", newRequest("\xff\xfe", "", "Content-Length: 0"), []int{400}},
		{"key not UTF-8", newRequest("m", "", "Content-Length: 0", "Idempotency-Key: k\xffk"), []int{400}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, addr, admitted := newTestServer(t, 10)
			c := dial(t, addr)
			go func() { _, _ = io.WriteString(c, tt.text) }()
			in := bufio.NewReader(c)
			got := 0
			if resp, err := http.ReadResponse(in, nil); err == nil {
				got = resp.StatusCode
				if _, err := in.ReadByte(); err == nil || errors.Is(err, net.ErrClosed) {
					t.Error("more than one response")
				}
			}
			if !slices.Contains(tt.want, got) {
				t.Errorf("status %d, want %v", got, tt.want)
			}
			select {
			case submission := <-admitted:
				// The relay rejects an admitted submission if more bytes have arrived after the request.
				if quiet, _ := submission.Quiet(); quiet {
					t.Error("malformed request was admitted")
				}
			default:
			}
		})
	}
}

// The response to a body that is far too large arrives although the client continues to send.
func TestServer_RejectsHugeBodyWhileItIsSent(t *testing.T) {
	_, addr, _ := newTestServer(t, 10)
	c := dial(t, addr)
	go func() {
		_, _ = io.WriteString(c, newRequest("m", "", "Content-Length: 60000000"))
		for {
			if _, err := c.Write(make([]byte, 32<<10)); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("response %v, %v", resp, err)
	}
}
