package coordsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// randomStream is the random stream of runs, of each seed.
const randomStream = 0x71756f72756d

// The numbers of processes on the network: members from 0, then clients.
const (
	firstLeaseClient = 100
	firstValueClient = 200
)

const (
	// maxUsualDrift is how far a clock's rate may be off in runs that are not about clocks.
	maxUsualDrift = 400e-6
	// driftInClockRuns is how far each clock's rate is off in runs about clocks: just within the 500 parts per million that
	// leases allow for.
	driftInClockRuns = 490e-6
	// maxClientStart is when the last client starts.
	maxClientStart = 2 * time.Second
	// fastDiskDelay is the longest write in runs about clocks, and the shortest maximum in others.
	fastDiskDelay = 200 * time.Microsecond
)

// profile is what a run is about.
type profile int

const (
	// clockProfile has a fast network, clients that are partitioned, long leases and no guard: only the clocks matter.
	clockProfile profile = iota
	slowNetworkProfile
	usualProfile
)

// drawnProfiles has each profile as often as its weight.
var drawnProfiles = []profile{clockProfile, slowNetworkProfile, usualProfile, usualProfile}

// parameters are drawn when a run begins, and stay.
type parameters struct {
	profile          profile
	ttl, guard       time.Duration // of leases
	advanceInterval  time.Duration // between two looks of a member at its clock
	maxDelay         time.Duration // of the network, without a fault
	faultTime        time.Duration
	quietTime        time.Duration
	snapshotInterval uint64 // in entries
	retainedEntries  uint64
}

// newSimulation draws the run of a seed.
func newSimulation(seed uint64) *simulation {
	random := randomSource{rand.New(rand.NewPCG(seed, randomStream))}
	s := &simulation{scheduler: &scheduler{}, random: random, counts: map[faultKind]int{}}
	s.scheduler.onPanic = s.handlePanic
	s.network = &network{
		scheduler: s.scheduler, random: random, minDelay: 50 * time.Microsecond, duplicateDelay: 3 * time.Second,
		extraDelay: map[int]time.Duration{}, partitions: map[link]int{},
	}
	s.drawParameters()
	s.drawMembers()
	s.drawClients()
	return s
}

func (s *simulation) drawParameters() {
	s.guard, s.advanceInterval, s.faultTime = 50*time.Millisecond, 100*time.Millisecond, 25*time.Second
	s.snapshotInterval = 20 + s.random.Uint64N(400)
	s.retainedEntries = s.random.Uint64N(s.snapshotInterval)
	ttls := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second}
	s.ttl = ttls[s.random.IntN(len(ttls))]
	s.profile = drawnProfiles[s.random.IntN(len(drawnProfiles))]
	switch s.profile {
	case clockProfile:
		s.ttl, s.guard, s.advanceInterval, s.faultTime = 30*time.Second, 0, 2*time.Millisecond, 100*time.Second
		s.maxDelay = 200 * time.Microsecond
	case slowNetworkProfile:
		s.maxDelay = 250 * time.Millisecond
		s.network.lossProbability = 0.05 * s.random.Float64()
		s.network.duplicateProbability = 0.1 * s.random.Float64()
	case usualProfile:
		s.maxDelay = 5 * time.Millisecond
		s.network.lossProbability = 0.1 * s.random.Float64()
		s.network.duplicateProbability = 0.1 * s.random.Float64()
	}
	s.network.maxDelay = s.maxDelay
	s.quietTime = 2*s.ttl + 10*time.Second
}

// drawProcess draws a process's clock.
func (s *simulation) drawProcess(number int) process {
	rate := s.drawClockRate()
	return process{number: number, clockRate: rate, clockOffset: time.Duration(s.random.Int64N(int64(time.Hour)))}
}

func (s *simulation) drawClockRate() float64 {
	if s.profile == clockProfile {
		return 1 + driftInClockRuns*float64(1-2*s.random.IntN(2))
	}
	return 1 + maxUsualDrift*(2*s.random.Float64()-1)
}

// drawMembers draws three or five members.
func (s *simulation) drawMembers() {
	var founders []coord.Member
	for range 3 + 2*s.random.IntN(2) {
		s.lastMemberID++
		m := &member{process: s.drawProcess(len(s.members)), sim: s, id: s.lastMemberID}
		m.usualWriteDelay = s.random.between(fastDiskDelay, 20*time.Millisecond)
		if s.profile == clockProfile {
			m.usualWriteDelay = fastDiskDelay
		}
		m.maxWriteDelay = m.usualWriteDelay
		s.members = append(s.members, m)
		founders = append(founders, coord.Member{ID: m.id, Address: addressOf(m.id)})
	}
	for _, m := range s.members {
		m.disk = replica.Bootstrap(cluster, founders)
	}
}

// addressOf returns the address of a member.
func addressOf(id uint64) string { return fmt.Sprint("m", id) }

// drawClients draws leases, the clients that want them, and those of values.
func (s *simulation) drawClients() {
	for i := range 1 + s.random.IntN(3) {
		s.leases = append(s.leases, fmt.Sprint("lease-", i))
	}
	for i := range 2 + s.random.IntN(4) {
		c := &leaseClient{process: s.drawProcess(firstLeaseClient + i), sim: s, name: fmt.Sprint("c", i)}
		s.leaseClients = append(s.leaseClients, c)
	}
	for i, role := range []valueRole{writer, writer, revoker, reader} {
		c := &valueClient{process: s.drawProcess(firstValueClient + i), sim: s, name: fmt.Sprint("w", i), role: role}
		s.valueClients = append(s.valueClients, c)
	}
}
