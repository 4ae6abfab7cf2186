package coordsim

import (
	"frostlink/internal/coord"
	"frostlink/internal/coord/replica"
)

// noLeader is the number of an unknown leader.
const noLeader = -1

// reply is a member's reply to a client.
type reply struct {
	ok     bool // the command has a result, or the read has its values
	result coord.Result
	values []coord.Value
	leader int // if not ok: number of the member to call instead, or noLeader
}

// call serves a command of a process. Hints for the session of the command go to hintReceiver; nil: to no client.
func (m *member) call(from *process, hintReceiver *leaseClient, command coord.Command, respond func(reply)) {
	propose := func(tag uint64) bool { return m.core.Propose(tag, command) }
	m.serve(from, propose, respond, func(c replica.Completion) reply {
		if hintReceiver != nil && c.Result.Session != 0 {
			m.sessions[c.Result.Session] = hintReceiver
		}
		return reply{ok: true, result: c.Result, leader: noLeader}
	})
}

// read serves a read of a key. The reply has the key's values at some time between the request and the reply.
func (m *member) read(from *process, key string, respond func(reply)) {
	m.serve(from, m.core.ReadIndex, respond, func(replica.Completion) reply {
		return reply{ok: true, values: m.core.Machine().Values(key), leader: noLeader}
	})
}

// serve begins a request, and sends a reply when the request is completed or rejected.
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

// rejection returns a reply that names the leader, if that is another member and known.
func (m *member) rejection() reply {
	r := reply{leader: noLeader}
	if leads, id := m.core.Leadership(); !leads && id != 0 {
		if leader := m.sim.memberByID(id); leader != nil {
			r.leader = leader.number
		}
	}
	return r
}
