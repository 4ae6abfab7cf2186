package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// This file parks connections, so that another process of the relay can go on with them: those without a request, and
// those of whose request a part was read.

const (
	// keepRecord bytes of room for what was read of a request are kept for the next; a larger body gives its room back.
	keepRecord = 4 << 10
	// parkEvery is between looks whether all connections are parked.
	parkEvery = time.Millisecond
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

// Parked is a connection that nobody reads.
type Parked struct {
	Conn  *net.TCPConn
	Read  []byte // of a request that has begun
	Fresh bool   // nothing has ever come on it
	Since time.Time
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// readUntil bounds the reading of a connection, unless it is to be parked: then nothing more is read.
func (s *Server) readUntil(c *client, most time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		_ = c.SetReadDeadline(past)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(most))
}

// parks tells whether a connection could not be read only since it is to be parked.
func (s *Server) parks(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen != nil && errors.Is(err, os.ErrDeadlineExceeded)
}

// park keeps a connection aside; the lock is held.
func (s *Server) park(c *client) {
	if c.removed {
		return
	}
	if s.frozen == nil { // thawed meanwhile
		s.resume(Parked{c.TCPConn, c.came.read, c.stage == fresh, c.since})
	} else {
		s.parked = append(s.parked, Parked{c.TCPConn, c.came.read, c.stage == fresh, c.since})
	}
	c.removed = true
	delete(s.clients, c)
	s.count[c.stage]--
}

// Freeze takes no connection any more, parks those without an open request, and gives them once the others were answered
// or have gone. What is left when ctx ends is an error; Thaw follows then.
func (s *Server) Freeze(ctx context.Context) ([]Parked, error) {
	s.mu.Lock()
	s.frozen = make(chan struct{})
	if s.listener != nil {
		_ = s.listener.SetDeadline(past)
	}
	for c := range s.clients {
		if c.stage != open && c.stage != leaving {
			_ = c.SetReadDeadline(past)
		}
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		busy := len(s.clients) - s.count[leaving]
		if busy == 0 {
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

// Thaw goes on with what was parked, and takes connections again.
func (s *Server) Thaw(parked []Parked) {
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
		s.resume(p)
	}
	s.parked = nil
}

// Adopt goes on with a connection of another process, where there is room.
func (s *Server) Adopt(p Parked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resume(p)
}

// resume goes on with a parked connection; the lock is held.
func (s *Server) resume(p Parked) {
	if len(s.clients) >= s.room && !s.evict() {
		_ = p.Conn.Close()
		return
	}
	c := newClient(p.Conn, p.Read)
	c.since = p.Since
	at := idle
	if p.Fresh {
		at = fresh
	}
	s.begin(c, at)
}

// untilThawed waits for the end of a freeze, if there is one.
func (s *Server) untilThawed() bool {
	s.mu.Lock()
	frozen := s.frozen
	s.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return true
}
