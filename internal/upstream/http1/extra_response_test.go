package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// responseText returns a response without a body.
func responseText(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// copyingEndpoint responds to its first request with first and writes a copy of that response after copyDelay. To each later
// request it responds with second after serviceTime.
type copyingEndpoint struct {
	first, second int
	copyDelay     time.Duration
	serviceTime   time.Duration
	requests      atomic.Int32
}

func (e *copyingEndpoint) serve(c net.Conn) {
	for in := bufio.NewReader(c); ; {
		if err := readRequest(in); err != nil {
			return
		}
		if e.requests.Add(1) == 1 {
			_, _ = io.WriteString(c, responseText(e.first))
			time.AfterFunc(e.copyDelay, func() { _, _ = io.WriteString(c, responseText(e.first)) })
			continue
		}
		time.Sleep(e.serviceTime)
		_, _ = io.WriteString(c, responseText(e.second))
	}
}

// A copy of an earlier response that arrives while the next request is in flight is not taken for the response to that request:
// a copied 200 would lose a rejected request, and a copied 503 would send a request again that is being executed.
func TestCall_CopyOfEarlierResponseIsNotTakenForTheNext(t *testing.T) {
	outcomes := map[int]policy.Outcome{http.StatusOK: policy.Succeeded, http.StatusServiceUnavailable: policy.Rejected}
	for _, test := range []struct {
		name          string
		first, second int
		copyDelay     time.Duration
	}{
		{"200 for a rejected request", http.StatusOK, http.StatusServiceUnavailable, 20 * time.Millisecond},
		{"503 for an executed request", http.StatusServiceUnavailable, http.StatusOK, 20 * time.Millisecond},
		{"200, 60 ms late", http.StatusOK, http.StatusServiceUnavailable, 60 * time.Millisecond},
		{"200, 250 ms late", http.StatusOK, http.StatusServiceUnavailable, 250 * time.Millisecond},
		{"503, 250 ms late", http.StatusServiceUnavailable, http.StatusOK, 250 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			endpoint := &copyingEndpoint{first: test.first, second: test.second, copyDelay: test.copyDelay, serviceTime: 2*test.copyDelay + 100*time.Millisecond}
			addr := serveEndpoint(t, endpoint.serve)
			p := newTestPool()
			for i, want := range []policy.Outcome{outcomes[test.first], outcomes[test.second]} {
				if got := p.Call(t.Context(), newTestRequest(addr)); got.Outcome != want {
					t.Errorf("request %d: outcome %v, want %v", i+1, got.Outcome, want)
				}
			}
		})
	}
}

// After a copy, no later request gets the response to the request before it.
func TestCall_CopyDoesNotShiftLaterResponses(t *testing.T) {
	statuses := []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusOK, http.StatusServiceUnavailable, http.StatusOK}
	var requests atomic.Int32
	addr := serveEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if err := readRequest(in); err != nil {
				return
			}
			n := int(requests.Add(1))
			if n > len(statuses) {
				return
			}
			if n == 1 {
				time.AfterFunc(30*time.Millisecond, func() { _, _ = io.WriteString(c, responseText(statuses[0])) })
			} else {
				time.Sleep(80 * time.Millisecond)
			}
			_, _ = io.WriteString(c, responseText(statuses[n-1]))
		}
	})
	p := newTestPool()
	for i, status := range statuses {
		want := policy.Succeeded
		if status != http.StatusOK {
			want = policy.Rejected
		}
		if got := p.Call(t.Context(), newTestRequest(addr)); got.Outcome != want {
			t.Errorf("request %d: outcome %v, want %v", i+1, got.Outcome, want)
		}
	}
}

