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
	// quiescePollInterval is the interval between checks whether all connections are detached.
	quiescePollInterval = time.Millisecond
	// wakeAcceptInterval is the interval between attempts to wake Serve from a blocking accept.
	wakeAcceptInterval = 10 * time.Millisecond
)

// errRequestsInFlight is the error of a Quiesce whose context ends before all requests are answered.
var errRequestsInFlight = errors.New("client requests not answered before the hand-over's deadline")

// DetachedConn is a client's connection that no goroutine serves.
type DetachedConn struct {
	Conn     *net.TCPConn
	Buffered []byte    // bytes already read of a request in progress
	Unused   bool      // no byte has ever arrived
	Since    time.Time // when the connection entered its state
}

// handoverState is the server's state while it is quiesced. It is guarded by the server's lock.
type handoverState struct {
	resumed      chan struct{} // closed by Resume; nil: the server is not quiesced
	detached     []DetachedConn
	acceptPaused bool // Serve has stopped accepting and waits for resumed
}

func (h *handoverState) isQuiesced() bool { return h.resumed != nil }

// setReadTimeout sets the timeout of reads from a connection. While the server is quiesced it
// interrupts reads instead, so that no further byte is read.
func (s *Server) setReadTimeout(c *conn, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.isQuiesced() {
		c.interrupt()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// interrupt ends a pending read from a connection. The server's lock is held.
func (c *conn) interrupt() {
	c.interrupted = true
	_ = c.SetReadDeadline(socket.PastDeadline)
}

// isInterrupted reports whether a read failed only because the server was quiesced. It stays true
// after Resume, since an interrupted read must not be taken for a client's timeout.
func (s *Server) isInterrupted(c *conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.interrupted && errors.Is(err, os.ErrDeadlineExceeded)
}

// detach removes a connection from the server and adds it to those that Quiesce returns. If the
// server has been resumed meanwhile, it serves the connection again. s.mu is held.
func (s *Server) detach(c *conn) {
	if c.isGone() {
		return
	}
	detached := DetachedConn{Conn: c.TCPConn, Buffered: c.buffer.bytes(0, c.buffer.size), Unused: c.state == connNew, Since: c.since}
	s.remove(c, connDetached)
	if !s.handover.isQuiesced() {
		s.resumeConn(detached)
		return
	}
	s.handover.detached = append(s.handover.detached, detached)
}

// Quiesce stops accepting connections, detaches those without a request in flight, and returns them
// once the requests in flight are answered or their clients have disconnected. If requests are still
// in flight when ctx ends, it returns an error, and the caller has to call Resume.
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

// beginQuiesce interrupts accept, and reads from connections without a request in flight.
func (s *Server) beginQuiesce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover.resumed = make(chan struct{})
	if s.listener != nil {
		_ = s.listener.SetDeadline(socket.PastDeadline)
	}
	s.servePending()
	for c := range s.conns {
		if c.state != connAwaitingResponse && c.state != connLingering {
			c.interrupt()
		}
	}
}

// takeDetached returns the detached connections once all connections that do not linger are detached
// and Serve has stopped accepting. It waits for Serve because a connection that was accepted just as
// Quiesce began has to be detached too.
func (s *Server) takeDetached() (detached []DetachedConn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := len(s.conns) - s.countOf(connLingering)
	if remaining > 0 || s.listener != nil && !s.handover.acceptPaused {
		return nil, false
	}
	detached = s.handover.detached
	s.handover.detached = nil
	return detached, true
}

// Resume undoes Quiesce: the server serves the detached connections again and accepts new ones.
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

// Adopt serves a connection that another process has detached. It closes the connection if the bound
// on connections is reached and none can be evicted.
func (s *Server) Adopt(c DetachedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumeConn(c)
}

// resumeConn serves a detached connection again. It closes the connection if the bound on
// connections is reached and none can be evicted, or if there is no memory for the bytes of its
// request. s.mu is held.
func (s *Server) resumeConn(d DetachedConn) {
	if len(s.conns) >= s.maxConns && !s.evict(connLingering) {
		_ = d.Conn.Close()
		return
	}
	c := newConn(d.Conn)
	if !s.prefill(c, d.Buffered) {
		_ = d.Conn.Close()
		return
	}
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

// makeNonblocking sets the listening socket to non-blocking mode, so that accept waits in Go's
// runtime, where a deadline ends it, and not in the kernel. Starting another process with the socket
// as one of its descriptors may set it to blocking mode, for all processes that share it.
func (s *Server) makeNonblocking() {
	l := s.tcpListener()
	if l == nil {
		return
	}
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
}

// wakeAccept connects to the server itself, so that an accept that still waits in the kernel returns
// with this connection.
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
