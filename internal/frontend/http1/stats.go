package http1

import (
	"maps"

	"frostlink/internal/frontend"
)

// Reasons for rejections that are found while a request is read.
const (
	rejectNoMemory     frontend.RejectionReason = "no memory"
	rejectIncomplete   frontend.RejectionReason = "incomplete in time"
	rejectHeadTooLarge frontend.RejectionReason = "head too large"
	rejectMalformed    frontend.RejectionReason = "malformed head"
	rejectPipelined    frontend.RejectionReason = "more bytes after the request"
)

// stateNames are the names of the states in the metrics.
var stateNames = [connStates]string{
	connLingering: "lingering", connIdle: "idle", connNew: "new", connReading: "reading", connAwaitingResponse: "awaiting_response",
}

// connStats counts events of connections. It is guarded by the server's lock.
type connStats struct {
	closed   map[CloseReason]int64
	rejected map[frontend.RejectionReason]int64
}

func newConnStats() connStats {
	return connStats{closed: map[CloseReason]int64{}, rejected: map[frontend.RejectionReason]int64{}}
}

// Stats are the metrics of a server. The counts start at 0 with the process.
type Stats struct {
	Connections map[string]int                     `json:"connections"` // by state
	Closed      map[CloseReason]int64              `json:"closed"`      // connections closed, by reason
	Rejected    map[frontend.RejectionReason]int64 `json:"rejected"`    // requests rejected without a decision of the relay, by reason
	// Memory is the use of memory by owner.
	Memory map[string]MemoryUse `json:"memory"`
}

// Stats returns the metrics.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Connections: map[string]int{}, Closed: maps.Clone(s.stats.closed), Rejected: maps.Clone(s.stats.rejected),
		Memory: map[string]MemoryUse{"requests_read": s.chunks.use(), "requests_awaiting_decision": s.awaiting.use()},
	}
	stats.Connections["pending"] = len(s.pending)
	for state, name := range stateNames {
		if name != "" {
			stats.Connections[name] = s.countOf(connState(state))
		}
	}
	return stats
}

// countRejection counts a request that is rejected without a decision of the relay.
func (s *Server) countRejection(reason frontend.RejectionReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.rejected[reason]++
}
