package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// givenUp is a connection that tells, once it is watched, when it is read for longer than its call lasts.
type givenUp struct {
	*net.TCPConn
	watched atomic.Bool
	longer  chan bool
}

func (c *givenUp) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.watched.Load() {
		select {
		case c.longer <- true:
		default: // it has told
		}
	}
	return err
}

// A refusal is on its way when its call is given up: the host writes it once the call has been, as over a network that takes a
// while. It is heard all the same, within the grace, and where the message's time is up its end is told meanwhile. Before, the
// connection was closed at once, and the next call went in a wait that had been told.
func TestRefusalOnItsWay(t *testing.T) {
	const (
		wait = "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 900\r\nContent-Length: 0\r\n\r\n"
		ok   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	)
	turned := upstream.Result{Outcome: policy.Rejected, RetryAfter: 900 * time.Millisecond}
	timedOut := upstream.Result{Outcome: policy.TimedOut}
	for _, tt := range []struct {
		name, text string
		err        error // why the call is given up
		over       bool  // its message's time is up as well
		grace      time.Duration
		want       upstream.Result
	}{
		{"called off, told to wait", wait, context.Canceled, false, waittest.Long, turned},
		{"timed out, told to wait", wait, context.DeadlineExceeded, false, waittest.Long, turned},
		{"timed out, delivered", ok, context.DeadlineExceeded, false, waittest.Long, upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{"time up, told to wait", wait, context.DeadlineExceeded, true, waittest.Long, turned},
		{"time up, 200", ok, context.DeadlineExceeded, true, waittest.Long, timedOut},
		{"timed out, nothing", "", context.DeadlineExceeded, false, time.Millisecond, timedOut},
		{"called off, nothing", "", context.Canceled, false, time.Millisecond, upstream.Result{Outcome: policy.Canceled}},
	} {
		read, up, closed := make(chan bool), make(chan bool, 1), make(chan bool)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := readCall(in); err != nil {
				return
			}
			close(read)
			waittest.Receive(t, up)
			_, _ = io.WriteString(c, tt.text)
			_, _ = in.ReadByte() // until the caller closes
			close(closed)
		})
		raw, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		p := testPool()
		ctx := &ending{Context: t.Context(), done: make(chan struct{}), err: tt.err}
		whole := context.Context(t.Context())
		if tt.over {
			whole = ctx
		}
		told := make(chan bool, 1)
		r := testCall(addr)
		r.OnDeadline = func() { told <- true }
		r.Deadline = time.Now().Add(waittest.Long) // that it is up the context says
		given := &givenUp{TCPConn: raw.(*net.TCPConn), longer: make(chan bool, 1)}
		c := newConn(given, &shelf{})
		c.grace = tt.grace
		got := make(chan upstream.Result, 1)
		go func() {
			p.count++
			got <- p.carry(whole, ctx, c, r, true)
		}()
		waittest.Receive(t, read)
		given.watched.Store(true)
		close(ctx.done)
		var res upstream.Result
		select {
		case <-given.longer:
			if tt.over {
				waittest.Receive(t, told)
			}
			up <- true
			res = waittest.Receive(t, got)
		case res = <-got: // it is not
			up <- true
		}
		if res != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, res, tt.want)
		}
		if len(told) > 0 {
			t.Errorf("%s: told that the message's time is up", tt.name)
		}
		if tt.text == "" {
			waittest.Receive(t, closed)
		}
	}
}

// A call is listened to for the grace, but no longer than leastGrace past its message's time, and not past it at all where nobody is
// told of that.
func TestGraceEnds(t *testing.T) {
	for _, tt := range []struct {
		name        string
		grace, left time.Duration // of the call, and of its message's time as it is written
		told        bool
		want        time.Duration // until when, from the writing on
	}{
		{"time left", mostGrace, time.Hour, true, mostGrace},
		{"time up in the grace", mostGrace, 10 * time.Millisecond, true, 10*time.Millisecond + leastGrace},
		{"nobody is told", mostGrace, 10 * time.Millisecond, false, 10 * time.Millisecond},
	} {
		before := time.Now()
		r := upstream.Request{Deadline: before.Add(tt.left)}
		if tt.told {
			r.OnDeadline = func() {}
		}
		c := &conn{grace: tt.grace}
		c.writing(&r)
		if c.until.Before(before.Add(tt.want)) || c.until.After(time.Now().Add(tt.want)) {
			t.Errorf("%s: until %v after the writing, want %v", tt.name, c.until.Sub(before), tt.want)
		}
	}
}
