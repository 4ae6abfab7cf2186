package coordsim

import (
	"bytes"

	"frostlink/internal/coord"
)

// checkLeasesHeld checks that after the quiet period every lease is held by exactly one client. In the quiet period all lease clients
// request all leases.
func (s *simulation) checkLeasesHeld() {
	for _, name := range s.leases {
		holders := 0
		for _, c := range s.leaseClients {
			if _, _, ok := c.core.Holds(c.clock(s.now()), name); ok {
				holders++
			}
		}
		if holders != 1 {
			s.report(checkHeld, "%s: %d hold it after %v of calm, and %d want it", name, holders, s.quietTime, len(s.leaseClients))
		}
	}
}

// checkMemberStates checks the state machines of the running members.
func (s *simulation) checkMemberStates() {
	snapshots := map[uint64][]byte{} // by the index of the last applied entry
	for _, m := range s.members {
		if !m.running {
			continue
		}
		snapshot := m.core.Machine().Snapshot()
		s.checkSameState(m, snapshot, snapshots)
		s.checkSnapshot(m, snapshot)
	}
}

// checkSameState checks that a member has the same state as other members that have applied the same entries.
func (s *simulation) checkSameState(m *member, snapshot []byte, snapshots map[uint64][]byte) {
	index := m.core.Machine().Index()
	if other, ok := snapshots[index]; ok && !bytes.Equal(snapshot, other) {
		s.report(checkSame, "member %d has another state at entry %d than others have", m.id, index)
	}
	snapshots[index] = snapshot
}

// checkSnapshot checks that a state restored from a snapshot encodes to the same snapshot.
func (s *simulation) checkSnapshot(m *member, snapshot []byte) {
	restored, err := coord.Restore(snapshot)
	if err != nil {
		s.report(checkSame, "member %d: %v", m.id, err)
	} else if !bytes.Equal(restored.Snapshot(), snapshot) {
		s.report(checkSame, "member %d: a snapshot that was restored is another one", m.id)
	}
}

// checkReplacement checks that a replacement that has begun is complete at the end of the quiet period.
func (s *simulation) checkReplacement() {
	if s.replacement == replacing {
		s.report(checkMembers, "a member was to be replaced, and is not after %v of calm", s.quietTime)
	}
}
