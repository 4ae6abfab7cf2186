package http1

import (
	"container/list"
	"time"
)

const (
	// minIdleTime is the time for which a connection must be idle before it is evicted ahead of new
	// connections.
	minIdleTime = 2 * time.Second
	// descriptorMinAge is the time for which a connection must be new, idle or stalled before it is evicted
	// because of a descriptor shortage. After this time a request is rarely still in transit.
	descriptorMinAge = 500 * time.Millisecond
	// minStall is the time without a byte after which a request that was read in part counts as
	// stalled. Clients send a request without pauses.
	minStall = 10 * time.Millisecond
	// maxEvictionChecks bounds the connections in one state that are checked for unread bytes, which takes a system call each.
	maxEvictionChecks = 8
)

// evict closes the connection that its client is least likely to need, and reports whether there was
// one to close. It prefers, in this order, a lingering connection, one that has been idle for
// minIdleTime, a new one, a stalled one, and any other idle one: its client has shown that it completes
// its requests. It closes no connection that awaits a response, and none in a state that is declared
// before the state from. s.mu is held.
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
	return s.evictUnused(from, minAge) || s.evictFrom(evictionCandidates{connIdle, minAge})
}

// evictUnused is like evictOlder, but spares connections whose client has completed a request within minIdleTime. s.mu is held.
func (s *Server) evictUnused(from connState, minAge time.Duration) bool {
	for _, candidates := range []evictionCandidates{
		{connLingering, 0},
		{connIdle, max(minAge, minIdleTime)},
		{connNew, minAge},
		{connReading, max(minAge, minStall)},
	} {
		if candidates.state >= from && s.evictFrom(candidates) {
			return true
		}
	}
	return false
}

// evictionCandidates are the connections that have been in a state, or have stalled, for at least minAge.
type evictionCandidates struct {
	state  connState
	minAge time.Duration
}

// evictFrom closes the first candidate without unread bytes, and reports whether there was one. s.mu is held.
func (s *Server) evictFrom(candidates evictionCandidates) bool {
	victim := firstQuiet(&s.byState[candidates.state], candidates.minAge)
	if victim == nil {
		return false
	}
	s.close(victim, CloseEvicted)
	return true
}

// evictHolder closes the connection that has stalled the longest of those that hold chunks, so that it returns its chunks. It reports
// false if there is none. s.mu is held.
func (s *Server) evictHolder() bool {
	victim := firstQuiet(&s.holders, minStall)
	if victim == nil {
		return false
	}
	s.holders.Remove(victim.inHolders)
	victim.inHolders = nil
	s.close(victim, CloseForMemory)
	return true
}

// firstQuiet returns the first of a list's connections without bytes that are unread or being handled, if it has been in its state, or
// made no progress, for minAge; nil if there is none. A request in them would be lost with the connection, and on a lingering connection
// a close with unread bytes is a reset, which may overtake the last response. The caller has to close the connection.
func firstQuiet(conns *list.List, minAge time.Duration) *conn {
	now := time.Now()
	checks := 0
	for e := conns.Front(); e != nil && checks < maxEvictionChecks; e = e.Next() {
		c := e.Value.(*conn) // the lists hold nothing else
		if now.Sub(c.quietSince()) < minAge {
			return nil
		}
		if !c.isGone() && c.claimForEviction() {
			return c
		}
		checks++
	}
	return nil
}

// quietSince returns since when the connection has been in its state or, while its request is read, has made no progress.
func (c *conn) quietSince() time.Time {
	if c.state == connReading {
		return c.progressAt
	}
	return c.since
}

// reserveIdle reports whether a connection may become idle after its response; if not, the response should be the last. Without
// the bound on idle connections, a client with a limited number of connections that sends one request on each and leaves it idle
// has no connection for further requests. Connections that have been idle for minIdleTime are closed first.
func (s *Server) reserveIdle(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.maxIdle
	if c.tookChunks && s.crowded.Load() {
		limit /= 2 // the rest is for clients with small requests, which cost less
	}
	for s.countOf(connIdle)+s.becomingIdle >= limit {
		oldest := firstQuiet(&s.byState[connIdle], minIdleTime)
		if oldest == nil {
			return false
		}
		s.close(oldest, CloseTooManyIdle)
	}
	if !c.becomesIdle {
		c.becomesIdle = true
		s.becomingIdle++
	}
	return true
}

// releaseIdle undoes reserveIdle once the connection has entered another state. s.mu is held.
func (s *Server) releaseIdle(c *conn) {
	if c.becomesIdle {
		c.becomesIdle = false
		s.becomingIdle--
	}
}
