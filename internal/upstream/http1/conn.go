package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"frostlink/internal/socket"
	"frostlink/internal/upstream"
)

// Endpoints reject at once: within rejectionGraceFactor times what establishing the connection
// took, since the first request on a new one may wait for a handshake of some round trips more.
// minRejectionGrace is for connections where that shows in the first response alone: two and a half
// times the 100 ms for which the protocol lets attempts through after an endpoint asked to wait.
// maxRejectionGrace is for connections that were established late.
const (
	rejectionGraceFactor = 5
	minRejectionGrace    = 250 * time.Millisecond
	maxRejectionGrace    = time.Second
)

// connState is where a connection stands. The transitions, and what causes them:
//
//	dialing          → idle             established
//	idle             → writing          an attempt starts (Pool.engage)
//	idle             → awaitingResponse a detached attempt is gone on with (Pool.AwaitResponse)
//	writing          → awaitingResponse the request's last byte was written
//	writing          → idle             the request must not be written any more
//	awaitingResponse → readingResponse  the first byte of the response came
//	awaitingResponse → detached         the pool is quiesced
//	idle             → detached         the pool is quiesced
//	readingResponse  → idle             the response ended as it should, and the connection persists
//	any              → closed           any other end
type connState int

const (
	// connDialing: it is being established, and counted by the pool.
	connDialing connState = iota
	// connIdle: no attempt is on it.
	connIdle
	// connWriting: the request may have been written in part; the endpoint cannot have executed it.
	connWriting
	// connAwaitingResponse: the request was written, and nothing of its response has come.
	connAwaitingResponse
	// connReadingResponse: the response has begun. The attempt's timeout does not interrupt its
	// reading.
	connReadingResponse
	// connDetached: it belongs to whoever goes on with its attempt, and no longer to the pool.
	connDetached
	// connClosed is the end.
	connClosed
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	set       *idleSet          // where it is put when idle
	limit     *io.LimitedReader // what may still be read for the attempt
	in        *bufio.Reader     // reads from limit
	idleSince time.Time         // guarded by the pool's lock
	// rejectionGrace is how long after a request was written a rejection may be on its way.
	rejectionGrace time.Duration

	mu    sync.Mutex // guards all below
	state connState
	// awaitUntil is the earliest time at which the response is given up; zero until the request is
	// written.
	awaitUntil time.Time
}

// newConn returns an established connection that is idle.
func newConn(raw net.Conn, set *idleSet) *conn {
	c := &conn{set: set}
	c.establish(raw, minRejectionGrace)
	return c
}

// establish makes a connection that was dialed idle. No other goroutine has it yet.
func (c *conn) establish(raw net.Conn, rejectionGrace time.Duration) {
	c.Conn = raw
	c.limit = &io.LimitedReader{R: socket.RetryConn{Conn: raw}, N: maxResponseSize}
	c.in = bufio.NewReader(c.limit)
	c.rejectionGrace = rejectionGrace
	c.setState(connIdle)
}

func (c *conn) setState(to connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = to
}

// start puts the connection into the state in which an attempt starts on it.
func (c *conn) start(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.awaitUntil = state, time.Time{}
}

// extendAwait sets awaitUntil as the request is about to be written: the response is awaited for
// the rejection grace, also past the request's deadline where OnDeadline reports that. Past the
// deadline it is awaited for no longer than minRejectionGrace, since a delivery after that does not
// count.
func (c *conn) extendAwait(r *upstream.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitUntil = time.Now().Add(c.rejectionGrace)
	latest := r.Deadline
	if r.OnDeadline != nil {
		latest = latest.Add(minRejectionGrace)
	}
	if c.awaitUntil.After(latest) {
		c.awaitUntil = latest
	}
}

// reportDeadline calls OnDeadline where the response is awaited past the request's deadline.
func (c *conn) reportDeadline(requestCtx context.Context, r *upstream.Request) {
	c.mu.Lock()
	awaiting := time.Now().Before(c.awaitUntil)
	c.mu.Unlock()
	if awaiting && r.OnDeadline != nil && errors.Is(requestCtx.Err(), context.DeadlineExceeded) {
		r.OnDeadline()
	}
}

// interrupt ends the reading and writing of an attempt whose context is done, unless its response
// has begun. Within the rejection grace it only bounds the reading. That guards against closing a
// connection while a rejection is on its way: the wait that it asks for counts from when it was
// written, and would be missed.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == connReadingResponse:
	case time.Now().Before(c.awaitUntil):
		_ = c.SetReadDeadline(c.awaitUntil)
		_ = c.SetWriteDeadline(socket.PastDeadline)
	default:
		_ = c.SetDeadline(socket.PastDeadline)
	}
}

// clearDeadlines removes the deadlines of an attempt and reports whether it could: if not, the
// connection is broken.
func (c *conn) clearDeadlines() bool { return c.SetDeadline(time.Time{}) == nil }

// hasUnread reports whether something has come that was not read from the socket.
func (c *conn) hasUnread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := socket.Peek(sc)
	return err == nil && n > 0
}

// isQuiet reports whether the connection is open and has nothing to read. An endpoint may close an
// idle connection at any time (RFC 9112, section 9.5), and a request written after that would end
// as a reset, with an unknown outcome.
func (c *conn) isQuiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := socket.Peek(sc)
	return errors.Is(err, syscall.EAGAIN)
}
