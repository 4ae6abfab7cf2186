package replica

import (
	"fmt"
	"maps"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// PersistentState is what a member has on disk.
type PersistentState struct {
	Incarnations     []Incarnation          // of this member, the latest last; at most MaxIncarnations
	PeerIncarnations map[uint64]Incarnation // the latest one known of each other member
	HardState        *raftpb.HardState
	Snapshot         *raftpb.Snapshot
	Entries          []*raftpb.Entry // consecutive
}

// WriteBatch is what has to be on disk, all of it or nothing, before what depends on it is sent.
type WriteBatch struct {
	Incarnations     []Incarnation          // replace those on disk
	PeerIncarnations map[uint64]Incarnation // replace those on disk of the same members
	HardState        *raftpb.HardState
	Snapshot         *raftpb.Snapshot // replaces the one on disk
	Entries          []*raftpb.Entry  // replace all from the first one's index on
	FirstIndex       uint64           // entries before this index may be deleted; 0: none
	ReplaceLog       bool             // the snapshot came from another member: the entries on disk do not count any more
}

func (b *WriteBatch) empty() bool {
	return len(b.Incarnations) == 0 && len(b.PeerIncarnations) == 0 && b.HardState == nil && b.Snapshot == nil &&
		len(b.Entries) == 0 && b.FirstIndex == 0
}

// Bootstrap returns the disk of a member with which a cluster begins: a snapshot that names the
// members.
func Bootstrap(cluster string, members []coord.Member) PersistentState {
	machine := coord.New(cluster)
	confState := &raftpb.ConfState{}
	for _, m := range members {
		machine.AddMember(1, m)
		confState.Voters = append(confState.Voters, m.ID)
	}
	return PersistentState{
		HardState: &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))},
		Snapshot: &raftpb.Snapshot{Data: machine.Snapshot(), Metadata: &raftpb.SnapshotMetadata{
			ConfState: confState, Index: new(uint64(1)),
			Term: new(uint64(1)),
		}},
	}
}

// Apply does to the state what a batch says. It is the model of a disk for simulations and tests.
// What the state shares with copies of it is not changed, so that a copy of the struct stays as it
// was.
func (s *PersistentState) Apply(b WriteBatch) {
	if len(b.Incarnations) > 0 {
		s.Incarnations = b.Incarnations
	}
	if len(b.PeerIncarnations) > 0 {
		peers := maps.Clone(s.PeerIncarnations)
		if peers == nil {
			peers = map[uint64]Incarnation{}
		}
		maps.Copy(peers, b.PeerIncarnations)
		s.PeerIncarnations = peers
	}
	if b.HardState != nil {
		s.HardState = b.HardState
	}
	if b.Snapshot != nil {
		s.Snapshot = b.Snapshot
	}
	s.applyEntries(b)
}

func (s *PersistentState) applyEntries(b WriteBatch) {
	if b.ReplaceLog {
		s.Entries = nil
	}
	if len(b.Entries) > 0 {
		before := s.Entries
		for len(before) > 0 && before[len(before)-1].GetIndex() >= b.Entries[0].GetIndex() {
			before = before[:len(before)-1]
		}
		s.Entries = append(before[:len(before):len(before)], b.Entries...)
	}
	for b.FirstIndex > 0 && len(s.Entries) > 0 && s.Entries[0].GetIndex() < b.FirstIndex {
		s.Entries = s.Entries[1:]
	}
}

// Replay returns the state machine to which a disk leads, as far as its log is known to be
// committed.
func Replay(cluster string, state PersistentState) (*coord.Machine, error) {
	c, err := New(Config{Cluster: cluster, ID: 1, ElectionTicks: 2, HeartbeatTicks: 1}, state)
	if err != nil {
		return nil, err
	}
	for _, e := range state.Entries {
		if e.GetIndex() <= c.applied || e.GetIndex() > state.HardState.GetCommit() {
			continue
		}
		if err := c.applyEntry(e); err != nil {
			return nil, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	return c.machine, nil
}
