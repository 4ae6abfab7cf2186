package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/upstream"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

const rejectedResponse = "HTTP/1.1 429 No\r\nX-Retry-In-Ms: 900\r\nContent-Length: 0\r\n\r\n"

// lateReader is a connection whose reads wait until a deadline has been set, as in a process that is
// not scheduled between the arrival of the response and the end of the attempt.
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

// manualContext is a context that ends with err when the test closes done.
type manualContext struct {
	context.Context
	done chan struct{}
	err  error
}

func newManualContext(t *testing.T, err error) *manualContext {
	t.Helper()
	return &manualContext{Context: t.Context(), done: make(chan struct{}), err: err}
}

func (c *manualContext) Done() <-chan struct{} { return c.done }

func (c *manualContext) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// A response that has arrived when the attempt times out or is canceled counts, since it may confirm
// the delivery or ask for a wait. The fault: the attempt counted as one without a response, and the
// wait was missed.
func TestRunAttempt_ResponseInTheInstantOfTheEnd(t *testing.T) {
	rejected := upstream.Result{Outcome: policy.Rejected, RetryAfter: 900 * time.Millisecond}
	for _, tt := range []struct {
		name, text string
		want       upstream.Result
		deadline   bool // the attempt ends by its deadline, and not by being canceled
	}{
		{"canceled, 200", okResponse, upstream.Result{Outcome: policy.Succeeded, Final: true}, false},
		{"canceled, 429", rejectedResponse, rejected, false},
		{"deadline, 429", rejectedResponse, rejected, true},
		// It is unknown whether the 200 arrived before the deadline. The notice reports a timeout,
		// which does no harm if the request was delivered.
		{"deadline, 200", okResponse, upstream.Result{Outcome: policy.TimedOut}, true},
		{"deadline, truncated 200", "HTTP/1.1 200 OK\r\nContent-", upstream.Result{Outcome: policy.TimedOut}, true},
		{"canceled, truncated 200", "HTTP/1.1 200 OK\r\nContent-", upstream.Result{Outcome: policy.Succeeded, Final: true}, false},
		{"canceled, nothing", "", upstream.Result{Outcome: policy.Canceled}, false},
		{"deadline, nothing", "", upstream.Result{Outcome: policy.TimedOut}, true},
		{"canceled, part of a status line", "HTTP/1.1 4", upstream.Result{Outcome: policy.Canceled}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			written := make(chan bool)
			addr := serveEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if readRequest(in) == nil {
					_, _ = io.WriteString(c, tt.text)
					close(written)
					_, _ = in.ReadByte() // until the relay closes
				}
			})
			raw := dialEndpoint(t, addr)
			p := newTestPool()
			r := newTestRequest(addr)
			ctx := newManualContext(t, context.Canceled)
			if tt.deadline {
				ctx.err = context.DeadlineExceeded
			}
			got := make(chan upstream.Result)
			go func() {
				p.size++
				c := newConn(&lateReader{TCPConn: raw, set: make(chan bool)}, &idleSet{})
				got <- p.runAttempt(ctx, ctx, c, r, connWriting)
			}()
			waittest.Receive(t, written)
			close(ctx.done)
			if res := waittest.Receive(t, got); res != tt.want {
				t.Errorf("result %+v, want %+v", res, tt.want)
			}
		})
	}
}

// extendedReader is a connection that reports each change of its read deadline once watched is set.
type extendedReader struct {
	*net.TCPConn
	watched  atomic.Bool
	extended chan bool
}

func (c *extendedReader) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.watched.Load() {
		select {
		case c.extended <- true:
		default: // a change was already reported
		}
	}
	return err
}

