package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// lateReader is a connection that is read only once its deadline has been set: as where a process got no turn between the
// answer and the end of the call's time.
type lateReader struct {
	*net.TCPConn
	once sync.Once
	set  chan bool
}

func (c *lateReader) SetDeadline(t time.Time) error {
	err := c.TCPConn.SetDeadline(t)
	c.once.Do(func() { close(c.set) })
	return err
}

func (c *lateReader) Read(b []byte) (int, error) {
	<-c.set
	return c.TCPConn.Read(b)
}

// ending is the time of a call, which ends when the test says so.
type ending struct {
	context.Context
	done chan struct{}
	err  error
}

func (e *ending) Done() <-chan struct{} { return e.done }

func (e *ending) Err() error {
	select {
	case <-e.done:
		return e.err
	default:
		return nil
	}
}

// An answer that is there when the time of its call is up, or the call is called off, counts: it says that the message was
// delivered, or for how long to wait. Before, the call was taken for one without an answer, and the wait went unheard.
func TestAnswerInTheInstantOfTheEnd(t *testing.T) {
	const wait = "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 900\r\nContent-Length: 0\r\n\r\n"
	for _, tt := range []struct {
		name, text string
		want       upstream.Result
		timeUp     bool // in place of being called off
	}{
		{"delivered", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", upstream.Result{Outcome: policy.Succeeded, Final: true}, false},
		{"told to wait", wait, upstream.Result{Outcome: policy.Rejected, RetryAfter: 900 * time.Millisecond}, false},
		{"told to wait, time up", wait, upstream.Result{Outcome: policy.Rejected, RetryAfter: 900 * time.Millisecond}, true},
		// One may have come in time, and may not: the message's end is told, which does no harm to one that is over.
		{"200, time up", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", upstream.Result{Outcome: policy.TimedOut}, true},
		{"200 and no end, time up", "HTTP/1.1 200 OK\r\nContent-", upstream.Result{Outcome: policy.TimedOut}, true},
		{"delivered, and no end of it", "HTTP/1.1 200 OK\r\nContent-", upstream.Result{Outcome: policy.Succeeded, Final: true}, false},
		{"nothing", "", upstream.Result{Outcome: policy.Canceled}, false},
		{"nothing, time up", "", upstream.Result{Outcome: policy.TimedOut}, true},
		{"less than a first line", "HTTP/1.1 4", upstream.Result{Outcome: policy.Canceled}, false},
	} {
		written := make(chan bool)
		addr := rawHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := readCall(in); err == nil {
				_, _ = io.WriteString(c, tt.text)
				close(written)
				_, _ = in.ReadByte() // until the caller closes
			}
		})
		raw, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		p := testPool()
		r := testCall(addr)
		ctx := &ending{Context: t.Context(), done: make(chan struct{}), err: context.Canceled}
		if tt.timeUp {
			ctx.err = context.DeadlineExceeded
		}
		got := make(chan upstream.Result)
		go func() {
			p.count++
			got <- p.carry(ctx, ctx, newConn(&lateReader{TCPConn: raw.(*net.TCPConn), set: make(chan bool)}, &shelf{}), r, true)
		}()
		waittest.Receive(t, written)
		close(ctx.done)
		if res := waittest.Receive(t, got); res != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, res, tt.want)
		}
	}
}
