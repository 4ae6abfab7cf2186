package replica

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// ProcessReady does one round: it saves the changes to the persistent state, and only then sends
// the messages and completions that depend on them. It reports false if there was nothing to do. A
// failed save stops the member for good, since its memory and its disk differ then.
//
// now is the time on the boot-time clock, read after the events were received, so that a renewal
// counts from no earlier than the time when the client sent it. wallMillis is the wall clock, which
// is only shown to operators.
func (c *Core) ProcessReady(now time.Duration, wallMillis int64, save func(WriteBatch) error, send func(Output)) (bool, error) {
	if c.failed != nil {
		return false, c.failed
	}
	c.proposeQueued(now, wallMillis)
	ready := raft.Ready{}
	hasReady := c.node.HasReady()
	if hasReady {
		ready = c.node.Ready()
	}
	batch := c.takeWriteBatch(&ready)
	if err := c.persist(batch, save); err != nil {
		return false, err
	}
	if err := c.apply(&ready, now, wallMillis); err != nil {
		c.fail(err)
		return false, err
	}
	output := c.takeOutput(&ready)
	if !output.empty() {
		send(output)
	}
	if hasReady {
		c.node.Advance(ready)
		c.createSnapshotIfDue()
	}
	return !batch.empty() || !output.empty() || len(ready.CommittedEntries) > 0, c.failed
}

// takeWriteBatch returns the changes that have to be on disk before the round sends anything.
func (c *Core) takeWriteBatch(ready *raft.Ready) WriteBatch {
	batch := c.pendingWrite
	c.pendingWrite = WriteBatch{}
	batch.Entries, batch.HardState = ready.Entries, ready.HardState
	if !raft.IsEmptySnap(ready.Snapshot) {
		batch.Snapshot, batch.ReplaceLog, batch.FirstIndex = ready.Snapshot, true, 0
	}
	return batch
}

// persist saves a batch unless it is empty.
func (c *Core) persist(batch WriteBatch, save func(WriteBatch) error) error {
	if batch.empty() {
		return nil
	}
	if err := save(batch); err != nil {
		c.fail(err)
		return err
	}
	return nil
}

// apply updates the in-memory state after the save, and applies the committed entries.
func (c *Core) apply(ready *raft.Ready, now time.Duration, wallMillis int64) error {
	if err := c.mirrorSaved(ready); err != nil {
		return err
	}
	for _, e := range ready.CommittedEntries {
		if err := c.applyEntry(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	c.updateLeadership(ready, now, wallMillis)
	c.completeReads(ready.ReadStates)
	return nil
}

// mirrorSaved updates the in-memory storage with the saved snapshot, term, vote and entries.
func (c *Core) mirrorSaved(ready *raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		_ = c.storage.SetHardState(ready.HardState) // always returns nil
	}
	if err := c.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// completeReads completes the reads whose index a majority has confirmed and whose index is
// applied.
func (c *Core) completeReads(confirmed []raft.ReadState) {
	for _, state := range confirmed {
		tag := binary.BigEndian.Uint64(state.RequestCtx)
		for i := range c.reads {
			if c.reads[i].tag == tag {
				c.reads[i].index = max(state.Index, 1)
			}
		}
	}
	c.reads = slices.DeleteFunc(c.reads, func(r pendingRead) bool {
		completed := r.index > 0 && r.index <= c.applied
		if completed {
			c.completions = append(c.completions, Completion{Tag: r.tag, Read: true})
		}
		return completed
	})
}

// takeOutput returns the messages and completions that may be sent now that the state is on disk.
func (c *Core) takeOutput(ready *raft.Ready) Output {
	for _, m := range ready.Messages {
		c.sendRaft(m)
	}
	output := Output{Messages: c.outbox, Completions: c.completions}
	c.outbox, c.completions = nil, nil
	if changed := c.machine.TakeChangedSessions(); c.leading {
		output.ChangedSessions = changed
	}
	return output
}
