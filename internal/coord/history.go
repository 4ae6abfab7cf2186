package coord

import (
	"slices"
	"time"
)

// EventKind is the kind of a change to a lease.
type EventKind string

// The kinds of events.
const (
	EventGranted     EventKind = "granted"
	EventReleased    EventKind = "released"
	EventTransferred EventKind = "handed over"
	EventRevoking    EventKind = "being revoked" // an operator has revoked the lease; the holder may still act
	EventRevoked     EventKind = "revoked"       // an operator had revoked the lease, and the holder did not release it in time
	EventExpired     EventKind = "ended"         // the holder's session expired
	EventClosed      EventKind = "closed"        // the holder closed its session
)

// Event is a change to a lease.
type Event struct {
	Index      uint64        `json:"index"` // of the entry in the log
	At         time.Duration `json:"at"`    // time of the state machine
	WallMillis int64         `json:"wall"`  // the leader's wall clock, in milliseconds since 1970
	Lease      string        `json:"lease"`
	Token      uint64        `json:"token"`
	Holder     string        `json:"holder"` // the session's name
	Kind       EventKind     `json:"what"`
	Reason     string        `json:"reason,omitempty"`
}

// record adds an event of a lease to the history. It first drops the oldest quarter of the history
// if the history is full.
func (m *Machine) record(l *leaseState, holder string, kind EventKind, reason string) {
	if len(m.history) >= MaxRetainedEvents {
		m.history = slices.Clone(m.history[MaxRetainedEvents/compactionDivisor:])
	}
	m.history = append(m.history, Event{
		Index: m.index, At: m.now, WallMillis: m.wallMillis, Lease: l.Name, Token: l.Token, Holder: holder,
		Kind: kind, Reason: reason,
	})
}

// History returns the retained events of a lease, or of all leases if the name is empty, the latest
// last.
func (m *Machine) History(lease string) []Event {
	var list []Event
	for _, e := range m.history {
		if lease == "" || e.Lease == lease {
			list = append(list, e)
		}
	}
	return list
}