// A copy that arrives on an idle connection closes the connection, and the next request uses another one.
func TestCall_CopyOnIdleConnectionClosesIt(t *testing.T) {
	endpoint := &copyingEndpoint{first: http.StatusOK, second: http.StatusServiceUnavailable, copyDelay: time.Millisecond}
	addr := serveEndpoint(t, endpoint.serve)
	p := newTestPool()
	request := newTestRequest(addr)
	if got := p.Call(t.Context(), request); got.Outcome != policy.Succeeded {
		t.Fatalf("first request: outcome %v", got.Outcome)
	}
	waittest.Until(t, func() bool { return p.hasUnreadIdle(request.Target) })
	if got := p.Call(t.Context(), request); got.Outcome != policy.Rejected || !got.NewConn {
		t.Errorf("second request: %+v, want a rejection on a new connection", got)
	}
}

// hasUnreadIdle reports whether an idle connection to a target has unread bytes, or none is left.
func (p *Pool) hasUnreadIdle(target upstream.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleSetOf(target).conns {
		if !c.hasUnread() {
			return false
		}
	}
	return true
}

// earlyEndpoint responds 200 to the first request on a connection. When the second arrives, it writes early at once, as a copy that
// has crossed the request would arrive, and true after a while.
func earlyEndpoint(early, own int) func(net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		for n := 1; readRequest(in) == nil; n++ {
			if n == 1 {
				_, _ = io.WriteString(c, responseText(http.StatusOK))
				continue
			}
			_, _ = io.WriteString(c, responseText(early))
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, responseText(own))
		}
	}
}

// A response that comes sooner than the network allows does not count if another one follows that means something else: the request
// may have executed, or not. The response counts for the destination at once, since an endpoint's wait begins when it is written.
func TestCall_EarlyResponseIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name       string
		early, own int
		retryable  bool
		outcome    policy.Outcome
		unknown    bool
		exhausted  bool // no further attempt is allowed
		reported   int  // calls of OnUnconfirmed
	}{
		{"delivery, then a rejection", http.StatusOK, http.StatusServiceUnavailable, true, policy.ConnectionReset, true, true, 1},
		{"rejection, then a delivery", http.StatusServiceUnavailable, http.StatusOK, false, policy.Rejected, true, true, 1},
		{"rejection of a retryable request, then a delivery", http.StatusServiceUnavailable, http.StatusOK, true, policy.Rejected, true, true, 1},
		{"rejection, then an error", http.StatusServiceUnavailable, http.StatusInternalServerError, true, policy.Rejected, true, false, 1},
		{"rejection, then a withdrawal", http.StatusServiceUnavailable, http.StatusGone, true, policy.Rejected, true, true, 1},
		{"rejection, then attempts exhausted", http.StatusServiceUnavailable, http.StatusGatewayTimeout, true, policy.Rejected, true, true, 1},
		{"withdrawal, then a delivery", http.StatusGone, http.StatusOK, true, policy.NotSent, true, true, 0},
		{"attempts exhausted, then a rejection", http.StatusGatewayTimeout, http.StatusServiceUnavailable, true, policy.NotSent, true, true, 0},
		{"two deliveries", http.StatusOK, http.StatusOK, true, policy.Succeeded, false, false, 1},
		{"two rejections", http.StatusServiceUnavailable, http.StatusServiceUnavailable, false, policy.Rejected, false, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			addr := serveEndpoint(t, earlyEndpoint(test.early, test.own))
			p := newTestPool()
			p.Call(t.Context(), newTestRequest(addr))
			p.restIdleConns()
			p.learnLatency(40 * time.Millisecond)
			request := newTestRequest(addr)
			request.Retryable = test.retryable
			reported := 0
			request.OnUnconfirmed = func(upstream.Result) { reported++ }
			got := p.Call(t.Context(), request)
			if got.NewConn || got.Outcome != test.outcome || got.OutcomeUnknown != test.unknown || got.AttemptsExhausted != test.exhausted || reported != test.reported {
				t.Errorf("%+v, reported %d times; want outcome %v, unknown %v, exhausted %v, reported %d times",
					got, reported, test.outcome, test.unknown, test.exhausted, test.reported)
			}
			if p.size != 0 {
				t.Errorf("%d connections cached, want none", p.size)
			}
		})
	}
}

