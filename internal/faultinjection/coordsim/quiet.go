package coordsim

import "time"

const (
	// maxQuietDelay bounds the network's delays in the quiet period.
	maxQuietDelay = 5 * time.Millisecond
	// quietWriteDelay bounds what a write takes in the quiet period.
	quietWriteDelay = 2 * time.Millisecond
)

// beginQuietPeriod ends all faults, and makes all clients want all leases.
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
