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

// exchangeResult is the result of an exchange, and whether its connection can carry another one.
type exchangeResult struct {
	upstream.Result
	reusable bool
}

// notReusable returns the result of an exchange whose connection must be closed.
func notReusable(outcome policy.Outcome) exchangeResult {
	return exchangeResult{Result: upstream.Result{Outcome: outcome}}
}

// Call makes one attempt. When it returns, the attempt is no longer on the wire: its response was
// read, its connection is closed, or the connection is detached.
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
	c, dialed, err := p.acquire(dialCtx, r.Target)
	if err != nil {
		return p.notConnected(&r, dialed, err)
	}
	res := p.runAttempt(requestCtx, attemptCtx, c, r, connWriting)
	res.NewConn = dialed
	return res
}

// notConnected returns the result of an attempt for which no connection could be established.
func (p *Pool) notConnected(r *upstream.Request, dialed bool, err error) upstream.Result {
	switch {
	case p.isQuiesced() || r.SendCanceled():
		return upstream.Result{Outcome: policy.NotSent, NewConn: dialed}
	case syserr.ClassifyPersistent(err) == syserr.Local:
		// The cause is on this machine, so the failure must not count as a fault of the endpoint.
		slog.Error("attempt not made: this machine has no free descriptor, port or memory, or its firewall forbids the connection", logkey.RequestID, r.ID, logkey.Endpoint, r.Endpoint, logkey.Err, err)
		return upstream.Result{Outcome: policy.NotSent}
	}
	return upstream.Result{Outcome: policy.ConnectError, NewConn: dialed}
}

// withDeadlines returns two contexts: requestCtx ends at the request's deadline, and attemptCtx,
// which is derived from it, at the attempt's timeout. If the request has no deadline, it sets the
// deadline to the end of the timeout.
func withDeadlines(ctx context.Context, r *upstream.Request) (requestCtx, attemptCtx context.Context, cancel func()) {
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(r.Timeout)
	}
	requestCtx, cancelRequest := context.WithDeadline(ctx, r.Deadline)
	attemptCtx, cancelAttempt := context.WithTimeout(requestCtx, r.Timeout)
	return requestCtx, attemptCtx, func() { cancelAttempt(); cancelRequest() }
}

// runAttempt makes an attempt on a connection, within the request's deadline and the attempt's
// timeout, and then releases the connection. The attempt starts in connWriting, or in
// connAwaitingResponse if the request was already written.
func (p *Pool) runAttempt(requestCtx, attemptCtx context.Context, c *conn, r upstream.Request, start connState) upstream.Result {
	if !p.activate(c, start) {
		p.release(r.Target, c, true)
		return upstream.Result{Outcome: policy.NotSent}
	}
	c.start(start)
	stopInterrupt := context.AfterFunc(attemptCtx, c.interrupt)
	stopReport := context.AfterFunc(requestCtx, func() { c.reportDeadline(requestCtx, &r) })
	defer stopReport()
	res := p.exchange(requestCtx, attemptCtx, c, r, start)
	// If an interrupt has begun, the connection can't be reused: the interrupt may still set deadlines,
	// which would end the next attempt.
	reusable := stopInterrupt() && res.reusable
	detached := res.Detached != nil
	p.deactivate(c, detached)
	if !detached {
		p.release(r.Target, c, reusable)
	}
	return res.Result
}

// exchange writes a request, unless it was already written, and reads the response.
func (p *Pool) exchange(requestCtx, attemptCtx context.Context, c *conn, r upstream.Request, start connState) exchangeResult {
	if start == connWriting {
		if res, written := p.writeRequest(attemptCtx, c, r); !written {
			return res
		}
		c.setState(connAwaitingResponse)
	}
	return p.awaitResponse(requestCtx, attemptCtx, c, &r)
}

