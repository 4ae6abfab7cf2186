package replica

import (
	"fmt"
	"maps"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// PersistentState is a member's state on disk.
type PersistentState struct {
	Incarnations     []Incarnation          // of this member, the latest last; at most MaxIncarnations
	PeerIncarnations map[uint64]Incarnation // latest known incarnation of each other member
	HardState        *raftpb.HardState
	Snapshot         *raftpb.Snapshot
	Entries          []*raftpb.Entry // with consecutive indexes
}

// WriteBatch is a set of changes to the persistent state. It has to be saved, completely or not at
// all, before messages or results that depend on it are sent.
type WriteBatch struct {
	Incarnations     []Incarnation          // replace the incarnations on disk; empty: no change
	PeerIncarnations map[uint64]Incarnation // replace the incarnations of the same peers on disk
	HardState        *raftpb.HardState
	Snapshot         *raftpb.Snapshot // replaces the snapshot on disk
	Entries          []*raftpb.Entry  // replace the log from the first entry's index on
	FirstIndex       uint64           // entries before this index may be deleted; 0: no entries
	ReplaceLog       bool             // the snapshot came from another member: all entries on disk are obsolete
}

func (b *WriteBatch) empty() bool {
	return len(b.Incarnations) == 0 && len(b.PeerIncarnations) == 0 && b.HardState == nil && b.Snapshot == nil &&
		len(b.Entries) == 0 && b.FirstIndex == 0
}

// Bootstrap returns the initial state of each member of a new cluster: a snapshot that lists the
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

// Apply applies a batch to the state, as a disk would. It is the disk of simulations and tests.
// Maps and slices that copies of the state share are not modified, so a copy of the struct keeps
// its contents.
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

// Replay returns the state machine that results from a persistent state: its snapshot, and the
// entries that it records as committed.
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
