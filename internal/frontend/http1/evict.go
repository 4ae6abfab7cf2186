package http1

import "time"

const (
	// minIdleTime must have passed without a request before an idle connection is among the first
	// to be evicted.
	minIdleTime = 2 * time.Second
	// descriptorMinAge is how long after a connection was accepted, or its request answered, its
	// next request is no longer on its way as a rule. Only then it is evicted for want of a
	// descriptor.
	descriptorMinAge = 500 * time.Millisecond
	// stalledAfter is when a request that has begun and does not go on counts as stalled: its
	// connection may be evicted, last of all.
	stalledAfter = 500 * time.Millisecond
)

// evict closes the connection that its client needs least and reports true, if there is one: a
// lingering one, then one that has been idle for minIdleTime, a new one, any idle one, a stalled
// one. It closes none that awaits a response, and none in a state before from. s.mu is held.
func (s *Server) evict(from connState) bool { return s.evictOlder(from, 0) }

// evictForDescriptor evicts a connection on which no request is to be expected.
func (s *Server) evictForDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictOlder(connLingering, descriptorMinAge)
}

// evictOlder is evict among connections that have been in their state for minAge, and those that
// linger. s.mu is held.
func (s *Server) evictOlder(from connState, minAge time.Duration) bool {
	now := time.Now()
	var victim *conn
	for c := range s.conns {
		if c.state < from || !c.isEvictable(now, minAge) || victim != nil && !c.evictedBefore(victim, now) {
			continue
		}
		// Guards against a close with a request that has come and was not read: it would be lost.
		// Where the last response was written, unread bytes would reset the connection before it
		// has arrived.
		if c.state <= connNew && c.hasUnread() {
			continue
		}
		victim = c
	}
	if victim == nil {
		return false
	}
	s.close(victim, CloseForRoom)
	return true
}

// isEvictable reports whether a connection may be evicted by its state and its age in it.
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

// evictedBefore reports whether a connection is evicted rather than another.
func (c *conn) evictedBefore(other *conn, now time.Time) bool {
	rank, otherRank := c.evictionRank(now), other.evictionRank(now)
	return rank < otherRank || rank == otherRank && c.since.Before(other.since)
}

// evictionRank orders connections by how much their clients need them: by state, but an idle one
// that had a request a short time ago comes after the new ones.
func (c *conn) evictionRank(now time.Time) int {
	if c.state == connIdle && now.Sub(c.since) < minIdleTime {
		return 2*int(connNew) + 1
	}
	return 2 * int(c.state)
}

// hasTooManyIdle reports whether a response should be the last on its connection, since there are
// more idle connections than the server allows. A client may have only so many connections, and one
// that sends a request on each and leaves them idle would have none for further requests.
// Connections that have been idle for minIdleTime are closed first.
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

// oldestIdle returns the connection that has been idle the longest, of those on which no request
// has come; nil if there is none. s.mu is held.
func (s *Server) oldestIdle() *conn {
	var oldest *conn
	for c := range s.conns {
		if c.state == connIdle && (oldest == nil || c.since.Before(oldest.since)) && !c.hasUnread() {
			oldest = c
		}
	}
	return oldest
}
