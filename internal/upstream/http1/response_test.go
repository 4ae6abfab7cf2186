package http1

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/policy"
)

func TestCall_ClassifiesResponses(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	afterRequest := func(do func(c net.Conn)) string {
		return serveEndpoint(t, func(c net.Conn) {
			if readRequest(bufio.NewReader(c)) == nil {
				do(c)
			}
		})
	}
	respond := func(text string) string { return serveEndpoint(t, respondWith(text)) }
	tests := []struct {
		name string
		addr string
		want upstream.Result
	}{
		{"delivered", respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"), upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{"an interim response first", respond("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse), upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{"error", respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.Failed}},
		{
			"rejected with a wait", respond("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 250\r\nContent-Length: 0\r\n\r\n"),
			upstream.Result{Outcome: policy.Rejected, RetryAfter: 250 * time.Millisecond},
		},
		// A wait must not be limited to the request's time left, or later requests are sent within
		// the wait.
		{
			"rejected with a long wait", respond("HTTP/1.1 429 No\r\nX-Retry-In-Ms: 3600000\r\nContent-Length: 0\r\n\r\n"),
			upstream.Result{Outcome: policy.Rejected, RetryAfter: time.Hour},
		},
		{"rejected", respond("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.Rejected}},
		{"no slot", respond("HTTP/1.1 503 No\r\nX-No-Slot: 1\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.NotSent}},
		{"attempts exhausted", respond("HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.NotSent, AttemptsExhausted: true}},
		{"already completed", respond("HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: policy.NotSent, Final: true}},
		{"connection refused", closed.Addr().String(), upstream.Result{Outcome: policy.ConnectError}},
		{"closed with no response", afterRequest(func(net.Conn) {}), upstream.Result{Outcome: policy.ConnectionReset}},
		{"reset", afterRequest(func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }), upstream.Result{Outcome: policy.ConnectionReset}},
		{"an endless head", afterRequest(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 503 No\r\n")
			for err == nil {
				_, err = io.WriteString(c, "X-More: and more\r\n")
			}
		}), upstream.Result{Outcome: policy.ConnectionReset}},
		{"an endless body", afterRequest(func(c net.Conn) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("more", 1000))
			}
		}), upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{"not HTTP", afterRequest(func(c net.Conn) { _, _ = io.WriteString(c, "what?\r\n\r\n") }), upstream.Result{Outcome: policy.ConnectionReset}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.want.NewConn = true
			if got := newTestPool().Call(t.Context(), newTestRequest(tt.addr)); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// A request with a malformed response counts as possibly executed, or as delivered if the status line
// says 200, and the connection carries no further request. What was read of it still forbids further
// attempts, or attempts within a wait. The faults: a truncated 503 counted as proof that the request
// was not executed, and a truncated 410 allowed another attempt.
func TestCall_MalformedResponses(t *testing.T) {
	ok, reset := upstream.Result{Outcome: policy.Succeeded, Final: true}, upstream.Result{Outcome: policy.ConnectionReset}
	ended := upstream.Result{Outcome: policy.ConnectionReset, AttemptsExhausted: true}
	const rejected, wait = "HTTP/1.1 503 No\r\n", "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 1e18\r\n"
	tests := []struct {
		name, text string
		want       upstream.Result
		reusable   bool
	}{
		{"unreadable head", rejected + "what?\x00\r\n\r\n", reset, false},
		{"Content-Length too long", rejected + "Content-Length: 9\r\n\r\nabc", reset, false},
		{
			"Content-Length too short", rejected + "Content-Length: 1\r\n\r\nabc",
			upstream.Result{Outcome: policy.Rejected, OutcomeUnknown: true},
			false,
		},
		{"Content-Length not a number", rejected + "Content-Length: x\r\n\r\n", reset, false},
		{"Content-Length of 3 GB", rejected + "Content-Length: 3000000000\r\n\r\nabc", reset, false},
		{"410, truncated", "HTTP/1.1 410 No\r\nContent-Length: 9\r\n\r\nabc", ended, false},
		{"410, truncated head", "HTTP/1.1 410 No\r\nA: b\r\n", ended, false},
		{"504, unreadable head", "HTTP/1.1 504 No\r\nwhat?\x00\r\n\r\n", ended, false},
		{
			"429, truncated", "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 250\r\nContent-Length: 9\r\n\r\nabc",
			upstream.Result{Outcome: policy.ConnectionReset, RetryAfter: 250 * time.Millisecond},
			false,
		},
		{"200, unreadable head", "HTTP/1.1 200 OK\r\nwhat?\x00\r\n\r\n", ok, false},
		{"200, Content-Length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", ok, false},
		{"200, truncated head", "HTTP/1.1 200 OK\r\nA: b\r\n", ok, false},
		{"status 2000", "HTTP/1.1 2000 OK\r\n\r\n", reset, false},
		{
			"200 twice", okResponse + okResponse,
			upstream.Result{Outcome: policy.Succeeded, Final: true, OutcomeUnknown: true},
			false,
		},
		{
			"interim responses and an absurd wait",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + wait + "Content-Length: 0\r\n\r\n",
			upstream.Result{Outcome: policy.Rejected, RetryAfter: maxRetryAfter},
			true,
		},
		{"endless interim responses", strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 100), reset, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool()
			tt.want.NewConn = true
			if got := p.Call(t.Context(), newTestRequest(serveEndpoint(t, respondWith(tt.text)))); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if p.size != 0 && !tt.reusable {
				t.Error("the connection is cached after a malformed response")
			}
		})
	}
}

func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string]*policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, RateLimit: 25}, "x1=3, x0=0": {RateLimit: 3}, "": nil, "x0=0.4": nil, "x0=NaN,x1=1": nil,
		"x0=-1,x1=2": nil, "x0=a,x1=2": nil, "x0=1;x1=2": nil,
		"x0=Inf,x1=1": nil, "x0=0.4,x1=1e300": nil, "x0=1e9,x1=1": nil, "x0=0.4,x0=0.5,x1=1": nil,
	} {
		t.Run(text, func(t *testing.T) {
			if got := parseLoadReport(text); (got == nil) != (want == nil) || got != nil && *got != *want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