// A rejection that the endpoint writes only after the attempt has ended, as over a slow network, is
// read within the rejection grace, and a deadline that passes meanwhile is reported. The fault: the
// connection was closed at once, and the next request was sent within the wait that the rejection
// asked for.
func TestRunAttempt_RejectionAfterTheEnd(t *testing.T) {
	rejected := upstream.Result{Outcome: policy.Rejected, RetryAfter: 900 * time.Millisecond}
	timedOut := upstream.Result{Outcome: policy.TimedOut}
	for _, tt := range []struct {
		name, text string
		err        error // the error with which the attempt's context ends
		deadline   bool  // the request's deadline passes as well
		grace      time.Duration
		want       upstream.Result
	}{
		{"canceled, 429", rejectedResponse, context.Canceled, false, waittest.Long, rejected},
		{"timeout, 429", rejectedResponse, context.DeadlineExceeded, false, waittest.Long, rejected},
		{"timeout, 200", okResponse, context.DeadlineExceeded, false, waittest.Long, upstream.Result{Outcome: policy.Succeeded, Final: true}},
		{"deadline, 429", rejectedResponse, context.DeadlineExceeded, true, waittest.Long, rejected},
		{"deadline, 200", okResponse, context.DeadlineExceeded, true, waittest.Long, timedOut},
		{"timeout, nothing", "", context.DeadlineExceeded, false, time.Millisecond, timedOut},
		{"canceled, nothing", "", context.Canceled, false, time.Millisecond, upstream.Result{Outcome: policy.Canceled}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			read, respond, closed := make(chan bool), make(chan bool, 1), make(chan bool)
			addr := serveEndpoint(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if err := readRequest(in); err != nil {
					return
				}
				close(read)
				waittest.Receive(t, respond)
				_, _ = io.WriteString(c, tt.text)
				_, _ = in.ReadByte() // until the relay closes
				close(closed)
			})
			conn := &extendedReader{TCPConn: dialEndpoint(t, addr), extended: make(chan bool, 1)}
			p := newTestPool()
			attemptCtx := newManualContext(t, tt.err)
			requestCtx := context.Context(t.Context())
			if tt.deadline {
				requestCtx = attemptCtx
			}
			reported := make(chan bool, 1)
			r := newTestRequest(addr)
			r.OnDeadline = func() { reported <- true }
			r.Deadline = time.Now().Add(waittest.Long) // does not pass in the test, which ends the context instead
			c := newConn(conn, &idleSet{})
			c.rejectionGrace = tt.grace
			got := make(chan upstream.Result, 1)
			go func() {
				p.size++
				got <- p.runAttempt(requestCtx, attemptCtx, c, r, connWriting)
			}()
			waittest.Receive(t, read)
			conn.watched.Store(true)
			close(attemptCtx.done)
			var res upstream.Result
			select {
			case <-conn.extended:
				if tt.deadline {
					waittest.Receive(t, reported)
				}
				respond <- true
				res = waittest.Receive(t, got)
			case res = <-got: // the grace has already ended
				respond <- true
			}
			if res != tt.want {
				t.Errorf("result %+v, want %+v", res, tt.want)
			}
			if len(reported) > 0 {
				t.Error("unexpected report of the deadline")
			}
			if tt.text == "" {
				waittest.Receive(t, closed)
			}
		})
	}
}

// A response is awaited for the rejection grace, but for at most minRejectionGrace past the request's
// deadline, and not past the deadline at all if no OnDeadline reports it.
func TestConn_AwaitIsBoundedByDeadline(t *testing.T) {
	for _, tt := range []struct {
		name            string
		grace, timeLeft time.Duration // the connection's grace, and the request's time left when it is written
		reported        bool
		want            time.Duration // wait for the response after the request is written
	}{
		{"time left", maxRejectionGrace, time.Hour, true, maxRejectionGrace},
		{"deadline within the grace", maxRejectionGrace, 10 * time.Millisecond, true, 10*time.Millisecond + minRejectionGrace},
		{"deadline not reported", maxRejectionGrace, 10 * time.Millisecond, false, 10 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			before := time.Now()
			r := upstream.Request{Deadline: before.Add(tt.timeLeft)}
			if tt.reported {
				r.OnDeadline = func() {}
			}
			c := &conn{rejectionGrace: tt.grace}
			c.extendAwait(&r)
			if c.awaitUntil.Before(before.Add(tt.want)) || c.awaitUntil.After(time.Now().Add(tt.want)) {
				t.Errorf("response awaited until %v after the write, want %v", c.awaitUntil.Sub(before), tt.want)
			}
		})
	}
}
