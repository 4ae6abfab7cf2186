package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

func TestCall_WritesRequest(t *testing.T) {
	heads := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	addr := serveEndpoint(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		b, _ := io.ReadAll(r.Body)
		heads <- r
		bodies <- string(b)
	})
	request := newTestRequest(addr)
	request.Timeout = 90 * time.Second
	newTestPool().Call(t.Context(), request)
	r := <-heads
	if r.Method != "POST" || r.URL.Path != "/inbox" || r.Header.Get("Request-Id") != "m1" ||
		r.Header.Get("Idempotency-Key") != "k1" || r.ContentLength != 3 {
		t.Errorf("head: %v %v %v", r.Method, r.URL, r.Header)
	}
	if !strings.HasPrefix(r.Header.Get("Request-Timeout"), "8") && r.Header.Get("Request-Timeout") != "90.000" {
		t.Errorf("Request-Timeout %q", r.Header.Get("Request-Timeout"))
	}
	if b := <-bodies; b != "a\x00b" {
		t.Errorf("body %q", b)
	}
}

// When Call returns for an attempt that timed out or was canceled, its connection is closed: the
// endpoint reads the end of the connection.
func TestCall_EndedAttemptIsOffTheWire(t *testing.T) {
	for name, want := range map[string]policy.Outcome{"timed out": policy.TimedOut, "canceled": policy.Canceled} {
		t.Run(name, func(t *testing.T) {
			began, ended := make(chan bool, 1), make(chan error, 1)
			addr := serveEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if err := readRequest(in); err != nil {
					return
				}
				began <- true
				_, err := in.ReadByte()
				ended <- err
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			request := newTestRequest(addr)
			if want == policy.Canceled {
				go func() {
					<-began
					cancel()
				}()
			} else {
				request.Timeout = 50 * time.Millisecond
			}
			if got := newTestPool().Call(ctx, request); got.Outcome != want {
				t.Errorf("outcome %v, want %v", got.Outcome, want)
			}
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the endpoint read another byte, want the end of the connection")
				}
			case <-time.After(waittest.Long):
				t.Error("the connection is still open")
			}
		})
	}
}

// A request whose WriteBy passes before or during the dial is not written, so that it is not
// executed. Later requests share one connection, which the dial may have established.
func TestCall_NotWrittenAfterWriteBy(t *testing.T) {
	var requests, usedConns atomic.Int32
	addr := serveEndpoint(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for first := true; ; first = false {
			if err := readRequest(in); err != nil {
				return
			}
			if first {
				usedConns.Add(1)
			}
			requests.Add(1)
			_, _ = io.WriteString(c, okResponse)
		}
	})
	p := newUnhedgedPool()
	notSent := upstream.Result{Outcome: policy.NotSent, NewConn: true}
	slow := newTestRequest(addr)
	slow.WriteBy = time.Now().Add(20 * time.Millisecond)
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done() // as on a broken link
		return ctx.Err()
	}
	if got := p.Call(t.Context(), slow); got != notSent {
		t.Errorf("no connection in time: %+v", got)
	}
	p.awaitDials(t)
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		time.Sleep(time.Until(slow.WriteBy)) // established only after WriteBy
		return nil
	}
	late := newTestRequest(addr)
	late.WriteBy = slow.WriteBy
	if got := p.Call(t.Context(), late); got.Outcome != policy.NotSent || !got.NotExecuted() {
		t.Errorf("written too late: %+v", got)
	}
	p.awaitDials(t)
	p.dialer.ControlContext = nil
	inTime := newTestRequest(addr)
	inTime.WriteBy = time.Now().Add(time.Minute)
	for _, r := range []upstream.Request{inTime, newTestRequest(addr)} {
		p.restIdleConns()
		if got := p.Call(t.Context(), r); got.Outcome != policy.Succeeded {
			t.Errorf("in time: %+v", got)
		}
	}
	if r := p.exchange(t.Context(), t.Context(), p.idle[late.Target].conns[0], late, connWriting); r.Outcome != policy.NotSent {
		t.Errorf("on a connection that was established: %+v", r)
	}
	if requests.Load() != 2 || usedConns.Load() != 1 || p.size != 1 {
		t.Errorf("%d requests written on %d connections, want 2 on 1; %d connections cached, want 1", requests.Load(), usedConns.Load(), p.size)
	}
}

// A request of which a part is still to be written when WriteBy passes is not written completely, so that it is not executed.
func TestCall_PartOfRequestIsNotExecuted(t *testing.T) {
	executed := make(chan bool, 1)
	writeByPassed := make(chan struct{})
	addr := serveEndpoint(t, func(c net.Conn) {
		<-writeByPassed // the window is full: the rest of the request can be written only now
		executed <- readRequest(bufio.NewReader(c)) == nil
	})
	r := newTestRequest(addr)
	r.Body = make([]byte, 64<<20) // more than the sockets buffer
	r.WriteBy = time.Now().Add(100 * time.Millisecond)
	time.AfterFunc(time.Until(r.WriteBy), func() { close(writeByPassed) })
	got := newTestPool().Call(t.Context(), r)
	if complete := <-executed; complete || !got.NotExecuted() {
		t.Errorf("%+v, written completely: %v", got, complete)
	}
	if late := time.Since(r.WriteBy); late < 0 {
		t.Errorf("the attempt ended %v before WriteBy", -late)
	}
}

// A request that is canceled during the dial is not written, and the connection is cached. A request
// that is canceled after it was written is not interrupted.
func TestCall_CancelBeforeSend(t *testing.T) {
	var requests atomic.Int32
	var canceled atomic.Bool
	addr := serveEndpoint(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if err := readRequest(in); err != nil {
				return
			}
			requests.Add(1)
			canceled.Store(true) // as when another response asks for a wait
			_, _ = io.WriteString(c, okResponse)
		}
	})
	p := newUnhedgedPool()
	r := newTestRequest(addr)
	r.CancelBeforeSend = &canceled
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		canceled.Store(true)
		return nil
	}
	if got := p.Call(t.Context(), r); got.Outcome != policy.NotSent || !got.NotExecuted() || requests.Load() != 0 || p.size != 1 {
		t.Errorf("canceled before it was written: %+v, %d requests written, %d connections cached", got, requests.Load(), p.size)
	}
	canceled.Store(false)
	if got := p.Call(t.Context(), r); got.Outcome != policy.Succeeded || got.NewConn || requests.Load() != 1 {
		t.Errorf("canceled after it was written: %+v, %d requests written", got, requests.Load())
	}
}
