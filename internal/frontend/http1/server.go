package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/logkey"
	"frostlink/internal/servingmode"
	"frostlink/internal/syserr"
)

const (
	// bodyMemoryFraction is the fraction of the relay's memory that is available for the bodies of
	// requests that are being read or await a decision.
	bodyMemoryFraction = 1.0 / 16
	// minAcceptBackoff is the pause after the first failed accept, and maxAcceptBackoff the longest
	// pause after several failures in a row.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// Config configures a server.
type Config struct {
	Validator    *frontend.Validator
	Mode         *servingmode.Mode
	MemoryMB     float64 // memory of the whole relay
	MaxConns     int
	MaxIdleConns int
	// OnClose, if set, is called with the CloseReason of each connection that is closed. The server's
	// lock is held during the call.
	OnClose func(reason string)
}

// Server serves clients' connections.
type Server struct {
	validator atomic.Pointer[frontend.Validator]
	mode      *servingmode.Mode
	admit     func(*frontend.Submission)
	onShed    func(class string)
	onClose   func(reason string)
	bodies    memoryBudget

	mu       sync.Mutex // guards the fields below
	changed  sync.Cond  // signalled when a connection is removed or becomes evictable
	maxConns int
	maxIdle  int
	conns    map[*conn]bool
	counts   [connStates]int // number of conns by state
	draining bool            // CloseIdleConns is running
	listener *net.TCPListener
	handover handoverState
}

// New returns a server. It calls admit with each submission that passes validation, and onShed with
// the class of each submission that is shed because there is no memory for its body.
func New(c Config, admit func(*frontend.Submission), onShed func(class string)) *Server {
	bodyMemory := int(bodyMemoryFraction * c.MemoryMB * (1 << 20))
	s := &Server{
		mode: c.Mode, admit: admit, onShed: onShed, onClose: c.OnClose,
		bodies:   memoryBudget{left: max(frontend.MaxBodySize, bodyMemory)},
		maxConns: c.MaxConns, maxIdle: c.MaxIdleConns, conns: map[*conn]bool{},
	}
	s.changed.L = &s.mu
	s.SetValidator(c.Validator)
	return s
}

// SetValidator replaces the validator for requests that are read from now on.
func (s *Server) SetValidator(v *frontend.Validator) { s.validator.Store(v) }

// Unanswered returns the number of requests that were read completely and have no response yet.
func (s *Server) Unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[connAwaitingResponse]
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, _ = l.(*net.TCPListener)
	s.mu.Unlock()
	backoff := syserr.Backoff{Min: minAcceptBackoff, Max: maxAcceptBackoff}
	for {
		s.makeNonblocking()
		raw, err := l.Accept()
		switch {
		case err == nil:
			backoff.Reset()
			s.accept(raw.(*net.TCPConn))
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.awaitResume()
		case errors.Is(err, net.ErrClosed):
			return nil
		case syserr.Classify(syserr.Accept, err) == syserr.Local:
			// A temporary error, such as a descriptor shortage or a network error of the new
			// connection, must not end the process.
			slog.Warn("connection not accepted", logkey.Err, err)
			if syserr.IsDescriptorShortage(err) {
				s.evictForDescriptor()
			}
			time.Sleep(backoff.Next())
		default:
			return fmt.Errorf("accept connections: %w", err)
		}
	}
}

// accept serves a connection as soon as the number of connections is below its bound.
func (s *Server) accept(raw *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.maxConns && !s.evict(connLingering) {
		s.changed.Wait()
	}
	s.start(newConn(raw, nil), connNew)
}

// start serves a connection in a new goroutine, which runs until the connection is closed or
// detached. s.mu is held.
func (s *Server) start(c *conn, state connState) {
	c.state = state
	s.conns[c] = true
	s.counts[state]++
	go func() {
		end := s.serveConn(c, state)
		s.mu.Lock()
		if end.detached {
			s.detach(c)
		} else {
			s.close(c, end.reason)
		}
		s.mu.Unlock()
		s.changed.Broadcast()
	}()
}

// enter moves a connection to a state. It reports false if the connection is closed or detached.
func (s *Server) enter(c *conn, to connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isGone() {
		return false
	}
	s.counts[c.state]--
	s.counts[to]++
	c.state, c.since = to, time.Now()
	if to <= connIdle {
		s.changed.Broadcast() // the connection is evictable now
	}
	return true
}

// close closes a connection, even while its goroutine is serving it. s.mu is held.
func (s *Server) close(c *conn, reason CloseReason) {
	if c.isGone() {
		return
	}
	_ = c.Close()
	s.remove(c, connClosed)
	if s.onClose != nil {
		s.onClose(string(reason))
	}
}

// remove removes a connection from the server's connections. s.mu is held.
func (s *Server) remove(c *conn, to connState) {
	delete(s.conns, c)
	s.counts[c.state]--
	c.state = to
}
