package http1

import (
	"log/slog"
	"time"

	"frostlink/internal/logkey"
)

const (
	// newConnTimeout is how long a new connection may send nothing, and firstRequestTimeout how
	// long its first request may take from its first byte on. A client that sends neither is owed
	// an error or a close within 3 s of connecting.
	newConnTimeout      = 2 * time.Second
	firstRequestTimeout = 600 * time.Millisecond
	// idleTimeout is how long a connection may be idle, unless it is evicted, and requestTimeout
	// how long a later request may take from its first byte on: clients send at once.
	idleTimeout    = 8 * time.Second
	requestTimeout = 2500 * time.Millisecond
	// maxHeadSize bounds a request's head, in bytes.
	maxHeadSize = 16 << 10
)

// connEnd is how the service of a connection ends.
type connEnd struct {
	detached bool
	reason   CloseReason // where it is not detached
}

func closedFor(reason CloseReason) *connEnd { return &connEnd{reason: reason} }

// serveConn serves the requests of a connection, one after another, until it is to be closed or
// detached. It starts in connNew or connIdle.
func (s *Server) serveConn(c *conn, start connState) connEnd {
	idle, request := newConnTimeout, firstRequestTimeout
	if start == connIdle {
		idle, request = idleTimeout, requestTimeout
	}
	idle = max(0, idle-time.Since(c.since)) // another process may have waited before
	for {
		if end := s.awaitRequest(c, idle); end != nil {
			return *end
		}
		if end := s.serveRequest(c, request); end != nil {
			return *end
		}
		idle, request = idleTimeout, requestTimeout
	}
}

// awaitRequest waits for the first byte of a request. It returns the connection's end, or nil where
// a request has begun.
func (s *Server) awaitRequest(c *conn, timeout time.Duration) *connEnd {
	s.setReadTimeout(c, timeout)
	c.limit.N = maxHeadSize
	c.received.reset()
	_, err := c.in.Peek(1)
	if err == nil {
		return nil
	}
	// A read whose deadline has passed does not look at the socket: a request that came in that
	// instant is served.
	if !s.isInterrupted(c, err) && c.hasUnread() {
		return nil
	}
	if s.isInterrupted(c, err) {
		return &connEnd{detached: true}
	}
	return closedFor(CloseNoRequest)
}

// serveRequest reads a request and answers it. It returns the connection's end, or nil where it is
// idle again.
func (s *Server) serveRequest(c *conn, timeout time.Duration) *connEnd {
	if !s.enter(c, connReading) {
		return closedFor(CloseConcurrent)
	}
	s.setReadTimeout(c, timeout)
	response, err := s.handleRequest(c)
	if err != nil {
		slog.Debug("request not readable", logkey.Err, err)
		if s.isInterrupted(c, err) {
			return &connEnd{detached: true}
		}
		response = c.rejectUnreadable(err)
	}
	if response.Status == 0 {
		return closedFor(CloseClientGone)
	}
	response.Close = response.Close || s.mode.CloseAfterResponse() || s.hasTooManyIdle()
	if !c.writeResponse(response) {
		return closedFor(CloseWriteFailed)
	}
	if response.Close {
		if s.enter(c, connLingering) {
			c.linger()
		}
		return closedFor(CloseLastResponse)
	}
	if !s.enter(c, connIdle) {
		return closedFor(CloseConcurrent)
	}
	return nil
}
