package replica

import (
	"fmt"
	"maps"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// Life names one run of a member: its number is one more than that of the run before by the member's own disk, and
// the nonce tells apart two runs that were started from copies of the same disk.
type Life struct {
	Number uint64 `json:"number"`
	Nonce  uint64 `json:"nonce"`
}

// after tells whether a life can't be an earlier one, nor the same, of the member that other is of.
func (l Life) after(other Life) bool { return l.Number > other.Number }

// Disk is what a member has on disk.
type Disk struct {
	Lives    []Life          // so far, the latest last; the oldest are dropped beyond MostLives
	Marks    map[uint64]Life // the latest known of each other member
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry // consecutive
}

// Write is what has to be on disk, whole or not at all, before what depends on it leaves the member.
type Write struct {
	Lives    []Life // replace those on disk
	Marks    map[uint64]Life
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot // replaces the one before
	Entries  []*raftpb.Entry  // replace all from the first one's index on
	First    uint64           // entries before this index may go; 0: as before
	Whole    bool             // the snapshot came from another member: no entry that is on disk counts any more
}

// empty tells that there is nothing to write.
func (w *Write) empty() bool {
	return len(w.Lives) == 0 && len(w.Marks) == 0 && w.Hard == nil && w.Snapshot == nil && len(w.Entries) == 0 && w.First == 0
}

// Apply does to a disk what a write says. What it shares with the old disk is not changed, so a copy of the struct
// stays what it was.
func (d *Disk) Apply(w Write) {
	if len(w.Lives) > 0 {
		d.Lives = w.Lives
	}
	if len(w.Marks) > 0 {
		marks := maps.Clone(d.Marks)
		if marks == nil {
			marks = map[uint64]Life{}
		}
		maps.Copy(marks, w.Marks)
		d.Marks = marks
	}
	if w.Hard != nil {
		d.Hard = w.Hard
	}
	if w.Snapshot != nil {
		d.Snapshot = w.Snapshot
	}
	if w.Whole {
		d.Entries = nil
	}
	if len(w.Entries) > 0 {
		kept := d.Entries
		for len(kept) > 0 && kept[len(kept)-1].GetIndex() >= w.Entries[0].GetIndex() {
			kept = kept[:len(kept)-1]
		}
		d.Entries = append(kept[:len(kept):len(kept)], w.Entries...)
	}
	for w.First > 0 && len(d.Entries) > 0 && d.Entries[0].GetIndex() < w.First {
		d.Entries = d.Entries[1:]
	}
}

// Replay gives the state that a disk leads to, as far as it is known to be committed.
func Replay(cluster string, disk Disk) (*coord.Machine, error) {
	c, err := New(Config{Cluster: cluster, ID: 1, ElectionTicks: 2, HeartbeatTicks: 1}, disk)
	if err != nil {
		return nil, err
	}
	for _, e := range disk.Entries {
		if e.GetIndex() <= c.applied || e.GetIndex() > disk.Hard.GetCommit() {
			continue
		}
		if err := c.applyEntry(e); err != nil {
			return nil, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	return c.machine, nil
}
