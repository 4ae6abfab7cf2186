package http1

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/logkey"
	"frostlink/internal/servingmode"
	"frostlink/internal/syserr"
)

const (
	// largestRequest is the size in bytes of the largest request that is read.
	largestRequest = maxHeadSize + frontend.MaxBodySize
	// readMemoryFraction is the fraction of the relay's memory in which requests are read, and
	// awaitingMemoryFraction the fraction for the bodies of requests that await a decision.
	readMemoryFraction, awaitingMemoryFraction = 1.0 / 20, 1.0 / 20
	// minAcceptBackoff is the pause after the first failed accept, and maxAcceptBackoff the longest
	// pause after several failures in a row.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
	// acceptBurst is the number of connections that are accepted before other goroutines get their turn.
	acceptBurst = 16
)

// Config configures a server.
type Config struct {
	Validator *frontend.Validator
	Mode      *servingmode.Mode
	MemoryMB  float64 // memory of the whole relay
	MaxConns  int
	// MaxPending is the number of connections that are accepted beyond MaxConns, and wait to be served or closed.
	MaxPending   int
	MaxIdleConns int
	// HasSpace, if set, reports whether the relay most likely has space for a request with a body of this size. A request for
	// which it has none is shed before its body is read.
	HasSpace func(bodySize int) bool
	// OnClose, if set, is called with the CloseReason of each connection that is closed. The server's
	// lock is held during the call.
	OnClose func(reason string)
}

// Server serves clients' connections.
type Server struct {
	validator atomic.Pointer[frontend.Validator]
	mode      *servingmode.Mode
	admit     func(*frontend.Submission)
	shed      func(*frontend.Submission)
	hasSpace  func(bodySize int) bool
	onClose   func(reason string)
	crowded   atomic.Bool // connections are pending
	chunks    chunkPool   // of requests that are being read
	awaiting  account     // bodies of requests that await a decision

	mu       sync.Mutex // guards the fields below
	changed  sync.Cond  // signalled when a connection is removed or becomes evictable
	maxConns int
	maxIdle  int
	// maxPending is the number of connections in pending that stops the server from accepting.
	maxPending int
	conns      map[*conn]bool
	byState    [connStates]list.List // the same connections by state, the one that entered it first or, of those that are being read, made progress least recently at the front
	holders    list.List             // the connections that hold chunks, the one that made progress least recently at the front
	pending    []*conn               // accepted beyond maxConns, and not served yet
	stats      connStats

	becomingIdle int  // connections whose response is being written, and which then are idle
	draining     bool // CloseIdleConns is running

	pendingArmed bool // a timer runs settlePending
	listener     *net.TCPListener
	handover     handoverState
}

// New returns a server. It calls admit with each submission that passes validation, and shed with
// each submission that is shed because there is no memory for its body, which is not set. Both have to
// send a response.
func New(c Config, admit, shed func(*frontend.Submission)) *Server {
	memory := c.MemoryMB * (1 << 20)
	s := &Server{
		mode: c.Mode, admit: admit, shed: shed, hasSpace: c.HasSpace, onClose: c.OnClose,
		chunks:   chunkPool{limit: max(largestRequest, int(readMemoryFraction*memory)) / chunkSize},
		awaiting: account{limit: max(frontend.MaxBodySize, int(awaitingMemoryFraction*memory))},
		maxConns: c.MaxConns, maxPending: max(1, c.MaxPending), maxIdle: c.MaxIdleConns, conns: map[*conn]bool{}, stats: newConnStats(),
	}
	if s.hasSpace == nil {
		s.hasSpace = func(int) bool { return true }
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
	return s.countOf(connAwaitingResponse)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener, _ = l.(*net.TCPListener)
	s.mu.Unlock()
	backoff := syserr.Backoff{Min: minAcceptBackoff, Max: maxAcceptBackoff}
	for accepted := 0; ; {
		s.makeNonblocking()
		raw, err := l.Accept()
		switch {
		case err == nil:
			backoff.Reset()
			s.accept(newConn(raw.(*net.TCPConn)))
			if accepted++; accepted%acceptBurst == 0 {
				runtime.Gosched() // what was accepted is served before more is accepted
			}
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

// awaitEvictable waits until a connection is removed or may have become evictable. s.mu is held.
func (s *Server) awaitEvictable() {
	stalled := time.AfterFunc(minStall, s.changed.Broadcast) // a connection that stalls signals nothing
	defer stalled.Stop()
	s.changed.Wait()
}

// start serves a connection in a new goroutine, which runs until the connection is closed or
// detached. s.mu is held.
func (s *Server) start(c *conn, state connState) {
	s.add(c, state)
	go func() {
		end := s.serveConn(c, state)
		s.mu.Lock()
		if end.detached {
			s.detach(c)
		} else {
			s.close(c, end.reason)
		}
		s.freeChunks(c, c.buffer.drop(c.buffer.size))
		s.mu.Unlock()
		s.changed.Broadcast()
	}()
}

// add registers a connection. s.mu is held.
func (s *Server) add(c *conn, state connState) {
	c.state = state
	s.conns[c] = true
	c.inState = s.byState[state].PushBack(c)
}

// enter moves a connection to a state. It reports false if the connection is closed or detached.
func (s *Server) enter(c *conn, to connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.isGone() {
		return false
	}
	s.byState[c.state].Remove(c.inState)
	c.inState = s.byState[to].PushBack(c)
	c.state, c.since = to, time.Now()
	c.progressAt = c.since
	s.releaseIdle(c)
	if to <= connIdle {
		s.changed.Broadcast() // the connection is evictable now
	}
	return true
}

// countOf returns the number of connections in a state. s.mu is held.
func (s *Server) countOf(state connState) int { return s.byState[state].Len() }

// close closes a connection, even while its goroutine is serving it. s.mu is held.
func (s *Server) close(c *conn, reason CloseReason) {
	if c.isGone() {
		return
	}
	_ = c.Close()
	s.remove(c, connClosed)
	s.countClosed(reason)
}

// countClosed counts and reports a connection that was closed. s.mu is held.
func (s *Server) countClosed(reason CloseReason) {
	s.stats.closed[reason]++
	if s.onClose != nil {
		s.onClose(string(reason))
	}
}

// remove removes a connection from the server's connections. s.mu is held.
func (s *Server) remove(c *conn, to connState) {
	delete(s.conns, c)
	s.byState[c.state].Remove(c.inState)
	c.state = to
	s.releaseIdle(c)
}
