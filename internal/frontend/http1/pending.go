package http1

import "time"

const (
	// pendingTime is how long a connection beyond the bound may be silent while others wait behind it. Clients send a request as soon
	// as they are connected.
	pendingTime = 5 * time.Millisecond
	// minNewTime is the time for which a connection on which nothing has arrived is not evicted for another such connection.
	minNewTime = 50 * time.Millisecond
)

// accept serves a connection at once or, at the bound on connections, when it is its turn.
func (s *Server) accept(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 && len(s.conns) < s.maxConns || s.handover.isQuiesced() {
		s.start(c, connNew) // while the server is quiesced, it is detached at once
		return
	}
	s.pending = append(s.pending, c)
	for s.settlePending(); len(s.pending) >= s.maxPending; s.settlePending() {
		s.awaitEvictable()
	}
	s.armPending()
}

// settlePending serves or closes pending connections, in the order in which they were accepted, as far as that is decided. A
// connection with a request replaces the one that its client is least likely to need. A silent one replaces one that has been silent
// for longer; if there is none, it waits, or is closed if there are too many. So a client that keeps connecting without a request
// costs little. s.mu is held.
func (s *Server) settlePending() {
	defer func() { s.crowded.Store(len(s.pending) > 0) }()
	for len(s.pending) > 0 {
		c := s.pending[0]
		switch {
		case len(s.conns) < s.maxConns, c.hasUnread() && s.evict(connLingering):
			s.start(c, connNew)
		case time.Since(c.since) < pendingTime || c.hasUnread():
			return
		case s.evictSilent():
			s.start(c, connNew)
		case len(s.pending) < s.maxPending && time.Since(c.since) < newConnTimeout:
			return
		default:
			_ = c.Close() // nothing was read
			s.countClosed(CloseSurplus)
		}
		s.pending = s.pending[1:]
	}
}

// evictSilent closes a connection that is lingering, has been idle for minIdleTime or has been new for minNewTime. s.mu is held.
func (s *Server) evictSilent() bool {
	for _, candidates := range []evictionCandidates{{connLingering, 0}, {connIdle, minIdleTime}, {connNew, minNewTime}} {
		if s.evictFrom(candidates) {
			return true
		}
	}
	return false
}

// armPending makes settlePending run again soon if connections are pending. s.mu is held.
func (s *Server) armPending() {
	if len(s.pending) == 0 || s.pendingArmed {
		return
	}
	s.pendingArmed = true
	time.AfterFunc(pendingTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pendingArmed = false
		s.settlePending()
		s.armPending()
	})
}

// servePending serves all pending connections, even beyond the bound. s.mu is held.
func (s *Server) servePending() {
	for _, c := range s.pending {
		s.start(c, connNew)
	}
	s.pending = nil
}
