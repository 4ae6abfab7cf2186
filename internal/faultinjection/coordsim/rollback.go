package coordsim

import (
	"slices"
	"time"
)

// rollBackDisk restarts a member, later crashes it, and starts it with the disk that it had before the restart. It does so only if
// all other members have acknowledged the new incarnation by then, because only in this case is the rolled-back member required to
// detect the rollback. There is at most one rollback per run, because a majority of members has to keep its disks.
func (s *simulation) rollBackDisk(t target) {
	m := t.member
	if s.rollback || !m.running || s.replacement != notReplacing {
		return
	}
	s.rollback = true
	s.counts[rollbackBegun]++
	old := m.disk
	m.crash()
	m.start()
	s.scheduler.after(s.random.between(500*time.Millisecond, 4*time.Second), nil, func() {
		if !m.running || !slices.ContainsFunc(s.members, (*member).leads) {
			return
		}
		for _, p := range m.core.Status().Peers {
			if !p.Acknowledged {
				return
			}
		}
		s.counts[diskRolledBack]++
		m.crash()
		m.disk = old
		m.start()
		s.scheduler.after(s.end()-s.now()-time.Second, nil, func() { s.checkRollback(m) })
	})
}

// checkRollback checks that a member whose disk was rolled back has terminated.
func (s *simulation) checkRollback(m *member) {
	if m.terminated == nil {
		s.report(checkDisk, "member %d took part with a disk that was set back", m.id)
	}
}
