package http1

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/socket"
	"frostlink/internal/syserr"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// exchangeResult is how an exchange ended, and whether its connection can carry another one.
type exchangeResult struct {
	upstream.Result
	reusable bool
}

// broken is the end of an exchange whose connection is to be closed.
func broken(outcome policy.Outcome) exchangeResult {
	return exchangeResult{Result: upstream.Result{Outcome: outcome}}
}

// Call makes one attempt. When it returns, the attempt is off the wire: its response was read, its
// connection is closed, or the connection is detached.
func (p *Pool) Call(ctx context.Context, r upstream.Request) upstream.Result {
	requestCtx, attemptCtx, cancel := withDeadlines(ctx, &r)
	defer cancel()
	if !p.beginAttempt() {
		return upstream.Result{Outcome: policy.NotSent}
	}
	defer p.endAttempt()
	dialCtx := attemptCtx
	if !r.WriteBy.IsZero() {
		var cancelDial context.CancelFunc
		dialCtx, cancelDial = context.WithDeadline(attemptCtx, r.WriteBy)
		defer cancelDial()
	}
	c, fresh, err := p.acquire(dialCtx, r.Target)
	if err != nil {
		return p.notConnected(&r, fresh, err)
	}
	res := p.carry(requestCtx, attemptCtx, c, r, connWriting)
	res.NewConn = fresh
	return res
}

// notConnected returns the result of an attempt for which no connection could be established.
func (p *Pool) notConnected(r *upstream.Request, fresh bool, err error) upstream.Result {
	switch {
	case p.isQuiesced() || r.SendCanceled():
		return upstream.Result{Outcome: policy.NotSent, NewConn: fresh}
	case syserr.ClassifyPersistent(err) == syserr.Local:
		// This machine lacks something: that is no fault of the endpoint, and must not count as
		// one.
		slog.Error("attempt not made", logkey.RequestID, r.ID, logkey.Endpoint, r.Endpoint, logkey.Err, err)
		return upstream.Result{Outcome: policy.NotSent}
	}
	return upstream.Result{Outcome: policy.ConnectError, NewConn: fresh}
}

// withDeadlines returns the context of a request, which ends at its deadline, and within it that of
// the attempt. It sets the request's deadline where it has none.
func withDeadlines(ctx context.Context, r *upstream.Request) (requestCtx, attemptCtx context.Context, cancel func()) {
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(r.Timeout)
	}
	requestCtx, cancelRequest := context.WithDeadline(ctx, r.Deadline)
	attemptCtx, cancelAttempt := context.WithTimeout(requestCtx, r.Timeout)
	return requestCtx, attemptCtx, func() { cancelAttempt(); cancelRequest() }
}

// carry carries an attempt on a connection, within its request's deadline and its own timeout, and
// then releases the connection. The attempt starts in connWriting, or in connAwaitingResponse where
// the request was written before.
func (p *Pool) carry(requestCtx, attemptCtx context.Context, c *conn, r upstream.Request, start connState) upstream.Result {
	if !p.engage(c, start) {
		p.release(r.Target, c, true)
		return upstream.Result{Outcome: policy.NotSent}
	}
	c.start(start)
	stopInterrupt := context.AfterFunc(attemptCtx, c.interrupt)
	stopReport := context.AfterFunc(requestCtx, func() { c.reportDeadline(requestCtx, &r) })
	defer stopReport()
	res := p.exchange(requestCtx, attemptCtx, c, r, start)
	// An interrupt that has begun may still set deadlines: the next attempt would be cut off by
	// them.
	reusable := stopInterrupt() && res.reusable
	detached := res.Detached != nil
	p.disengage(c, detached)
	if !detached {
		p.release(r.Target, c, reusable)
	}
	return res.Result
}

// exchange writes a request, unless that was done before, and reads its response.
func (p *Pool) exchange(requestCtx, attemptCtx context.Context, c *conn, r upstream.Request, start connState) exchangeResult {
	if start == connWriting {
		if res, written := p.writeRequest(attemptCtx, c, r); !written {
			return res
		}
		c.setState(connAwaitingResponse)
	}
	return p.awaitResponse(requestCtx, attemptCtx, c)
}

