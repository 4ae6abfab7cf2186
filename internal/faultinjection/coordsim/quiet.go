package coordsim

import "time"

const (
	// maxQuietDelay bounds message delays in the quiet period.
	maxQuietDelay = 5 * time.Millisecond
	// quietWriteDelay is the longest duration of a write in the quiet period.
	quietWriteDelay = 2 * time.Millisecond
)

// beginQuietPeriod ends all faults, starts processes that are down, and has all lease clients request all leases.
func (s *simulation) beginQuietPeriod() {
	s.quiet = true
	s.network.heal(maxQuietDelay)
	for _, m := range s.members {
		m.endPause(s.now())
		m.diskFull, m.maxWriteDelay = false, quietWriteDelay
		s.scheduler.after(0, nil, m.start)
	}
	for _, c := range s.leaseClients {
		c.endPause(s.now())
		if !c.running {
			c.start()
		}
		s.scheduler.after(0, &c.process, c.requestAll)
	}
}
