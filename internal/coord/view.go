package coord

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Lease describes a lease that is held, for operators.
type Lease struct {
	Name     string        `json:"name"`
	Holder   string        `json:"holder"` // the session's name
	Session  uint64        `json:"session"`
	Reason   string        `json:"reason,omitempty"`
	Token    uint64        `json:"token"`
	HeldFor  time.Duration `json:"for"`
	TimeLeft time.Duration `json:"lasts"` // time until the grant expires if the session is not renewed; a revoked grant is not renewed
	Revoked  bool          `json:"being_revoked,omitempty"`
	Queue    []string      `json:"queue,omitempty"` // names of the queued sessions, the next holder first
}

// Leases returns the leases that are held and whose names begin with a prefix, sorted by name.
func (m *Machine) Leases(prefix string) []Lease {
	var list []Lease
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		if strings.HasPrefix(name, prefix) {
			list = append(list, m.leaseView(m.leases[name]))
		}
	}
	return list
}

func (m *Machine) leaseView(l *leaseState) Lease {
	holder := m.sessions[l.Holder]
	view := Lease{
		Name: l.Name, Holder: holder.Name, Session: holder.ID, Reason: l.Reason, Token: l.Token, HeldFor: m.now - l.Since,
		TimeLeft: holder.Deadline - m.now, Revoked: l.Revoked,
	}
	if l.Revoked {
		view.TimeLeft = l.RevokedUntil - m.now
	}
	for _, q := range l.Queue {
		view.Queue = append(view.Queue, m.sessions[q.Session].Name)
	}
	return view
}

// Counts is the size of each table.
type Counts struct {
	Sessions       int `json:"sessions"`
	Leases         int `json:"leases"`
	QueuedRequests int `json:"waiting"`
	Values         int `json:"values"`
	ValueBytes     int `json:"value_bytes"`
}

// Counts returns the sizes of the tables.
func (m *Machine) Counts() Counts {
	return Counts{
		Sessions: len(m.sessions), Leases: len(m.leases), QueuedRequests: m.queuedRequests, Values: len(m.values),
		ValueBytes: m.valueBytes,
	}
}
