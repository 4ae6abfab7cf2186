package coordsim

import (
	"slices"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/lease"
)

// grant is the grant of a lease, as its client observed it.
type grant struct {
	client      string
	incarnation int
	lease       string
	token       uint64
	requestedAt time.Duration // when the acquire command was first sent
	observedAt  time.Duration // when a result first showed that the client holds the lease
}

// call sends a call of the core to a member, and passes the reply to the core.
func (c *leaseClient) call(call lease.Call) {
	command := call.Command
	if command.Op == coord.OpAcquire && c.acquisitions[command.Lease].sequence != command.Seq {
		c.acquisitions[command.Lease] = acquisition{command.Seq, c.sim.now()}
	}
	sentAt := c.sim.now()
	m := c.sim.members[call.Server]
	c.sim.network.send(&c.process, &m.process, func() {
		m.call(&c.process, c, command, func(r reply) {
			now := c.clock(c.sim.now())
			if r.ok {
				c.core.HandleResult(now, call.ID, r.result)
				c.observe(r.result, sentAt)
			} else {
				// The leader may be a member that has joined since the client's start. A real reply contains the leader's address, so
				// that the client can call it.
				c.core.SetServers(r.leader + 1)
				c.core.HandleFailure(now, call.ID, r.leader)
			}
			c.step()
		})
	})
}

// observe records new grants after a result, and checks the queue order of the leases that the client waits for.
func (c *leaseClient) observe(result coord.Result, sentAt time.Duration) {
	for _, name := range c.sim.leases {
		c.observeGrant(name)
		c.observeQueue(name, result, sentAt)
	}
}

func (c *leaseClient) observeGrant(name string) {
	token, _, ok := c.core.Holds(c.clock(c.sim.now()), name)
	if !ok || c.tokens[name] == token {
		return
	}
	c.tokens[name] = token
	c.sim.grants = append(c.sim.grants, grant{c.name, c.incarnation, name, token, c.acquisitions[name].sentAt, c.sim.now()})
}

func (c *leaseClient) observeQueue(name string, result coord.Result, sentAt time.Duration) {
	entry, waiting := c.waiting[name]
	switch {
	case !slices.Contains(result.Queued, name) || waiting && entry.session != result.Session:
		delete(c.waiting, name)
	case !waiting:
		c.waiting[name] = queueEntry{c.sim.now(), result.Session}
	default:
		c.sim.checkQueueOrder(c, name, entry.since, sentAt)
	}
}
