package replica

import (
	"time"

	"go.etcd.io/raft/v3"

	"frostlink/internal/coord"
)

// resetElectionTimer restarts the election timer with a new random timeout.
func (c *Core) resetElectionTimer() {
	c.ticksSinceLeader, c.electionTimeout = 0, c.cfg.ElectionTicks+c.rand.IntN(c.cfg.ElectionTicks)
}

// updateLeadership records the current leader. When this member becomes the leader, elapsed time is
// counted from now, and its first entry renews all sessions. When it stops being the leader, the
// outcome of its accepted commands is unknown to it.
func (c *Core) updateLeadership(ready *raft.Ready, now time.Duration, wallMillis int64) {
	if ready.HardState != nil && ready.GetTerm() != c.term {
		c.term = ready.GetTerm()
		c.resetElectionTimer()
	}
	if ready.SoftState == nil {
		return
	}
	c.leader = ready.Lead
	leads := ready.RaftState == raft.StateLeader
	switch {
	case leads && !c.leading:
		c.leading, c.lastProposal = true, now
		c.proposeEntry(coord.Entry{NewTerm: c.term}, wallMillis)
	case !leads && c.leading:
		c.leading = false
		c.completeAllUnknown()
	}
	c.resetElectionTimer()
}

// TransferLeadership asks another voter, one that has acknowledged this member's incarnation, to
// become the leader before this member stops. It does nothing if there is no such voter, or if this
// member is not the leader.
func (c *Core) TransferLeadership() {
	if !c.leading {
		return
	}
	for _, id := range c.confState.GetVoters() {
		if id != c.cfg.ID && c.incarnations.acknowledged[id] {
			c.node.TransferLeader(id)
			return
		}
	}
}
