package replica

import (
	"time"

	"go.etcd.io/raft/v3"

	"frostlink/internal/coord"
)

// resetElectionTimer begins a new wait for a leader, of a random length.
func (c *Core) resetElectionTimer() {
	c.ticksSinceLeader, c.electionTimeout = 0, c.cfg.ElectionTicks+c.rand.IntN(c.cfg.ElectionTicks)
}

// updateLeadership notes who leads. A new leader's time begins with its term, and its first entry
// renews all sessions. A member that leads no more can't know what becomes of the commands that it
// has accepted.
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

// TransferLeadership asks another voter to lead, before this one stops.
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
