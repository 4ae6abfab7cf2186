package coordsim

import (
	"slices"
	"time"
)

const (
	// minFaultDuration and maxFaultDuration bound the duration of faults whose kind has no duration of its own.
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// slowWriteDelay is the longest duration of a write to a slow disk.
	slowWriteDelay = 300 * time.Millisecond
	// A fault that waits for a write in progress looks for one every writePollInterval, at most writePolls times.
	writePollInterval = 500 * time.Microsecond
	writePolls        = 2000
)

// scheduleFault schedules the next fault, which schedules the one after it, until the quiet period begins.
func (s *simulation) scheduleFault() {
	pause := s.random.between(100*time.Millisecond, 4*time.Second)
	specs := drawnKinds
	if s.profile == clockProfile {
		pause = s.random.between(5*time.Second, 30*time.Second)
		specs = clockRunKinds
	}
	s.scheduler.after(pause, nil, func() {
		if s.quiet {
			return
		}
		s.injectFault(specs[s.random.IntN(len(specs))])
		s.scheduleFault()
	})
}

// injectFault draws the target and the duration of a fault, and injects it.
func (s *simulation) injectFault(k kindSpec) {
	s.counts[k.name]++
	var t target
	t.member = s.members[s.random.IntN(len(s.members))]
	t.client = s.leaseClients[s.random.IntN(len(s.leaseClients))]
	t.duration = s.random.between(minFaultDuration, maxFaultDuration)
	if i := slices.IndexFunc(s.members, (*member).leads); i >= 0 && k.leader {
		t.member = s.members[i]
	}
	k.inject(s, t)
}

// undoUnlessQuiet ends a fault after a delay, unless the quiet period has already ended it.
func (s *simulation) undoUnlessQuiet(d time.Duration, undo func()) {
	s.scheduler.after(d, nil, func() {
		if !s.quiet {
			undo()
		}
	})
}

func (s *simulation) crashMember(t target) {
	t.member.crash()
	s.scheduler.after(t.duration, nil, t.member.start)
}

func (s *simulation) crashAllMembers(target) {
	for _, m := range s.members {
		m.crash()
		s.scheduler.after(s.random.between(0, 3*time.Second), nil, m.start)
		if s.random.chance(0.5) { // crash again while it starts up
			s.scheduler.after(s.random.between(0, time.Second), nil, func() {
				m.crash()
				s.scheduler.after(s.random.between(0, time.Second), nil, m.start)
			})
		}
	}
}

// crashMemberInWrite crashes a member during its next write to the disk, if one begins soon enough.
func (s *simulation) crashMemberInWrite(t target) {
	s.pollForWrite(t, writePolls)
}

func (s *simulation) pollForWrite(t target, polls int) {
	if polls == 0 || s.quiet {
		return
	}
	if m := t.member; m.running && m.writing != nil && s.now() < m.writtenAt {
		s.crashMember(t)
		return
	}
	s.scheduler.after(writePollInterval, nil, func() { s.pollForWrite(t, polls-1) })
}

func (s *simulation) pauseMember(t target) { t.member.pause(s.now() + t.duration) }

func (s *simulation) transferLeadership(t target) {
	m := t.member
	s.scheduler.after(0, &m.process, func() {
		m.core.TransferLeadership()
		m.round()
	})
}

func (s *simulation) fillDisk(t target) {
	m := t.member
	m.diskFull = true
	s.scheduler.after(t.duration, nil, func() {
		m.diskFull = false
		m.start()
	})
}

func (s *simulation) slowDisk(t target) {
	m := t.member
	m.maxWriteDelay = slowWriteDelay
	s.undoUnlessQuiet(t.duration, func() { m.maxWriteDelay = m.usualWriteDelay })
}

func (s *simulation) crashClient(t target) {
	c := t.client
	if !c.running {
		return
	}
	c.crash()
	s.scheduler.after(t.duration, nil, func() {
		if !c.running {
			c.start()
		}
	})
}

func (s *simulation) pauseClient(t target) {
	if !t.client.running {
		return
	}
	t.client.pauseExecutions()
	t.client.pause(s.now() + t.duration)
}
