package replica

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"frostlink/internal/coord"
)

// memberChange is the context of an entry that changes the members. It holds the data that the
// state machine needs in addition to Raft's own configuration change.
type memberChange struct {
	Add    *coord.Member `json:"join,omitempty"`
	Remove uint64        `json:"leave,omitempty"`
}

// AddMember proposes to add a learner, or to promote a learner to a voter.
func (c *Core) AddMember(m coord.Member) error {
	if err := c.machine.ValidateAdd(m); err != nil {
		return err
	}
	kind := raftpb.ConfChangeAddNode
	if m.Learner {
		kind = raftpb.ConfChangeAddLearnerNode
	} else if !c.hasCaughtUp(m.ID) {
		return &NotCaughtUpError{Member: m.ID}
	}
	return c.proposeMemberChange(kind, m.ID, memberChange{Add: &m})
}

// RemoveMember proposes to remove a member.
func (c *Core) RemoveMember(id uint64) error {
	if err := c.machine.ValidateRemove(id); err != nil {
		return err
	}
	return c.proposeMemberChange(raftpb.ConfChangeRemoveNode, id, memberChange{Remove: id})
}

func (c *Core) proposeMemberChange(kind raftpb.ConfChangeType, id uint64, change memberChange) error {
	if !c.leading {
		return ErrNotLeader
	}
	context, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("membership change: %w", err)
	}
	err = c.node.ProposeConfChange(&raftpb.ConfChangeV2{
		Context: context,
		Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: &id}},
	})
	if err != nil {
		return &ProposalError{Err: err}
	}
	return nil
}

// hasCaughtUp reports whether a member lacks at most maxVoterLag entries of the log.
func (c *Core) hasCaughtUp(id uint64) bool {
	progress, ok := c.node.Status().Progress[id]
	return ok && progress.Match > 0 && progress.Match+maxVoterLag >= c.applied
}
