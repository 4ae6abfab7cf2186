package coord

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// SnapshotVersion is the form of a snapshot.
const SnapshotVersion = 1

// image is a snapshot: all that later entries depend on. Changes for watches are not in it: a watch from before is
// told to read anew.
type image struct {
	Version  int           `json:"version"`
	Cluster  string        `json:"cluster"`
	Now      time.Duration `json:"now"`
	Wall     int64         `json:"wall"`
	Index    uint64        `json:"index"`
	Stamp    uint64        `json:"stamp"`
	Opened   uint64        `json:"opened"`
	Tokens   uint64        `json:"tokens"`
	Revision uint64        `json:"revision"`
	Sessions []*session    `json:"sessions"`
	Leases   []*held       `json:"leases"`
	Values   []*Value      `json:"values"`
	History  []Event       `json:"history"`
	Members  []Member      `json:"members"`
	Retired  []uint64      `json:"retired"`
}

// byKey gives a map's values in the order of their keys.
func byKey[K ~string | ~uint64, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}

// Snapshot gives the state's bytes: the same bytes for the same state.
func (m *Machine) Snapshot() []byte {
	raw, err := json.Marshal(image{
		Version: SnapshotVersion, Cluster: m.cluster, Now: m.now, Wall: m.wall, Index: m.index, Stamp: m.stamp,
		Opened: m.opened, Tokens: m.tokens, Revision: m.revision, Sessions: byKey(m.sessions), Leases: byKey(m.leases),
		Values: byKey(m.values), History: m.history, Members: m.Members(), Retired: m.retired,
	})
	if err != nil {
		panic(fmt.Sprintf("coord: a state that can't be encoded: %v", err)) // its types all can
	}
	return raw
}

// Restore makes the state of a snapshot. An error means another version's snapshot, damage, or a state that no log
// leads to.
func Restore(raw []byte) (*Machine, error) {
	var i image
	if err := json.Unmarshal(raw, &i); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if i.Version != SnapshotVersion {
		return nil, fmt.Errorf("snapshot: version %d; this program reads version %d", i.Version, SnapshotVersion)
	}
	m := New(i.Cluster)
	m.now, m.wall, m.index, m.stamp = i.Now, i.Wall, i.Index, i.Stamp
	m.opened, m.tokens, m.revision, m.history = i.Opened, i.Tokens, i.Revision, i.History
	m.before, m.retired = i.Revision, i.Retired
	for _, member := range i.Members {
		m.members[member.ID] = member
	}
	m.soonest = math.MaxInt64
	for _, s := range i.Sessions {
		if s == nil || s.ID == 0 || s.ID > m.opened || m.sessions[s.ID] != nil || m.nonces[s.Nonce] != 0 {
			return nil, fmt.Errorf("snapshot: sessions: one is missing, listed twice or was never opened")
		}
		s.holds, s.waits = map[string]*held{}, map[string]*held{}
		m.sessions[s.ID] = s
		m.nonces[s.Nonce] = s.ID
		m.soonest = min(m.soonest, s.Deadline)
	}
	for _, l := range i.Leases {
		if err := m.restoreLease(l); err != nil {
			return nil, err
		}
	}
	for _, v := range i.Values {
		if v == nil || m.values[v.Key] != nil || v.Version > m.revision {
			return nil, fmt.Errorf("snapshot: values: one is missing, listed twice or newer than the state")
		}
		m.values[v.Key] = v
		m.bytes += len(v.Value)
	}
	return m, nil
}

func (m *Machine) restoreLease(l *held) error {
	switch {
	case l == nil || m.leases[l.Name] != nil:
		return fmt.Errorf("snapshot: leases: one is missing or listed twice")
	case m.sessions[l.Holder] == nil:
		return fmt.Errorf("snapshot: lease %q: its holder has no session", l.Name)
	case l.Token > m.tokens:
		return fmt.Errorf("snapshot: lease %q: token %d, and only %d were granted", l.Name, l.Token, m.tokens)
	}
	m.leases[l.Name] = l
	m.sessions[l.Holder].holds[l.Name] = l
	if l.Revoked {
		m.ending[l.Name] = l
	}
	for _, w := range l.Queue {
		s := m.sessions[w.Session]
		if s == nil || s.waits[l.Name] != nil {
			return fmt.Errorf("snapshot: lease %q: one who waits has no session or waits twice", l.Name)
		}
		s.waits[l.Name] = l
		m.waiting++
	}
	return nil
}
