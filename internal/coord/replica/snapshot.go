package replica

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// installSnapshot replaces the state with that of a snapshot, which comes from disk or from the
// leader.
func (c *Core) installSnapshot(s *raftpb.Snapshot) error {
	if err := c.storage.ApplySnapshot(s); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	machine, err := coord.Restore(s.GetData())
	if err != nil {
		return err
	}
	if machine.Cluster() != c.cfg.Cluster {
		return &ClusterError{Snapshot: machine.Cluster(), Own: c.cfg.Cluster}
	}
	c.machine = machine
	c.confState = s.GetMetadata().GetConfState()
	c.applied, c.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// createSnapshotIfDue creates a snapshot if SnapshotInterval entries were applied since the last
// one, or if the members have changed. The next round saves it.
func (c *Core) createSnapshotIfDue() {
	if c.applied < c.snapshotIndex+c.cfg.SnapshotInterval && !c.membersChanged {
		return
	}
	c.membersChanged = false
	s, err := c.storage.CreateSnapshot(c.applied, c.confState, c.machine.Snapshot())
	if err != nil {
		c.fail(fmt.Errorf("snapshot: %w", err))
		return
	}
	c.snapshotIndex = c.applied
	c.pendingWrite.Snapshot = s
	c.compactLog()
}

// compactLog drops the entries before the snapshot, except the last RetainedEntries, which are kept
// for members that lag behind.
func (c *Core) compactLog() {
	if c.applied <= c.cfg.RetainedEntries {
		return
	}
	compacted := c.applied - c.cfg.RetainedEntries
	if c.storage.Compact(compacted) == nil { // fails if the log is already compacted beyond this index
		c.pendingWrite.FirstIndex = compacted + 1
	}
}
