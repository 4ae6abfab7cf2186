package coord

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// SnapshotVersion is the version of a snapshot's encoding.
const SnapshotVersion = 1

// snapshotData is the encoded form of a snapshot. It holds all state on which the results of later
// entries depend. It omits the changes that are retained for watches: a watch that began before the
// snapshot has to read the values again.
type snapshotData struct {
	Version        int           `json:"version"`
	Cluster        string        `json:"cluster"`
	Now            time.Duration `json:"now"`
	WallMillis     int64         `json:"wall"`
	Index          uint64        `json:"index"`
	CommandIndex   uint64        `json:"stamp"`
	LastSessionID  uint64        `json:"opened"`
	LastToken      uint64        `json:"tokens"`
	Revision       uint64        `json:"revision"`
	Sessions       []*session    `json:"sessions"`
	Leases         []*leaseState `json:"leases"`
	Values         []*Value      `json:"values"`
	History        []Event       `json:"history"`
	Members        []Member      `json:"members"`
	RemovedMembers []uint64      `json:"retired"`
}

// valuesByKey returns a map's values, sorted by key.
func valuesByKey[K ~string | ~uint64, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}

// Snapshot encodes the state. Equal states have equal encodings.
func (m *Machine) Snapshot() []byte {
	raw, err := json.Marshal(snapshotData{
		Version: SnapshotVersion, Cluster: m.cluster, Now: m.now, WallMillis: m.wallMillis, Index: m.index,
		CommandIndex: m.commandIndex, LastSessionID: m.lastSessionID, LastToken: m.lastToken, Revision: m.revision,
		Sessions: valuesByKey(m.sessions), Leases: valuesByKey(m.leases), Values: valuesByKey(m.values),
		History: m.history, Members: m.Members(), RemovedMembers: m.removedMembers,
	})
	if err != nil {
		panic(fmt.Sprintf("coord: encode snapshot: %v", err)) // can't happen: all its types can be encoded
	}
	return raw
}

// Restore decodes a snapshot. It returns a VersionError for another version, a SnapshotError for a
// state that is inconsistent, and the decoder's error for invalid JSON.
func Restore(raw []byte) (*Machine, error) {
	var data snapshotData
	if err := json.Unmarshal(raw, &data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if data.Version != SnapshotVersion {
		return nil, &VersionError{Form: "snapshot", Version: data.Version, Supported: SnapshotVersion}
	}
	m := New(data.Cluster)
	m.now, m.wallMillis, m.index, m.commandIndex = data.Now, data.WallMillis, data.Index, data.CommandIndex
	m.lastSessionID, m.lastToken, m.revision = data.LastSessionID, data.LastToken, data.Revision
	m.history, m.compactedRevision, m.removedMembers = data.History, data.Revision, data.RemovedMembers
	for _, member := range data.Members {
		m.members[member.ID] = member
	}
	if err := m.restoreSessions(data.Sessions); err != nil {
		return nil, err
	}
	for _, l := range data.Leases {
		if err := m.restoreLease(l); err != nil {
			return nil, err
		}
	}
	if err := m.restoreValues(data.Values); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Machine) restoreSessions(sessions []*session) error {
	m.earliestDeadline = math.MaxInt64
	for _, s := range sessions {
		if s == nil || s.ID == 0 || s.ID > m.lastSessionID || m.sessions[s.ID] != nil || m.nonces[s.Nonce] != 0 {
			return &SnapshotError{"sessions", "a session is null, listed twice or was never opened"}
		}
		s.held, s.queued = map[string]*leaseState{}, map[string]*leaseState{}
		m.sessions[s.ID] = s
		m.nonces[s.Nonce] = s.ID
		m.earliestDeadline = min(m.earliestDeadline, s.Deadline)
	}
	return nil
}

// restoreLease restores a lease, its queue, and the references to it from the sessions of its
// holder and queue.
func (m *Machine) restoreLease(l *leaseState) error {
	if l == nil || m.leases[l.Name] != nil {
		return &SnapshotError{"leases", "a lease is null or listed twice"}
	}
	part := fmt.Sprintf("lease %q", l.Name)
	switch {
	case m.sessions[l.Holder] == nil:
		return &SnapshotError{part, "its holder's session does not exist"}
	case l.Token > m.lastToken:
		return &SnapshotError{part, fmt.Sprintf("token %d is higher than the last granted token %d", l.Token, m.lastToken)}
	}
	m.leases[l.Name] = l
	m.sessions[l.Holder].held[l.Name] = l
	if l.Revoked {
		m.revoked[l.Name] = l
	}
	for _, q := range l.Queue {
		s := m.sessions[q.Session]
		if s == nil || s.queued[l.Name] != nil {
			return &SnapshotError{part, "a queued session does not exist or is queued twice"}
		}
		s.queued[l.Name] = l
		m.queuedRequests++
	}
	return nil
}

func (m *Machine) restoreValues(values []*Value) error {
	for _, v := range values {
		if v == nil || m.values[v.Key] != nil || v.ModRevision > m.revision {
			return &SnapshotError{"values", "a value is null, listed twice or newer than the state"}
		}
		m.values[v.Key] = v
		m.valueBytes += len(v.Value)
	}
	return nil
}
