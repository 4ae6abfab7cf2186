package http1

import "time"

const (
	// minIdleTime is the time for which a connection must be idle before it is evicted ahead of new
	// connections.
	minIdleTime = 2 * time.Second
	// descriptorMinAge is the time for which a connection must be new or idle before it is evicted
	// because of a descriptor shortage. After this time a request is rarely still in transit.
	descriptorMinAge = 500 * time.Millisecond
	// stalledAfter is the time after which a request that was read in part counts as stalled. Its
	// connection may then be evicted, after all others.
	stalledAfter = 500 * time.Millisecond
)

// evict closes the connection that its client is least likely to need, and reports whether there was
// one to close. It prefers, in this order, a lingering connection, one that has been idle for
// minIdleTime, a new one, any other idle one, and a stalled one. It closes no connection that awaits
// a response, and none in a state that is declared before the state from. s.mu is held.
func (s *Server) evict(from connState) bool { return s.evictOlder(from, 0) }

// evictForDescriptor evicts a connection on which no request is expected, to free a descriptor.
func (s *Server) evictForDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictOlder(connLingering, descriptorMinAge)
}

// evictOlder is like evict, but limited to connections that have been in their state for minAge and
// to lingering ones. s.mu is held.
func (s *Server) evictOlder(from connState, minAge time.Duration) bool {
	now := time.Now()
	var victim *conn
	for c := range s.conns {
		if c.state < from || !c.isEvictable(now, minAge) || victim != nil && !c.evictedBefore(victim, now) {
			continue
		}
		// An unread request would be lost with the connection. On a lingering connection, a close
		// with unread bytes is a reset, which may overtake the last response.
		if c.state <= connNew && c.hasUnread() {
			continue
		}
		victim = c
	}
	if victim == nil {
		return false
	}
	s.close(victim, CloseEvicted)
	return true
}

// isEvictable reports whether a connection may be evicted, by its state and the time in that state.
func (c *conn) isEvictable(now time.Time, minAge time.Duration) bool {
	age := now.Sub(c.since)
	switch c.state {
	case connLingering:
		return true
	case connIdle, connNew:
		return age >= minAge
	case connReading:
		return age >= minAge && age >= stalledAfter
	default:
		return false
	}
}

// evictedBefore reports whether c is to be evicted before other.
func (c *conn) evictedBefore(other *conn, now time.Time) bool {
	rank, otherRank := c.evictionRank(now), other.evictionRank(now)
	return rank < otherRank || rank == otherRank && c.since.Before(other.since)
}

// evictionRank returns the position of a connection in the order of eviction. It follows the state,
// except that a connection that became idle less than minIdleTime ago comes after the new ones.
func (c *conn) evictionRank(now time.Time) int {
	if c.state == connIdle && now.Sub(c.since) < minIdleTime {
		return 2*int(connNew) + 1
	}
	return 2 * int(c.state)
}

// hasTooManyIdle reports whether a response should be the last on its connection because the number
// of idle connections has reached its bound. Without the bound, a client with a limited number of
// connections that sends one request on each and leaves it idle has no connection for further
// requests. Connections that have been idle for minIdleTime are closed first.
func (s *Server) hasTooManyIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.counts[connIdle] >= s.maxIdle {
		oldest := s.oldestIdle()
		if oldest == nil || time.Since(oldest.since) < minIdleTime {
			return true
		}
		s.close(oldest, CloseTooManyIdle)
	}
	return false
}

// oldestIdle returns the connection that has been idle the longest among those without unread bytes;
// nil if there is none. s.mu is held.
func (s *Server) oldestIdle() *conn {
	var oldest *conn
	for c := range s.conns {
		if c.state == connIdle && (oldest == nil || c.since.Before(oldest.since)) && !c.hasUnread() {
			oldest = c
		}
	}
	return oldest
}