// onSecondRequest returns an endpoint that delivers the first request on a connection, and answers the second one with answer.
func onSecondRequest(answer func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		if readRequest(in) != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(http.StatusOK))
		if readRequest(in) == nil {
			answer(c)
		}
	}
}

// The wait that a rejection asks for counts although an early rejection without one has come before it.
func TestCall_WaitOfFollowingResponseCounts(t *testing.T) {
	addr := serveEndpoint(t, onSecondRequest(func(c net.Conn) {
		_, _ = io.WriteString(c, responseText(http.StatusServiceUnavailable))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 700\r\nContent-Length: 0\r\n\r\n")
	}))
	p := newTestPool()
	p.Call(t.Context(), newTestRequest(addr))
	p.restIdleConns()
	p.learnLatency(time.Second)
	if got := p.Call(t.Context(), newTestRequest(addr)); got.NewConn || got.Outcome != policy.Rejected || got.RetryAfter != 700*time.Millisecond {
		t.Errorf("%+v, want a rejection with a wait of 700 ms", got)
	}
}

// A response that ends the attempts of a request counts although the request could not be written to its end.
func TestCall_ResponseBeforeRequestIsWrittenEndsAttempts(t *testing.T) {
	for _, status := range []int{http.StatusGone, http.StatusGatewayTimeout, http.StatusServiceUnavailable} {
		addr := serveEndpoint(t, func(c net.Conn) {
			_, _ = io.ReadFull(c, make([]byte, 1))
			_, _ = io.WriteString(c, responseText(status))
			time.Sleep(50 * time.Millisecond)
		})
		request := newTestRequest(addr)
		request.Body = make([]byte, 32<<20) // more than the sockets' buffers hold
		got := newTestPool().Call(t.Context(), request)
		if got.Outcome != policy.ConnectError || got.AttemptsExhausted != (status != http.StatusServiceUnavailable) {
			t.Errorf("status %d: %+v, want a request that was not written, and no further attempt after a 410 or 504", status, got)
		}
	}
}

// An early response that nothing follows counts, and its connection is used again.
func TestCall_EarlyResponseCountsIfNothingFollows(t *testing.T) {
	addr := serveEndpoint(t, respondWith(okResponse))
	p := newTestPool()
	p.Call(t.Context(), newTestRequest(addr))
	p.restIdleConns()
	p.learnLatency(40 * time.Millisecond)
	got := p.Call(t.Context(), newTestRequest(addr))
	if got.Outcome != policy.Succeeded || got.NewConn || got.Unconfirmed == 0 || p.size != 1 {
		t.Errorf("%+v, %d connections cached; want a delivery that stayed unconfirmed, on the first connection", got, p.size)
	}
}

// An extra response on a connection that had rested quietly makes the endpoint distrusted: its connections carry one request each.
func TestPool_LateExtraResponseEndsReuse(t *testing.T) {
	conns := make(chan net.Conn, 4)
	addr := serveEndpoint(t, func(c net.Conn) {
		conns <- c
		respondWith(okResponse)(c)
	})
	p := newTestPool()
	var signs []ExtraResponse
	p.OnExtraResponse = func(e ExtraResponse) { signs = append(signs, e) }
	request := newTestRequest(addr)
	p.Call(t.Context(), request)
	p.restIdleConns()
	p.Sweep() // sees that the connection is quiet
	if _, err := io.WriteString(waittest.Receive(t, conns), okResponse); err != nil {
		t.Fatal(err)
	}
	waittest.Until(t, func() bool { return p.hasUnreadIdle(request.Target) })
	for i := range 3 {
		if got := p.Call(t.Context(), request); got.Outcome != policy.Succeeded || !got.NewConn {
			t.Errorf("request %d after the extra response: %+v, want a new connection", i+1, got)
		}
	}
	if len(signs) != 1 || signs[0] != (ExtraResponse{Target: request.Target, Sign: ExtraOnIdleConn, Total: 1}) || p.size != 0 {
		t.Errorf("extra responses %+v, %d connections cached; want one on an idle connection, and none", signs, p.size)
	}
}

