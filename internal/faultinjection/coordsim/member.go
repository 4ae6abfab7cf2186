package coordsim

import (
	"errors"
	"time"

	"frostlink/internal/coord/replica"
)

const (
	cluster        = "drawn"
	tickInterval   = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
)

// errDiskFull is what a write to a full disk returns.
var errDiskFull = errors.New("the disk does not take it")

// member is a process of the service.
type member struct {
	process
	sim  *simulation
	id   uint64
	core *replica.Core
	disk replica.PersistentState
	// writing is on its way to the disk until writtenAt: a crash before leaves it there, or not.
	writing         *replica.WriteBatch
	writtenAt       time.Duration
	diskFull        bool
	maxWriteDelay   time.Duration
	usualWriteDelay time.Duration // the maximum without a fault
	terminated      error         // why it has ended for good; nil: it has not
	pending         map[uint64]func(replica.Completion)
	lastTag         uint64                  // of pending requests
	sessions        map[uint64]*leaseClient // who gets the hints of a session
}

// start starts a member from its disk.
func (m *member) start() {
	if m.running || m.terminated != nil {
		return
	}
	m.running, m.busyUntil, m.writing = true, 0, nil
	m.pending, m.sessions = map[uint64]func(replica.Completion){}, map[uint64]*leaseClient{}
	core, err := replica.New(replica.Config{
		Cluster: cluster, ID: m.id, Peers: m.sim.peersOf(m.id), Seed: m.sim.random.Uint64(), Nonce: m.sim.random.Uint64(),
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		SnapshotInterval: m.sim.snapshotInterval, RetainedEntries: m.sim.retainedEntries,
	}, m.disk)
	m.core = core
	if err != nil {
		m.sim.report(checkStart, "member %d can't use its disk: %v", m.id, err)
		m.terminated = err
		m.running = false
		return
	}
	m.every(tickInterval, func() { m.core.Tick() })
	m.every(m.sim.advanceInterval, func() { m.core.AdvanceTime(m.clock(m.sim.now()), 0) })
	m.round()
}

// every calls the core at an interval.
func (m *member) every(interval time.Duration, call func()) {
	m.sim.scheduler.after(interval, &m.process, func() {
		call()
		m.round()
		m.every(interval, call)
	})
}

// crash ends the process as SIGKILL does. What is on its way to the disk is there or not.
func (m *member) crash() {
	if !m.running {
		return
	}
	m.completeWrite()
	if m.writing != nil && m.sim.random.chance(0.5) {
		m.disk.Apply(*m.writing)
	}
	m.writing = nil
	m.process.crash()
}

// fail ends a member that can't go on. Only after a full disk does it start again.
func (m *member) fail(err error) {
	m.crash()
	if !errors.Is(err, errDiskFull) {
		m.terminated = err
	}
}

// leads reports whether the member is the leader, as it believes.
func (m *member) leads() bool {
	if !m.running {
		return false
	}
	leads, _ := m.core.Leadership()
	return leads
}
