package coordsim

import (
	"slices"
	"time"

	"frostlink/internal/lease"
)

const (
	// minExecution and maxExecution bound the time for which a client requests permission to execute.
	minExecution = 2 * time.Millisecond
	maxExecution = 400 * time.Millisecond
	// hangProbability is the probability that an execution takes far longer than permitted.
	hangProbability = 0.1
)

// execution is work that a client executes under a lease. Its start and end are true times.
type execution struct {
	client     *leaseClient
	lease      string
	token      uint64
	start, end time.Duration
	permit     lease.Permit
	ended      bool
	paused     bool // its process was paused or crashed at the time end; a lease guarantees nothing about effects after that time
}

// execute begins an execution under a lease if none is in flight. Most executions end within the permitted time.
func (c *leaseClient) execute(now time.Duration, name string) {
	if slices.ContainsFunc(c.executions, func(e *execution) bool { return e.lease == name }) {
		return
	}
	random := c.sim.random
	permitted := random.between(minExecution, min(maxExecution, c.sim.ttl/3))
	permit, err := c.core.Act(now, name, permitted)
	if err != nil {
		return // the client does not hold the lease for that long
	}
	e := &execution{client: c, lease: name, token: permit.Token, start: c.sim.now(), permit: permit}
	c.executions = append(c.executions, e)
	c.sim.executions = append(c.sim.executions, e)
	duration := permitted - random.between(0, permitted)
	if random.chance(hangProbability) {
		duration = 3 * c.sim.ttl // stopExpired has to end it
	}
	c.sim.scheduler.after(duration, &c.process, func() {
		if !e.ended {
			c.endExecution(e)
			c.step()
		}
	})
}

// stopExpired ends the executions whose permit has expired.
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

// pauseExecutions records that the process pauses or crashes. For the checks its executions end now.
func (c *leaseClient) pauseExecutions() {
	for _, e := range c.executions {
		if !e.paused {
			e.paused, e.end = true, c.sim.now()
		}
	}
}
