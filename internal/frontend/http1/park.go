package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"frostlink/internal/socket"
)

// This file parks connections, so that another process of the relay can go on with them: those without a request, and
// those of whose request a part was read.

const (
	// keepRecord bytes of room for what was read of a request are kept for the next; a larger body gives its room back.
	keepRecord = 4 << 10
	// parkEvery is between looks whether all connections are parked.
	parkEvery = time.Millisecond
	// knockEvery is between attempts to wake what accepts connections.
	knockEvery = 10 * time.Millisecond
)

// recorder keeps what was read of a request that has begun: the parser does not give it back.
type recorder struct {
	from io.Reader
	read []byte
}

// begin starts with the next request; nothing is left of the one before.
func (r *recorder) begin() {
	if r.read = r.read[:0]; cap(r.read) > keepRecord {
		r.read = nil
	}
}

// end says that a request was read whole.
func (r *recorder) end() { r.begin() }

func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read = append(r.read, p[:n]...)
	return n, err
}

// DetachedConn is a connection that nobody reads.
type DetachedConn struct {
	Conn     *net.TCPConn
	Buffered []byte // of a request that has begun
	Unused   bool   // nothing has ever come on it
	Since    time.Time
}

// readUntil bounds the reading of a connection, unless it is to be parked: then nothing more is read.
func (s *Server) readUntil(c *client, most time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		s.halt(c)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(most))
}

// halt ends the reading of a connection; the lock is held.
func (s *Server) halt(c *client) {
	c.halted = true
	_ = c.SetReadDeadline(socket.Past)
}

// parks tells whether a connection could not be read only since it is to be parked. The freeze may be over by then: that
// is no reason to take its end for a client's that is late.
func (s *Server) parks(c *client, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.halted && errors.Is(err, os.ErrDeadlineExceeded)
}

// park keeps a connection aside, or goes on with it where the freeze is over; the lock is held.
func (s *Server) park(c *client) {
	if c.removed {
		return
	}
	c.removed = true
	delete(s.clients, c)
	s.count[c.stage]--
	p := DetachedConn{c.TCPConn, c.came.read, c.stage == fresh, c.since}
	if s.frozen == nil {
		s.resumeConn(p)
		return
	}
	s.parked = append(s.parked, p)
}

// Quiesce takes no connection any more, parks those without an open request, and gives them once the others were answered
// or have gone. What is left when ctx ends is an error; Thaw follows then.
func (s *Server) Quiesce(ctx context.Context) ([]DetachedConn, error) {
	s.mu.Lock()
	s.frozen = make(chan struct{})
	if s.listener != nil {
		_ = s.listener.SetDeadline(socket.Past)
	}
	for c := range s.clients {
		if c.stage != open && c.stage != leaving {
			s.halt(c)
		}
	}
	s.mu.Unlock()
	for knocked := time.Now(); ; {
		if s.listener != nil && time.Since(knocked) > knockEvery {
			s.unblock()
			s.knock()
			knocked = time.Now()
		}
		s.mu.Lock()
		busy := len(s.clients) - s.count[leaving]
		// A connection that was accepted as the freeze began is still to be parked.
		if busy == 0 && (s.listener == nil || s.waiting) {
			parked := s.parked
			s.parked = nil
			s.mu.Unlock()
			return parked, nil
		}
		s.mu.Unlock()
		if ctx.Err() != nil {
			return nil, errors.New("clients' requests are not answered in time")
		}
		time.Sleep(parkEvery)
	}
}

// Resume goes on with what was parked, and takes connections again.
func (s *Server) Resume(parked []DetachedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		return
	}
	close(s.frozen)
	s.frozen = nil
	if s.listener != nil {
		_ = s.listener.SetDeadline(time.Time{})
	}
	for _, p := range append(parked, s.parked...) {
		s.resumeConn(p)
	}
	s.parked = nil
}

// Adopt goes on with a connection of another process, where there is room.
func (s *Server) Adopt(p DetachedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumeConn(p)
}

// resumeConn goes on with a parked connection; the lock is held.
func (s *Server) resumeConn(p DetachedConn) {
	if len(s.clients) >= s.room && !s.evict(leaving) {
		_ = p.Conn.Close()
		return
	}
	c := newClient(p.Conn, p.Buffered)
	c.since = p.Since
	at := idle
	if p.Unused {
		at = fresh
	}
	s.begin(c, at)
}

// unblock has accepting wait in the runtime, where a deadline ends it, and not in the kernel. Whoever starts a process
// with the socket as one of its descriptors may make it a blocking one, and that holds for all processes that have it.
func (s *Server) unblock() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
}

// knock makes a connection to ourselves: accepting that waits in the kernel all the same returns with it, and parks it.
func (s *Server) knock() {
	if c, err := net.DialTimeout("tcp", s.listener.Addr().String(), knockEvery); err == nil {
		_ = c.Close()
	}
}

// untilThawed waits for the end of a freeze, if there is one.
func (s *Server) untilThawed() bool {
	s.mu.Lock()
	frozen := s.frozen
	s.waiting = frozen != nil
	s.mu.Unlock()
	if frozen != nil {
		<-frozen
		s.mu.Lock()
		s.waiting = false
		s.mu.Unlock()
	}
	return true
}
