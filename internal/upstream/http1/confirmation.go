package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"frostlink/internal/socket"
	"frostlink/policy"
)

// successor is what follows an unconfirmed response.
type successor int

const (
	// nothingFollowed: no other response came for as long as one is awaited.
	nothingFollowed successor = iota
	// connectionClosed: the endpoint has closed the connection, as it does with idle ones, so that it has no request in hand.
	connectionClosed
	// responseFollowed: another response has followed.
	responseFollowed
	// otherFollowed: something has followed that can't be the response to a request that the endpoint has in hand: an informational
	// response and no other, or a 408, which tells that no request has come (RFC 9110, section 15.5.9).
	otherFollowed
	// connectionFailed: the connection broke, or what followed can't be read, so that another response may have been lost.
	connectionFailed
	// undecided: the request's deadline is near, or the pool is quiesced.
	undecided
)

// deadlineMargin is the time before a request's deadline at which it is decided whether a response is its own, since at the deadline
// the request fails.
const deadlineMargin = 100 * time.Millisecond

// awaitNextResponse waits for another response after an unconfirmed one, until shortly before the request's deadline at most. It returns
// what the one that follows means; if that can't be read, what its status line forbids.
func (p *Pool) awaitNextResponse(requestCtx context.Context, c *conn) (next successor, response policy.Response) {
	latest := time.Time{}
	if deadline, bounded := requestCtx.Deadline(); bounded {
		latest = deadline.Add(-deadlineMargin)
	}
	expires := p.beginConfirmation(c, latest)
	c.limit.N = maxResponseSize
	for interim := range maxInterimResponses + 1 {
		if _, err := c.in.Peek(1); err != nil {
			return p.successorOnError(err, expires, interim > 0), policy.Response{}
		}
		status := c.peekStatus()
		resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
		switch {
		case err != nil && status == http.StatusOK:
			return responseFollowed, policy.Response{Outcome: policy.Succeeded, Final: true}
		case err != nil:
			return connectionFailed, policy.Response{AttemptsExhausted: endsAttempts(status)}
		case resp.StatusCode == http.StatusRequestTimeout:
			return otherFollowed, policy.Response{}
		case resp.StatusCode >= http.StatusOK:
			following := classify(resp)
			return responseFollowed, following.Response()
		}
	}
	return connectionFailed, policy.Response{}
}

// successorOnError returns what follows an unconfirmed response if the wait for another one ended with an error. interim reports that
// an informational response has followed, which is no request's final one.
func (p *Pool) successorOnError(err error, expires, interim bool) successor {
	switch {
	case p.isQuiesced() || expires:
		return undecided
	case interim && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.EOF)):
		return otherFollowed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nothingFollowed
	case errors.Is(err, io.EOF):
		return connectionClosed
	}
	return connectionFailed
}

// beginConfirmation marks the response of a connection as unconfirmed, and sets the time until which another one is awaited: the latest
// time, if it is set, or before it. expires reports that it is the latest time. A quiesced pool awaits none.
func (p *Pool) beginConfirmation(c *conn, latest time.Time) (expires bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unconfirmed = true
	until := time.Now().Add(c.set.responder.ConfirmationTime())
	expires = !latest.IsZero() && latest.Before(until)
	switch {
	case p.quiesced:
		until = socket.PastDeadline
	case expires:
		until = latest
	}
	_ = c.SetReadDeadline(until)
	return expires
}