// writeRequest writes a request and reports whether all of it was written. If not, the result is
// that of the attempt: the last byte never left, so that the endpoint cannot have executed it.
func (p *Pool) writeRequest(ctx context.Context, c *conn, r upstream.Request) (res exchangeResult, written bool) {
	// Guards against a connection that was established late, as when a cut link is repaired:
	// written now, the request would be executed again at an endpoint that has forgotten its key,
	// or come in a wait that was asked for meanwhile.
	if r.SendCanceled() {
		return exchangeResult{upstream.Result{Outcome: policy.NotSent}, c.clearDeadlines()}, false
	}
	if !r.WriteBy.IsZero() {
		_ = c.SetWriteDeadline(r.WriteBy)
		if ctx.Err() != nil { // the interrupt may have come first, and its deadline is overwritten now
			return broken(policy.ConnectError), false
		}
	}
	deadline, _ := ctx.Deadline()
	out, err := encodeRequest(r, time.Until(deadline))
	if err != nil {
		return broken(policy.ConnectError), false
	}
	c.extendAwait(&r)
	if n, _ := (socket.RetryConn{Conn: c.Conn}).Write(out); n < len(out) {
		return broken(policy.ConnectError), false
	}
	if p.OnWritten != nil {
		p.OnWritten()
	}
	return exchangeResult{}, true
}

// awaitResponse waits for the response to a request that was written, and reads it.
func (p *Pool) awaitResponse(requestCtx, attemptCtx context.Context, c *conn) exchangeResult {
	c.limit.N = maxResponseSize
	_, err := c.in.Peek(1)
	if raw, ok := c.Conn.(*net.TCPConn); ok && p.isDetached(attemptCtx, err) {
		c.setState(connDetached)
		return exchangeResult{Result: upstream.Result{Detached: raw}}
	}
	// A read whose deadline has passed does not look at the socket. That guards against a response
	// that came in the instant of the timeout: the request would be sent again, or sent within a
	// wait that was asked for.
	begun := err == nil || attemptCtx.Err() != nil && c.hasUnread()
	if !begun {
		return noResponse(attemptCtx)
	}
	c.setState(connReadingResponse)
	resp, succeeded, err := c.readResponse(requestCtx)
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && !succeeded:
		// A 200 that was read after the deadline delivers nothing: the terminal outcome is still to
		// be notified.
		return broken(policy.TimedOut)
	case err == nil:
		return c.finish(resp)
	case succeeded:
		return exchangeResult{Result: upstream.Result{Outcome: policy.Succeeded, Final: true}}
	}
	return noResponse(attemptCtx)
}

// isDetached reports whether the wait for a response ended with err only since the pool is
// quiesced.
func (p *Pool) isDetached(attemptCtx context.Context, err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && attemptCtx.Err() == nil && p.isQuiesced()
}

// noResponse is the end of an exchange whose request was written, and which has no response that
// can be read.
func noResponse(attemptCtx context.Context) exchangeResult {
	err := attemptCtx.Err()
	switch {
	case err == nil:
		return broken(policy.ConnectionReset)
	case errors.Is(err, context.DeadlineExceeded):
		return broken(policy.TimedOut)
	}
	return broken(policy.Canceled)
}

// finish is the end of an exchange whose response was read to its end.
func (c *conn) finish(resp *http.Response) exchangeResult {
	res := classify(resp)
	// What follows a response may be a part of it, where its Content-Length is wrong: then the
	// response is malformed, and the request has executed.
	quiet := c.in.Buffered() == 0 && c.isQuiet()
	res.OutcomeUnknown = !quiet && c.in.Buffered() > 0
	return exchangeResult{res, quiet && !resp.Close && c.clearDeadlines()} // persistence: RFC 9112, section 9.3
}
