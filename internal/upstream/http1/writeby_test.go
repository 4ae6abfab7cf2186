package http1

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/policy"
)

// A request whose last moment passes while its connection is made, or has passed, is not written: it never ran. The connection
// carries the next one.
func TestNotWrittenTooLate(t *testing.T) {
	var calls atomic.Int32
	addr := rawHost(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if _, err := readCall(in); err != nil {
				return
			}
			calls.Add(1)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	p := testPool()
	unwritten := upstream.Result{Outcome: policy.NotSent, NewConn: true}
	slow := testCall(addr)
	slow.WriteBy = time.Now().Add(20 * time.Millisecond)
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done() // as a link that is cut
		return ctx.Err()
	}
	if got := p.Call(t.Context(), slow); got != unwritten {
		t.Errorf("no connection in time: %+v", got)
	}
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		time.Sleep(time.Until(slow.WriteBy)) // it comes up, but late
		return nil
	}
	late := testCall(addr)
	late.WriteBy = slow.WriteBy
	if got := p.Call(t.Context(), late); got.Outcome != policy.NotSent || !got.NotExecuted() {
		t.Errorf("written too late: %+v", got)
	}
	p.dialer.ControlContext = nil
	inTime := testCall(addr)
	inTime.WriteBy = time.Now().Add(time.Minute)
	for _, r := range []upstream.Request{inTime, testCall(addr)} {
		if got := p.Call(t.Context(), r); got.Outcome != policy.Succeeded {
			t.Errorf("in time: %+v", got)
		}
	}
	if r, _ := p.exchange(t.Context(), t.Context(), p.idle[late.Target].conns[0], late, true); r.Outcome != policy.NotSent {
		t.Errorf("on a connection that stood: %+v", r)
	}
	if calls.Load() != 2 || p.count != 1 {
		t.Errorf("%d calls were written, and %d connections are kept", calls.Load(), p.count)
	}
}

// A request that is taken back while its connection is made is not written, and the connection is kept; one whose answer is waited
// for goes on.
func TestTakenBackBeforeItLeft(t *testing.T) {
	var calls atomic.Int32
	var back atomic.Bool
	addr := rawHost(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			if _, err := readCall(in); err != nil {
				return
			}
			calls.Add(1)
			back.Store(true) // as a wait that is told on another connection
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	p := testPool()
	r := testCall(addr)
	r.CancelBeforeSend = &back
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		back.Store(true)
		return nil
	}
	if got := p.Call(t.Context(), r); got.Outcome != policy.NotSent || !got.NotExecuted() || calls.Load() != 0 || p.count != 1 {
		t.Errorf("taken back: %+v, %d calls written, %d connections kept", got, calls.Load(), p.count)
	}
	back.Store(false)
	if got := p.Call(t.Context(), r); got.Outcome != policy.Succeeded || got.NewConn || calls.Load() != 1 {
		t.Errorf("taken back after it left: %+v, %d calls written", got, calls.Load())
	}
}
