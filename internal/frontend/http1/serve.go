package http1

import (
	"log/slog"
	"time"

	"frostlink/internal/logkey"
)

const (
	// newConnTimeout bounds the wait for the first byte on a new connection, and
	// firstRequestTimeout the time from that byte to the end of the first request. Together they
	// are below 3 s, within which a client must get an error or a close.
	newConnTimeout      = 2 * time.Second
	firstRequestTimeout = 600 * time.Millisecond
	// idleTimeout bounds the time for which a connection may be idle, and requestTimeout the time
	// from the first byte to the end of a later request, which clients send without pauses.
	idleTimeout    = 8 * time.Second
	requestTimeout = 2500 * time.Millisecond
	// minHealthInterval is the least time between two answers to health checks on a connection, so that a client that sends them
	// without a pause does not take the processor from others.
	minHealthInterval = 5 * time.Millisecond
)

// connEnd is how serving a connection ended: the connection is detached or has to be closed.
type connEnd struct {
	detached bool
	reason   CloseReason // unless detached
}

func closedFor(reason CloseReason) *connEnd { return &connEnd{reason: reason} }

// serveConn serves the requests of a connection, one after another, until the connection has to be
// closed or detached. The state start is connNew or connIdle.
func (s *Server) serveConn(c *conn, start connState) connEnd {
	idle, request := newConnTimeout, firstRequestTimeout
	if start == connIdle {
		idle, request = idleTimeout, requestTimeout
	}
	idle = max(0, idle-time.Since(c.since)) // a predecessor may already have waited for a part of the timeout
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

// awaitRequest waits for the first bytes of a request. It returns nil if a request has begun, and
// otherwise how serving the connection ended.
func (s *Server) awaitRequest(c *conn, timeout time.Duration) *connEnd {
	s.setReadTimeout(c, timeout)
	if c.buffer.size > 0 {
		return nil
	}
	err := s.fill(c, firstChunkSize)
	if err == nil {
		return nil
	}
	// A read whose deadline has passed fails without reading the socket, even if a request has
	// arrived. Such a request is served.
	if !s.isInterrupted(c, err) && c.hasUnread() {
		return nil
	}
	if s.isInterrupted(c, err) {
		return &connEnd{detached: true}
	}
	return closedFor(CloseNoRequest)
}

// serveRequest reads a request and answers it. It returns nil if the connection is idle again, and
// otherwise how serving the connection ended.
func (s *Server) serveRequest(c *conn, timeout time.Duration) *connEnd {
	if !s.enter(c, connReading) {
		return closedFor(CloseConcurrent)
	}
	s.setReadTimeout(c, timeout)
	c.tookChunks = len(c.buffer.chunks) > 0
	response, err := s.handleRequest(c)
	if err != nil {
		slog.Debug("cannot read request", logkey.Err, err)
		if s.isInterrupted(c, err) {
			return &connEnd{detached: true}
		}
		response = s.rejectUnreadable(err)
	}
	if response.Status == 0 {
		return closedFor(CloseClientGone)
	}
	response.Close = response.Close || s.mode.CloseAfterResponse() || !s.reserveIdle(c)
	if response.Close {
		s.dropRequest(c, c.buffer.size) // no further request is read
	}
	if !c.writeResponse(response) {
		return closedFor(CloseWriteFailed)
	}
	if response.Close {
		if s.enter(c, connLingering) {
			s.linger(c)
		}
		return closedFor(CloseLastResponse)
	}
	c.eviction.setHandling(c.buffer.size > 0)
	if !s.enter(c, connIdle) {
		return closedFor(CloseConcurrent)
	}
	return nil
}
