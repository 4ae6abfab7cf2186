package coord

import (
	"slices"
	"time"
)

// EventKind is what became of a lease.
type EventKind string

// The kinds of events.
const (
	EventGranted     EventKind = "granted"
	EventReleased    EventKind = "released"
	EventTransferred EventKind = "handed over"
	EventRevoking    EventKind = "being revoked" // its holder still may act
	EventRevoked     EventKind = "revoked"       // and was not released in time
	EventExpired     EventKind = "ended"         // with its holder's session
	EventClosed      EventKind = "closed"        // with its holder's session, by the holder
)

// Event is one event of a lease.
type Event struct {
	Index      uint64        `json:"index"` // of the log's entry
	At         time.Duration `json:"at"`    // of the machine's time
	WallMillis int64         `json:"wall"`  // of the leader's wall clock, in milliseconds since 1970
	Lease      string        `json:"lease"`
	Token      uint64        `json:"token"`
	Holder     string        `json:"holder"` // the session's name
	Kind       EventKind     `json:"what"`
	Reason     string        `json:"reason,omitempty"`
}

// record adds an event of a lease to the history.
func (m *Machine) record(l *leaseState, holder string, kind EventKind, reason string) {
	if len(m.history) >= MaxRetainedEvents {
		m.history = slices.Clone(m.history[MaxRetainedEvents/compactionDivisor:])
	}
	m.history = append(m.history, Event{
		Index: m.index, At: m.now, WallMillis: m.wallMillis, Lease: l.Name, Token: l.Token, Holder: holder,
		Kind: kind, Reason: reason,
	})
}

// History returns the retained events of a lease, the latest last; those of all leases where the
// name is empty.
func (m *Machine) History(lease string) []Event {
	var list []Event
	for _, e := range m.history {
		if lease == "" || e.Lease == lease {
			list = append(list, e)
		}
	}
	return list
}
