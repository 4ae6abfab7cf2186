package coordsim

import "time"

// simulation is one run.
type simulation struct {
	scheduler    *scheduler
	network      *network
	random       randomSource
	members      []*member
	leaseClients []*leaseClient
	valueClients []*valueClient
	leases       []string // names of the leases

	parameters
	quiet        bool // the quiet period has begun
	lastMemberID uint64
	rollback     bool // a disk rollback has been started: there is one per run
	replacement  replacementState

	// Observations for the checks.
	executions []*execution
	grants     []grant
	transfers  []transfer
	operations []operation
	violations []Violation
	counts     map[faultKind]int // number of injected faults by kind
}

// Result is the result of a run.
type Result struct {
	Seed           uint64         `json:"seed"`
	Members        int            `json:"members"`
	TTL            time.Duration  `json:"ttl"`
	Executions     int            `json:"acts"`
	Grants         int            `json:"grants"`
	Operations     int            `json:"values"` // writes and reads
	Violations     []Violation    `json:"faults,omitempty"`
	InjectedFaults map[string]int `json:"done"` // by kind
}

// Play plays the run of a seed, and makes the checks.
func Play(seed uint64) Result {
	s := newSimulation(seed)
	s.play()
	s.check()
	return s.result(seed)
}

// play simulates the period with faults, then the quiet period.
func (s *simulation) play() {
	for _, m := range s.members {
		m.start()
	}
	for _, c := range s.leaseClients {
		s.scheduler.after(s.random.between(0, maxClientStart), nil, c.start)
	}
	for _, c := range s.valueClients {
		s.scheduler.after(s.random.between(0, maxClientStart), nil, c.start)
	}
	s.scheduleFault()
	s.scheduler.runUntil(s.faultTime)
	s.beginQuietPeriod()
	s.scheduler.runUntil(s.end())
}

// end returns the true time at which the run ends.
func (s *simulation) end() time.Duration { return s.faultTime + s.quietTime }

// now returns the true time.
func (s *simulation) now() time.Duration { return s.scheduler.now }

func (s *simulation) result(seed uint64) Result {
	r := Result{
		Seed: seed, Members: len(s.members), TTL: s.ttl, Executions: len(s.executions), Grants: len(s.grants), Operations: len(s.operations),
		Violations: s.violations, InjectedFaults: map[string]int{},
	}
	for kind, n := range s.counts {
		r.InjectedFaults[string(kind)] = n
	}
	return r
}

// handlePanic reports a panic in an event, and crashes the process that owns the event.
func (s *simulation) handlePanic(owner *process, reason any) {
	s.report(checkPanic, "%v", reason)
	if owner != nil {
		owner.crash()
	}
}

// memberByID returns the member with an id, or nil if there is none.
func (s *simulation) memberByID(id uint64) *member {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// peersOf returns the ids of all other members that are not permanently terminated.
func (s *simulation) peersOf(id uint64) []uint64 {
	var ids []uint64
	for _, m := range s.members {
		if m.id != id && m.terminated == nil {
			ids = append(ids, m.id)
		}
	}
	return ids
}

// memberNumbers returns the members' numbers on the network.
func (s *simulation) memberNumbers() []int {
	var numbers []int
	for _, m := range s.members {
		numbers = append(numbers, m.number)
	}
	return numbers
}

// processNumbers returns all processes' numbers on the network.
func (s *simulation) processNumbers() []int {
	numbers := s.memberNumbers()
	for _, c := range s.leaseClients {
		numbers = append(numbers, c.number)
	}
	for _, c := range s.valueClients {
		numbers = append(numbers, c.number)
	}
	return numbers
}
