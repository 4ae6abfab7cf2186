package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"frostlink/internal/socket"
)

const (
	// quiescePollInterval is between looks whether all connections are detached.
	quiescePollInterval = time.Millisecond
	// wakeAcceptInterval is between attempts to wake Serve.
	wakeAcceptInterval = 10 * time.Millisecond
)

// errRequestsInFlight is the end of a Quiesce whose context ends first.
var errRequestsInFlight = errors.New("clients' requests are not answered in time")

// DetachedConn is a connection that no goroutine reads.
type DetachedConn struct {
	Conn     *net.TCPConn
	Buffered []byte    // what was read of a request that has begun
	Unused   bool      // nothing has ever come on it
	Since    time.Time // in its state since
}

// handoverState is what the server needs while it is quiesced. It is guarded by the server's lock.
type handoverState struct {
	resumed      chan struct{} // closed by Resume; nil: the server is not quiesced
	detached     []DetachedConn
	acceptPaused bool // Serve waits for resumed
}

func (h *handoverState) isQuiesced() bool { return h.resumed != nil }

// setReadTimeout bounds the reading of a connection. While the server is quiesced nothing more is
// read.
func (s *Server) setReadTimeout(c *conn, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.isQuiesced() {
		c.interrupt()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// interrupt ends the reading of a connection. The server's lock is held.
func (c *conn) interrupt() {
	c.interrupted = true
	_ = c.SetReadDeadline(socket.PastDeadline)
}

// isInterrupted reports whether a connection could not be read only since the server is quiesced.
// It may be resumed by then: that is no reason to take it for a client's timeout.
func (s *Server) isInterrupted(c *conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.interrupted && errors.Is(err, os.ErrDeadlineExceeded)
}

// detach takes a connection out of the server's for Quiesce to return, or goes on with it where the
// server was resumed meanwhile. s.mu is held.
func (s *Server) detach(c *conn) {
	if c.isGone() {
		return
	}
	detached := DetachedConn{Conn: c.TCPConn, Buffered: c.received.read, Unused: c.state == connNew, Since: c.since}
	s.remove(c, connDetached)
	if !s.handover.isQuiesced() {
		s.resumeConn(detached)
		return
	}
	s.handover.detached = append(s.handover.detached, detached)
}

// Quiesce accepts no connection any more, detaches those without a request in flight, and returns
// them once the requests in flight are answered or their clients have gone. Where some are left
// when ctx ends it returns an error, and Resume is to follow.
func (s *Server) Quiesce(ctx context.Context) ([]DetachedConn, error) {
	s.beginQuiesce()
	lastWake := time.Now()
	for {
		if s.tcpListener() != nil && time.Since(lastWake) > wakeAcceptInterval {
			s.makeNonblocking()
			s.wakeAccept()
			lastWake = time.Now()
		}
		if detached, ok := s.takeDetached(); ok {
			return detached, nil
		}
		if ctx.Err() != nil {
			return nil, errRequestsInFlight
		}
		time.Sleep(quiescePollInterval)
	}
}

// beginQuiesce interrupts accepting, and the reading of connections without a request in flight.
func (s *Server) beginQuiesce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover.resumed = make(chan struct{})
	if s.listener != nil {
		_ = s.listener.SetDeadline(socket.PastDeadline)
	}
	for c := range s.conns {
		if c.state != connAwaitingResponse && c.state != connLingering {
			c.interrupt()
		}
	}
}

// takeDetached returns the detached connections, once all are that do not linger and Serve waits: a
// connection that was accepted as Quiesce began is still to be detached.
func (s *Server) takeDetached() (detached []DetachedConn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := len(s.conns) - s.counts[connLingering]
	if remaining > 0 || s.listener != nil && !s.handover.acceptPaused {
		return nil, false
	}
	detached = s.handover.detached
	s.handover.detached = nil
	return detached, true
}

// Resume ends Quiesce: it goes on with the connections that were detached, and accepts others
// again.
func (s *Server) Resume(detached []DetachedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.handover.isQuiesced() {
		return
	}
	close(s.handover.resumed)
	s.handover.resumed = nil
	if s.listener != nil {
		_ = s.listener.SetDeadline(time.Time{})
	}
	for _, c := range append(detached, s.handover.detached...) {
		s.resumeConn(c)
	}
	s.handover.detached = nil
}

// Adopt goes on with a connection of another process, within the bound on connections; beyond that
// it closes it.
func (s *Server) Adopt(c DetachedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumeConn(c)
}

// resumeConn goes on with a detached connection. s.mu is held.
func (s *Server) resumeConn(d DetachedConn) {
	if len(s.conns) >= s.maxConns && !s.evict(connLingering) {
		_ = d.Conn.Close()
		return
	}
	c := newConn(d.Conn, d.Buffered)
	c.since = d.Since
	state := connIdle
	if d.Unused {
		state = connNew
	}
	s.start(c, state)
}

func (s *Server) tcpListener() *net.TCPListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// makeNonblocking has accepting wait in the runtime, where a deadline ends it, and not in the
// kernel. Whoever starts a process with the socket as one of its descriptors may make it a blocking
// one, for all processes that have it.
func (s *Server) makeNonblocking() {
	l := s.tcpListener()
	if l == nil {
		return
	}
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
}

// wakeAccept connects to the server itself: an accept that waits in the kernel all the same returns
// with the connection.
func (s *Server) wakeAccept() {
	if c, err := net.DialTimeout("tcp", s.tcpListener().Addr().String(), wakeAcceptInterval); err == nil {
		_ = c.Close()
	}
}

// awaitResume waits until the server is resumed, if it is quiesced.
func (s *Server) awaitResume() {
	s.mu.Lock()
	resumed := s.handover.resumed
	s.handover.acceptPaused = resumed != nil
	s.mu.Unlock()
	if resumed == nil {
		return
	}
	<-resumed
	s.mu.Lock()
	s.handover.acceptPaused = false
	s.mu.Unlock()
}
