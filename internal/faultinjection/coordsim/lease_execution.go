package coordsim

import (
	"slices"
	"time"

	"frostlink/internal/lease"
)

const (
	// minExecution and maxExecution bound the time for which a client asks to execute something.
	minExecution = 2 * time.Millisecond
	maxExecution = 400 * time.Millisecond
	// hangProbability is how likely an execution takes far longer than was asked for.
	hangProbability = 0.1
)

// execution is something done under a lease, in true time.
type execution struct {
	client     *leaseClient
	lease      string
	token      uint64
	start, end time.Duration
	permit     lease.Permit
	ended      bool
	paused     bool // its process was paused or crashed at its end: what it did then no lease can promise
}

// execute begins an execution under a lease where none is in flight. Most end within the time that was asked for.
func (c *leaseClient) execute(now time.Duration, name string) {
	if slices.ContainsFunc(c.executions, func(e *execution) bool { return e.lease == name }) {
		return
	}
	random := c.sim.random
	permitted := random.between(minExecution, min(maxExecution, c.sim.ttl/3))
	permit, err := c.core.Act(now, name, permitted)
	if err != nil {
		return // the client does not hold the lease for so long
	}
	e := &execution{client: c, lease: name, token: permit.Token, start: c.sim.now(), permit: permit}
	c.executions = append(c.executions, e)
	c.sim.executions = append(c.sim.executions, e)
	duration := permitted - random.between(0, permitted)
	if random.chance(hangProbability) {
		duration = 3 * c.sim.ttl // it has to be stopped
	}
	c.sim.scheduler.after(duration, &c.process, func() {
		if !e.ended {
			c.endExecution(e)
			c.step()
		}
	})
}

// stopExpired ends the executions whose time is over.
func (c *leaseClient) stopExpired(now time.Duration) {
	for _, permit := range c.core.ExpiredActs(now) {
		for _, e := range slices.Clone(c.executions) {
			if e.permit == permit {
				c.endExecution(e)
			}
		}
	}
}

func (c *leaseClient) endExecution(e *execution) {
	e.ended = true
	if !e.paused {
		e.end = c.sim.now()
	}
	c.executions = slices.DeleteFunc(c.executions, func(other *execution) bool { return other == e })
	c.core.EndAct(c.clock(c.sim.now()), e.permit)
}

// pauseExecutions notes that all that the process does pauses: for the checks its executions end here.
func (c *leaseClient) pauseExecutions() {
	for _, e := range c.executions {
		if !e.paused {
			e.paused, e.end = true, c.sim.now()
		}
	}
}
