package coordsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// randomStream is the second half of the random generator's seed; the first half is the seed of the run. Its bytes spell "quorum".
const randomStream = 0x71756f72756d

// The first network numbers of clients. Members are numbered from 0.
const (
	firstLeaseClient = 100
	firstValueClient = 200
)

const (
	// maxUsualDrift bounds the deviation of a clock's rate from true time, except with clockProfile.
	maxUsualDrift = 400e-6
	// driftInClockRuns is the deviation of each clock's rate with clockProfile, fast or slow: just within the 500 parts per million
	// that leases allow for.
	driftInClockRuns = 490e-6
	// maxClientStart bounds the time at which a client starts.
	maxClientStart = 2 * time.Second
	// fastDiskDelay is the longest duration of a write with clockProfile. With other profiles the longest duration is drawn for each
	// member, and is at least this.
	fastDiskDelay = 200 * time.Microsecond
)

// profile is the focus of a run, which sets its network, clocks and leases.
type profile int

const (
	// clockProfile has a fast network, long leases and no guard, and partitions of clients as the only faults, so that safety depends
	// on the clocks alone.
	clockProfile profile = iota
	slowNetworkProfile
	usualProfile
)

// drawnProfiles contains each profile once per unit of its weight.
var drawnProfiles = []profile{clockProfile, slowNetworkProfile, usualProfile, usualProfile}

// parameters are drawn at the start of a run, and do not change.
type parameters struct {
	profile          profile
	ttl, guard       time.Duration // of leases
	advanceInterval  time.Duration // at which a member passes its clock's time to its core
	maxDelay         time.Duration // of messages, without a fault
	faultTime        time.Duration
	quietTime        time.Duration
	snapshotInterval uint64 // in entries
	retainedEntries  uint64 // that a snapshot leaves in the log
}

// newSimulation returns the simulation of a seed, with parameters and processes drawn.
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

// drawProcess returns a process with a random clock.
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

// drawMembers draws three or five members with their disks.
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

// drawClients draws the leases, the lease clients and the value clients.
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
