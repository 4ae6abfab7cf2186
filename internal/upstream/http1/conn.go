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

// The rejection grace is the time after writing a request within which a rejection is expected, even
// if the attempt ends earlier: endpoints reject at once, so only the network delays the rejection.
// The grace is rejectionGraceFactor times the duration of the dial, since the first request on a new
// connection may wait for a handshake of several more round trips. On some connections that
// handshake delays only the first response, and the dial is short; for them the grace is at least
// minRejectionGrace, which is 2.5 times the 100 ms for which the protocol still permits attempts
// after an endpoint has asked for a wait. maxRejectionGrace bounds the grace of connections that were
// established late, for example once a broken link was repaired.
const (
	rejectionGraceFactor = 5
	minRejectionGrace    = 250 * time.Millisecond
	maxRejectionGrace    = time.Second
)

// connState is the state of a connection. The transitions and their causes:
//
//	dialing          → idle             the connection is established
//	idle             → writing          an attempt starts (Pool.activate)
//	idle             → awaitingResponse a detached attempt is continued (Pool.AwaitResponse)
//	writing          → awaitingResponse the request's last byte was written
//	writing          → idle             the request must no longer be written
//	awaitingResponse → readingResponse  the first byte of the response arrived
//	awaitingResponse → detached         the pool is quiesced
//	idle             → detached         the pool is quiesced
//	readingResponse  → idle             the response was read completely, and the connection is reusable
//	any              → closed           in all other cases
type connState int

const (
	// connDialing: the connection is being established; the pool counts it already.
	connDialing connState = iota
	// connIdle: the connection carries no attempt.
	connIdle
	// connWriting: the request may have been written in part; the endpoint cannot have executed it.
	connWriting
	// connAwaitingResponse: the request was written, and no byte of the response has arrived.
	connAwaitingResponse
	// connReadingResponse: the response has begun. The attempt's timeout does not interrupt reading
	// it.
	connReadingResponse
	// connDetached: the connection no longer belongs to the pool, but to the code or the process that
	// continues its attempt or adopts it.
	connDetached
	// connClosed is the final state.
	connClosed
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	set       *idleSet          // the set that caches the connection while it is idle
	limit     *io.LimitedReader // reads from the connection, at most maxResponseSize per attempt
	head      *headLimiter      // reads from limit, and bounds the fields of a head
	in        *bufio.Reader     // reads from head
	idleSince time.Time         // guarded by the pool's lock
	// unconfirmed reports that the last response may belong to an earlier request, and closeOnRelease that the connection is to be
	// closed once that is decided. The pool's lock guards both.
	unconfirmed, closeOnRelease bool
	// restedQuietly reports that the idle connection was seen without unread bytes after it had rested; guarded by the pool's lock.
	restedQuietly bool
	// respondedAt is the end of the last response; zero if the connection has carried none. At most one goroutine uses it.
	respondedAt time.Time
	writtenAt   time.Time // when the last byte of the request in flight was written; zero: not by this process
	// rejectionGrace is the time after writing a request within which a rejection may still arrive.
	rejectionGrace time.Duration

	mu    sync.Mutex // guards the fields below
	state connState
	// awaitUntil is the time until which the response is awaited even if the attempt's context is
	// done; zero until the request is written.
	awaitUntil time.Time
}

// newConn returns an established connection in the state connIdle. Its rejection grace is
// minRejectionGrace, since the duration of its dial is unknown.
func newConn(raw net.Conn, set *idleSet) *conn {
	c := &conn{set: set}
	c.establish(raw, minRejectionGrace)
	return c
}

// establish sets the network connection and moves c to connIdle. No other goroutine uses c yet.
func (c *conn) establish(raw net.Conn, rejectionGrace time.Duration) {
	c.Conn = raw
	c.limit = &io.LimitedReader{R: socket.RetryConn{Conn: raw}, N: maxResponseSize}
	c.head = &headLimiter{from: c.limit}
	c.in = bufio.NewReader(c.head)
	c.rejectionGrace = rejectionGrace
	c.setState(connIdle)
}

func (c *conn) setState(to connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = to
}

// start moves the connection to the first state of a new attempt.
func (c *conn) start(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.awaitUntil, c.writtenAt = state, time.Time{}, time.Time{}
}

// extendAwait sets awaitUntil before the request is written. The response is awaited for the
// rejection grace, but not past the request's deadline. If OnDeadline is set to report the deadline,
// the response is awaited for up to minRejectionGrace past it; a delivery after that does not count.
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

// reportDeadline calls OnDeadline if the response is still awaited after the request's deadline.
func (c *conn) reportDeadline(requestCtx context.Context, r *upstream.Request) {
	c.mu.Lock()
	awaiting := time.Now().Before(c.awaitUntil)
	c.mu.Unlock()
	if awaiting && r.OnDeadline != nil && errors.Is(requestCtx.Err(), context.DeadlineExceeded) {
		r.OnDeadline()
	}
}

// interrupt ends reads and writes of an attempt whose context is done, unless its response has
// begun. If awaitUntil has not passed, it ends only writes, and reads continue until awaitUntil.
// Otherwise the connection could be closed while a rejection is in transit, and the wait that the
// rejection asks for would be missed; the wait begins when the endpoint writes the rejection.
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

// clearDeadlines removes the deadlines of an attempt. It reports false if the connection is broken.
func (c *conn) clearDeadlines() bool { return c.SetDeadline(time.Time{}) == nil }

// hasUnread reports whether the socket has bytes that were not read.
func (c *conn) hasUnread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := socket.Peek(sc)
	return err == nil && n > 0
}

// isQuiet reports whether the connection is open and has no unread bytes. An endpoint may close an
// idle connection at any time (RFC 9112, section 9.5), and a request written after that would end in
// a reset, with an unknown outcome.
func (c *conn) isQuiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := socket.Peek(sc)
	return errors.Is(err, syscall.EAGAIN)
}