// writeRequest writes a request and reports whether all of it was written. If not, the endpoint
// cannot have executed the request, since its last byte was not sent, and res is the attempt's
// result.
func (p *Pool) writeRequest(ctx context.Context, c *conn, r upstream.Request) (res exchangeResult, written bool) {
	// The connection may have been established late, for example once a broken link was repaired. A
	// request written now could be executed again, at an endpoint whose record of the idempotency
	// key has expired, or arrive within a wait that the endpoint has asked for meanwhile.
	if r.SendCanceled() {
		return exchangeResult{upstream.Result{Outcome: policy.NotSent}, c.clearDeadlines()}, false
	}
	if !r.WriteBy.IsZero() {
		_ = c.SetWriteDeadline(r.WriteBy)
		if ctx.Err() != nil { // interrupt may have run first, and then SetWriteDeadline has replaced the deadline that it set
			return notReusable(policy.ConnectError), false
		}
	}
	deadline, _ := ctx.Deadline()
	parts, err := encodeRequest(r, time.Until(deadline))
	if err != nil {
		return notReusable(policy.ConnectError), false
	}
	c.extendAwait(&r)
	for _, part := range parts {
		if n, _ := (socket.RetryConn{Conn: c.Conn}).Write(part); n < len(part) {
			return c.notWritten(), false
		}
	}
	c.writtenAt = time.Now()
	if p.OnWritten != nil {
		p.OnWritten()
	}
	return exchangeResult{}, true
}

// notWritten returns the result of an exchange whose request could not be written to its end. The endpoint may have responded before it
// had the request.
func (c *conn) notWritten() exchangeResult {
	res := notReusable(policy.ConnectError)
	if c.hasUnread() {
		_ = c.SetReadDeadline(time.Now().Add(deadlineGrace))
		res.AttemptsExhausted = endsAttempts(c.peekStatus())
	}
	return res
}

// awaitResponse waits for the response to a request that was written, and reads the response.
func (p *Pool) awaitResponse(requestCtx, attemptCtx context.Context, c *conn, r *upstream.Request) exchangeResult {
	c.limit.N = maxResponseSize
	_, err := c.in.Peek(1)
	if p.isDetached(attemptCtx, err) {
		err = p.awaitEarlyResponse(c)
	}
	begunAt := time.Now()
	if raw, ok := c.Conn.(*net.TCPConn); ok && p.isDetached(attemptCtx, err) {
		c.setState(connDetached)
		return exchangeResult{Result: upstream.Result{Detached: raw}}
	}
	// A read whose deadline has passed fails without reading the socket. Without this check, a
	// response that arrived at the moment of the timeout would be lost, and the request would be
	// sent again, or within a wait that the response asked for.
	begun := err == nil || attemptCtx.Err() != nil && c.hasUnread()
	if !begun {
		return noResponse(attemptCtx)
	}
	c.setState(connReadingResponse)
	resp, succeeded, err := c.readResponse(requestCtx)
	switch {
	case resp != nil && resp.StatusCode == http.StatusOK && !succeeded:
		// A 200 that was read after the deadline does not count as a delivery: the request has timed
		// out, and a notice of that outcome still has to be sent.
		return notReusable(policy.TimedOut)
	case err == nil:
		return p.attribute(requestCtx, c, r, begunAt, c.finish(resp))
	case succeeded:
		return p.attribute(requestCtx, c, r, begunAt, exchangeResult{Result: upstream.Result{Outcome: policy.Succeeded, Final: true}})
	}
	return malformedResponse(attemptCtx, err)
}

// malformedResponse returns the result of an exchange whose response can't be read to its end. The request may have executed, but what
// was read of the response still forbids what it forbids.
func malformedResponse(attemptCtx context.Context, err error) exchangeResult {
	res := noResponse(attemptCtx)
	if malformed := (*malformedError)(nil); errors.As(err, &malformed) {
		res.SetResponse(res.Response().And(malformed.response))
	}
	return res
}

// isDetached reports whether the wait for a response failed with err only because the pool is
// quiesced.
func (p *Pool) isDetached(attemptCtx context.Context, err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && attemptCtx.Err() == nil && p.isQuiesced()
}

// noResponse returns the result of an exchange whose request was written, but whose response did not
// arrive or cannot be read.
func noResponse(attemptCtx context.Context) exchangeResult {
	err := attemptCtx.Err()
	switch {
	case err == nil:
		return notReusable(policy.ConnectionReset)
	case errors.Is(err, context.DeadlineExceeded):
		return notReusable(policy.TimedOut)
	}
	return notReusable(policy.Canceled)
}

// finish returns the result of an exchange whose response was read completely.
func (c *conn) finish(resp *http.Response) exchangeResult {
	res := classify(resp)
	// Bytes after the response may belong to it, if its Content-Length is wrong. The response is
	// malformed then, and the request may have executed.
	quiet := c.in.Buffered() == 0 && c.isQuiet()
	res.OutcomeUnknown = !quiet && c.in.Buffered() > 0
	return exchangeResult{res, quiet && !resp.Close && c.clearDeadlines()} // persistence: RFC 9112, section 9.3
}
