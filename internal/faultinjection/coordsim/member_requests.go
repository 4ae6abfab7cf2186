package coordsim

import (
	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// noLeader stands for the number of a leader that is not known.
const noLeader = -1

// reply is a member's reply to a client.
type reply struct {
	ok     bool // a command has a result, or a read was made
	result coord.Result
	values []coord.Value
	leader int // where not ok: number of the member to call instead, or noLeader
}

// call serves a command of a process. Hints of the session that it opens or uses go to a lease client; nil: to none.
func (m *member) call(from *process, hinted *leaseClient, command coord.Command, respond func(reply)) {
	propose := func(tag uint64) bool { return m.core.Propose(tag, command) }
	m.serve(from, propose, respond, func(c replica.Completion) reply {
		if hinted != nil && c.Result.Session != 0 {
			m.sessions[c.Result.Session] = hinted
		}
		return reply{ok: true, result: c.Result, leader: noLeader}
	})
}

// read serves a read of a key: its values at some moment between the request and the reply.
func (m *member) read(from *process, key string, respond func(reply)) {
	m.serve(from, m.core.ReadIndex, respond, func(replica.Completion) reply {
		return reply{ok: true, values: m.core.Machine().Values(key), leader: noLeader}
	})
}

// serve begins a request, and sends a reply when it is completed or rejected.
func (m *member) serve(from *process, begin func(tag uint64) bool, respond func(reply), complete func(replica.Completion) reply) {
	send := func(r reply) { m.sim.network.send(&m.process, from, func() { respond(r) }) }
	m.lastTag++
	if !begin(m.lastTag) {
		send(m.rejection())
		return
	}
	m.pending[m.lastTag] = func(c replica.Completion) {
		if c.OutcomeUnknown {
			send(m.rejection())
			return
		}
		send(complete(c))
	}
	m.round()
}

// rejection returns the reply that names the leader, as far as it is known.
func (m *member) rejection() reply {
	r := reply{leader: noLeader}
	if leads, id := m.core.Leadership(); !leads && id != 0 {
		if leader := m.sim.memberByID(id); leader != nil {
			r.leader = leader.number
		}
	}
	return r
}
