package replica

import (
	"slices"

	"frostlink/internal/coord"
)

// Status returns the member's status.
func (c *Core) Status() coord.Status {
	raftStatus := c.node.Status()
	s := coord.Status{
		ID: c.cfg.ID, Incarnation: c.incarnations.own.Number, Leader: raftStatus.Lead, Term: raftStatus.GetTerm(),
		Applied: c.applied, Committed: raftStatus.GetCommit(), Snapshot: c.snapshotIndex,
	}
	s.Role, s.Detail = c.role(raftStatus.Lead)
	ids, _ := c.announcementTargets()
	for _, id := range ids {
		p := coord.Peer{
			ID: id, Acknowledged: c.incarnations.acknowledged[id], Learner: slices.Contains(c.confState.GetLearners(), id),
		}
		if progress, ok := raftStatus.Progress[id]; ok {
			p.Match, p.Active = progress.Match, progress.RecentActive
		}
		s.Peers = append(s.Peers, p)
	}
	return s
}

// role returns the member's role and, if it takes no part in consensus, the reason.
func (c *Core) role(leader uint64) (role coord.Role, detail string) {
	switch {
	case c.failed != nil:
		return coord.RoleFailed, c.failed.Error()
	case !c.incarnations.announced:
		return coord.RoleUnannounced, "too few other members have been reached to be a majority with it"
	case c.leading:
		return coord.RoleLeader, ""
	case leader != 0:
		return coord.RoleFollower, ""
	}
	return coord.RoleCandidate, ""
}
