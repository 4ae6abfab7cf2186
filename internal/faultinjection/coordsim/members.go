package coordsim

import (
	"errors"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

const (
	cluster        = "drawn"
	tick           = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
)

var errDisk = errors.New("the disk does not take it")

// member is a process of the service.
type member struct {
	process
	run  *run
	id   uint64
	core *replica.Core
	disk replica.PersistentState
	// saving is on its way to the disk until the moment it is: a crash before leaves it there, or not.
	saving   *replica.WriteBatch
	savedAt  time.Duration
	full     bool                     // the disk takes nothing
	slow     time.Duration            // the longest that a write takes
	usual    time.Duration            // the same, without a fault
	earlier  *replica.PersistentState // a copy to be set back to
	stopped  error                    // for good
	answers  map[uint64]func(replica.Completion)
	nextTag  uint64
	sessions map[uint64]*client // of hints
}

// start starts a member from its disk.
func (m *member) start() {
	if m.up || m.stopped != nil {
		return
	}
	w := m.run.world
	m.up, m.busy, m.saving = true, 0, nil
	m.answers, m.sessions = map[uint64]func(replica.Completion){}, map[uint64]*client{}
	var err error
	m.core, err = replica.New(replica.Config{
		Cluster: cluster, ID: m.id, Peers: m.run.others(m.id), Seed: w.rand.Uint64(), Nonce: w.rand.Uint64(),
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotInterval: m.run.snapshotEvery, RetainedEntries: m.run.keepEntries,
	}, m.disk)
	if err != nil {
		m.run.fault("start", "member %d can't use its disk: %v", m.id, err)
		m.stopped = err
		m.up = false
		return
	}
	m.ticking()
	m.passing()
	m.round()
}

func (m *member) ticking() {
	m.run.world.after(tick, &m.process, func() {
		m.core.Tick()
		m.round()
		m.ticking()
	})
}

func (m *member) passing() {
	m.run.world.after(m.run.passEvery, &m.process, func() {
		w := m.run.world
		m.core.AdvanceTime(w.clock(&m.process), 0)
		m.round()
		m.passing()
	})
}

// round lets the core go on until there is nothing to do. What it saves takes time, in which nothing else happens,
// and what it sends leaves afterwards.
func (m *member) round() {
	w := m.run.world
	m.settle()
	m.saving, m.savedAt = nil, w.now
	var written replica.WriteBatch
	wrote := false
	for range 100 {
		more, err := m.core.ProcessReady(w.clock(&m.process), 0, func(write replica.WriteBatch) error {
			if m.full {
				return errDisk
			}
			if wrote { // a second write of this event: the first one is there
				m.disk.Apply(written)
			}
			wrote, written = true, write
			m.savedAt += w.between(100*time.Microsecond, m.slow)
			m.saving = &written
			return nil
		}, func(out replica.Output) {
			w.after(m.savedAt-w.now, nil, m.leave(out, m.life))
		})
		if err != nil {
			m.ended(err)
			return
		}
		if !more {
			break
		}
	}
	m.busy = max(m.busy, m.savedAt)
}

// settle puts on the disk what has reached it.
func (m *member) settle() {
	if m.saving != nil && m.run.world.now >= m.savedAt {
		m.disk.Apply(*m.saving)
		m.saving = nil
	}
}

// leave sends what a round put out, unless the member has crashed or is paused: then it leaves afterwards.
func (m *member) leave(out replica.Output, life int) func() {
	return func() {
		if !m.up || m.life != life {
			return
		}
		if m.run.world.now < m.busy && m.busy > m.savedAt {
			m.run.world.after(0, &m.process, m.leave(out, life))
			return
		}
		for _, e := range out.Messages {
			if to := m.run.member(e.To); to != nil {
				e = reread(e)
				m.run.world.send(&m.process, &to.process, func() {
					to.core.Receive(e)
					to.round()
				})
			}
		}
		for _, a := range out.Completions {
			if answer := m.answers[a.Tag]; answer != nil {
				delete(m.answers, a.Tag)
				answer(a)
			}
		}
		for _, id := range out.ChangedSessions {
			if c := m.sessions[id]; c != nil {
				m.run.world.send(&m.process, &c.process, c.hinted)
			}
		}
	}
}

// reread passes an envelope through its bytes.
func reread(e replica.Envelope) replica.Envelope {
	back, err := replica.DecodeEnvelope(e.Encode())
	if err != nil {
		panic(err)
	}
	return back
}

// reply is what a client hears of a call.
type reply struct {
	ok     bool // there is a result, or a read was made
	result coord.Result
	values []coord.Value
	leader int // where it is not: the member to call instead, by number, or -1
}

// call takes a client's command and answers it.
func (m *member) call(from *process, c *client, command coord.Command, answer func(reply)) {
	back := func(r reply) { m.run.world.send(&m.process, from, func() { answer(r) }) }
	m.nextTag++
	if !m.core.Propose(m.nextTag, command) {
		back(m.refusal())
		return
	}
	m.answers[m.nextTag] = func(a replica.Completion) {
		if a.OutcomeUnknown {
			back(m.refusal())
			return
		}
		if c != nil && a.Result.Session != 0 {
			m.sessions[a.Result.Session] = c
		}
		back(reply{ok: true, result: a.Result, leader: -1})
	}
	m.round()
}

// read answers with the values of a key as they are at some moment between the call and the answer.
func (m *member) read(from *process, key string, answer func(reply)) {
	back := func(r reply) { m.run.world.send(&m.process, from, func() { answer(r) }) }
	m.nextTag++
	if !m.core.ReadIndex(m.nextTag) {
		back(m.refusal())
		return
	}
	m.answers[m.nextTag] = func(a replica.Completion) {
		if a.OutcomeUnknown {
			back(m.refusal())
			return
		}
		back(reply{ok: true, values: m.core.Machine().Values(key), leader: -1})
	}
	m.round()
}

func (m *member) refusal() reply {
	r := reply{leader: -1}
	if leads, id := m.core.Leadership(); !leads && id != 0 {
		if other := m.run.member(id); other != nil {
			r.leader = other.number
		}
	}
	return r
}

// crash ends the process as a kill does: what is on its way to the disk is there or not.
func (m *member) crash() {
	if !m.up {
		return
	}
	m.settle()
	if m.saving != nil && m.run.world.chance(0.5) {
		m.disk.Apply(*m.saving)
	}
	m.saving = nil
	m.up = false
	m.life++
}

// ended takes the end of a member that can't go on: by its disk it comes again, else it does not.
func (m *member) ended(err error) {
	m.crash()
	if !errors.Is(err, errDisk) {
		m.stopped = err
	}
}
