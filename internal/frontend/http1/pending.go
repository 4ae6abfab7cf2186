package http1

import "time"

const (
	// pendingTime is how long a connection beyond the bound may be silent while others wait behind it. Clients send a request as soon
	// as they are connected.
	pendingTime = 5 * time.Millisecond
	// maxStallWait is how long a connection with a request waits for another one to stall.
	maxStallWait = 2 * minStall
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

// settlePending serves or closes those pending connections for which that is decided. s.mu is held.
func (s *Server) settlePending() {
	kept := s.pending[:0]
	for i, c := range s.pending {
		if waiting := len(kept) + len(s.pending) - i; !s.settle(c, waiting) {
			kept = append(kept, c)
		}
	}
	clear(s.pending[len(kept):])
	s.pending = kept
	s.crowded.Store(len(kept) > 0)
}

// settle serves or closes a pending connection, and reports whether it did. A connection with a request replaces the one that its
// client is least likely to need. A silent one replaces one that has been silent for longer; if there is none, it waits, or is closed if
// too many are waiting. So a client that keeps connecting without a request costs little, and delays no request. s.mu is held.
func (s *Server) settle(c *conn, waiting int) bool {
	hasRequest := c.hasUnread()
	switch age := time.Since(c.since); {
	case len(s.conns) < s.maxConns:
	case hasRequest && s.evictForRequest(age):
	case hasRequest || age < pendingTime:
		return false
	case s.evictSilent():
	case waiting < s.maxPending && age < newConnTimeout:
		return false
	default:
		_ = c.Close() // nothing was read
		s.countClosed(CloseSurplus)
		return true
	}
	s.start(c, connNew)
	return true
}

// evictForRequest closes a connection for one with a request that has been pending for a time. It closes one whose client has
// completed a request only if no other has stalled for a while. s.mu is held.
func (s *Server) evictForRequest(pendingFor time.Duration) bool {
	return s.evictUnused(connLingering, 0) || pendingFor >= maxStallWait && s.evictFrom(evictionCandidates{connIdle, 0})
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