// A delivery that comes early, on a connection that is reset before it is confirmed, may be a copy: the request may have executed, and
// most likely was delivered. A rejection in its place says nothing.
func TestCall_ResetLeavesEarlyDeliveryInDoubt(t *testing.T) {
	for status, likely := range map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: false} {
		addr := serveEndpoint(t, onSecondRequest(func(c net.Conn) {
			_, _ = io.WriteString(c, responseText(status))
			time.Sleep(50 * time.Millisecond) // so that the relay reads the response before the reset
			resetConn(t, c)
		}))
		p := newTestPool()
		p.Call(t.Context(), newTestRequest(addr))
		p.restIdleConns()
		p.learnLatency(time.Second)
		res := p.Call(t.Context(), newTestRequest(addr))
		if res.NewConn || res.Final || res.Doubt != upstream.DoubtConnFailed || !res.OutcomeUnknown || res.LikelyDelivered != likely || res.AttemptsExhausted != likely {
			t.Errorf("status %d, then a reset: %+v; want a response in doubt, and a likely delivery: %v", status, res, likely)
		}
	}
}

// resetConn closes a connection with a reset.
func resetConn(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	_ = c.Close()
}

// What follows an early response and can't be the response to a request that the endpoint has in hand does not refute it. What can't be
// read may have been such a response: an early delivery is likely then.
func TestCall_OtherBytesAfterEarlyResponse(t *testing.T) {
	const interim, timeout = "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name    string
		early   int
		next    string
		outcome policy.Outcome
		unknown bool
		likely  bool
	}{
		{"interim after a delivery", http.StatusOK, interim, policy.Succeeded, false, false},
		{"interim after a rejection", http.StatusServiceUnavailable, interim, policy.Rejected, false, false},
		{"408 after a delivery", http.StatusOK, timeout, policy.Succeeded, false, false},
		{"interim, then a rejection, after a delivery", http.StatusOK, interim + responseText(http.StatusServiceUnavailable), policy.ConnectionReset, true, false},
		{"half a delivery after a delivery", http.StatusOK, "HTTP/1.1 200 OK\r\nCont", policy.Succeeded, false, false},
		{"noise after a delivery", http.StatusOK, "\x16\x03\x01 no response\r\n", policy.ConnectionReset, true, true},
		{"noise after a rejection", http.StatusServiceUnavailable, "\x16\x03\x01 no response\r\n", policy.Rejected, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			addr := serveEndpoint(t, onSecondRequest(func(c net.Conn) {
				_, _ = io.WriteString(c, responseText(test.early))
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(c, test.next)
				_, _ = io.Copy(io.Discard, c) // until the relay closes
			}))
			p := newTestPool()
			p.Call(t.Context(), newTestRequest(addr))
			p.restIdleConns()
			p.learnLatency(time.Second)
			res := p.Call(t.Context(), newTestRequest(addr))
			if res.NewConn || res.Outcome != test.outcome || res.OutcomeUnknown != test.unknown || res.LikelyDelivered != test.likely {
				t.Errorf("%+v; want outcome %v, unknown %v, likely delivered %v", res, test.outcome, test.unknown, test.likely)
			}
			if p.size != 0 {
				t.Errorf("%d connections cached, want none", p.size)
			}
		})
	}
}

// A response that ends the attempts of a request counts although it arrives in one read with a rejection before it.
func TestCall_EndReadTogetherWithRejectionEndsAttempts(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusGone, http.StatusGatewayTimeout} {
		addr := serveEndpoint(t, respondWith(responseText(http.StatusServiceUnavailable)+responseText(status)))
		if got := newTestPool().Call(t.Context(), newTestRequest(addr)); !got.AttemptsExhausted {
			t.Errorf("a 503 and a %d in one read: %+v, want no further attempt", status, got)
		}
	}
}
