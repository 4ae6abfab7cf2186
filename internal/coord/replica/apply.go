package replica

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"frostlink/internal/coord"
)

// applyEntry applies a committed entry.
func (c *Core) applyEntry(e *raftpb.Entry) error {
	c.applied = e.GetIndex()
	switch {
	case e.GetType() != raftpb.EntryNormal:
		return c.applyMemberChange(e)
	case len(e.GetData()) == 0:
		return nil // the empty entry that the Raft library appends at the start of a term
	}
	entry, err := coord.DecodeEntry(e.GetData())
	if err != nil {
		return err
	}
	results := c.machine.Apply(e.GetIndex(), entry)
	if entry.Proposer != c.cfg.ID || entry.Incarnation != c.incarnations.own.Number {
		return nil
	}
	for i, tag := range c.proposed[entry.ProposalID] {
		c.completions = append(c.completions, Completion{Tag: tag, Result: results[i]})
	}
	delete(c.proposed, entry.ProposalID)
	return nil
}

// applyMemberChange applies a committed membership change.
func (c *Core) applyMemberChange(e *raftpb.Entry) error {
	if e.GetType() != raftpb.EntryConfChangeV2 {
		return fmt.Errorf("membership change: unknown entry type %v", e.GetType())
	}
	var confChange raftpb.ConfChangeV2
	if err := proto.Unmarshal(e.GetData(), &confChange); err != nil {
		return fmt.Errorf("membership change: %w", err)
	}
	c.confState = c.node.ApplyConfChange(&confChange)
	c.membersChanged = true
	if len(confChange.GetContext()) == 0 {
		return nil // the Raft library's own change, which leaves a joint configuration
	}
	var change memberChange
	if err := json.Unmarshal(confChange.GetContext(), &change); err != nil {
		return fmt.Errorf("membership change: %w", err)
	}
	if change.Add != nil {
		c.machine.AddMember(e.GetIndex(), *change.Add)
	} else {
		c.machine.RemoveMember(e.GetIndex(), change.Remove)
	}
	return nil
}
