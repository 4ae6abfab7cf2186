package coordsim

import (
	"time"

	"frostlink/internal/lease"
)

// leaseClient is a process that requests leases, and executes work under the leases that it holds.
type leaseClient struct {
	process
	sim        *simulation
	name       string
	core       *lease.Core
	executions []*execution // in flight

	acquisitions map[string]acquisition // the last acquire command, by lease
	waiting      map[string]queueEntry  // the leases that the client waits for
	tokens       map[string]uint64      // the last one held, by lease
	wakeups      int                    // number of scheduled wake-ups; only the last one takes effect
}

// acquisition is an acquire command of a client.
type acquisition struct {
	sequence uint64
	sentAt   time.Duration // when it was first sent
}

// queueEntry is an uninterrupted wait for a lease in one session.
type queueEntry struct {
	since   time.Duration // when the first result showed that the client waits
	session uint64
}

// transfer is the release of a lease by its holder for a certain client.
type transfer struct {
	lease, to string
	at        time.Duration
}

// The purposes that clients give in lease requests.
const (
	purposeDrawn = "drawn"
	purposeQuiet = "calm"
)

func (c *leaseClient) start() {
	c.running, c.busyUntil = true, 0
	c.core = lease.New(lease.Config{
		Name: c.name, TTL: c.sim.ttl, Guard: c.sim.guard, Timeout: max(300*time.Millisecond, c.sim.ttl/6),
		Servers: len(c.sim.members), Seed: c.sim.random.Uint64(),
	})
	c.acquisitions, c.waiting, c.tokens = map[string]acquisition{}, map[string]queueEntry{}, map[string]uint64{}
	c.reconsider()
	c.step()
}

// reconsider requests or releases each lease at random, and does so again at random intervals.
func (c *leaseClient) reconsider() {
	random := c.sim.random
	for _, name := range c.sim.leases {
		switch {
		case c.sim.quiet || random.chance(0.6):
			c.core.Request(name, purposeDrawn)
		case random.chance(0.4):
			to := c.sim.leaseClients[random.IntN(len(c.sim.leaseClients))].name
			c.sim.transfers = append(c.sim.transfers, transfer{name, to, c.sim.now()})
			c.core.Release(name, to)
		default:
			c.core.Release(name, "")
		}
	}
	c.sim.scheduler.after(random.between(20*time.Millisecond, 3*time.Second), &c.process, func() {
		c.reconsider()
		c.step()
	})
}

// requestAll requests all leases.
func (c *leaseClient) requestAll() {
	for _, name := range c.sim.leases {
		c.core.Request(name, purposeQuiet)
	}
	c.step()
}

// handleHint handles a member's hint that the state of the client's session has changed.
func (c *leaseClient) handleHint() {
	c.core.HandleHint(c.clock(c.sim.now()))
	c.step()
}

// step ends expired executions, begins executions under held leases, sends the core's calls, and schedules the next step.
func (c *leaseClient) step() {
	now := c.clock(c.sim.now())
	c.stopExpired(now)
	for _, name := range c.sim.leases {
		c.execute(now, name)
	}
	calls, wakeAt := c.core.Next(now)
	for _, call := range calls {
		c.call(call)
	}
	c.wakeups++
	wakeup := c.wakeups
	c.sim.scheduler.after(c.trueTimeUntil(wakeAt, c.sim.now()), &c.process, func() {
		if wakeup == c.wakeups {
			c.step()
		}
	})
}

// crash ends the process and its executions.
func (c *leaseClient) crash() {
	c.pauseExecutions()
	c.executions = nil
	c.process.crash()
}
