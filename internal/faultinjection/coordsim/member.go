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

// errDiskFull is the error of a write to a full disk.
var errDiskFull = errors.New("disk full")

// member is a member process of the coordination service.
type member struct {
	process
	sim  *simulation
	id   uint64
	core *replica.Core
	disk replica.PersistentState
	// writing is the last write, which reaches the disk at writtenAt. If the member crashes before writtenAt, the write reaches the
	// disk or is lost, at random.
	writing         *replica.WriteBatch
	writtenAt       time.Duration
	diskFull        bool
	maxWriteDelay   time.Duration
	usualWriteDelay time.Duration                       // maxWriteDelay without a fault
	terminated      error                               // why the member must not start again; nil: it may start
	pending         map[uint64]func(replica.Completion) // called when a request is completed, by tag
	lastTag         uint64                              // tag of the most recent request
	sessions        map[uint64]*leaseClient             // client that gets the hints for a session, by session
}

// start starts a member with the state on its disk, unless it runs or is permanently terminated.
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

// every runs a function, followed by a round, once per interval.
func (m *member) every(interval time.Duration, call func()) {
	m.sim.scheduler.after(interval, &m.process, func() {
		call()
		m.round()
		m.every(interval, call)
	})
}

// crash ends the process as SIGKILL does. A write in progress reaches the disk or is lost, at random.
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

// fail ends a member whose core has failed. It may start again only if its disk was full.
func (m *member) fail(err error) {
	m.crash()
	if !errors.Is(err, errDiskFull) {
		m.terminated = err
	}
}

// leads reports whether the member considers itself the leader.
func (m *member) leads() bool {
	if !m.running {
		return false
	}
	leads, _ := m.core.Leadership()
	return leads
}
