package coordsim

import (
	"time"

	"frostlink/internal/coord"
)

const (
	// attemptTimeout is how long a client of values waits for a reply.
	attemptTimeout = 400 * time.Millisecond
	// submitTimeout is how long a command is retried: its session may have ended by then.
	submitTimeout = 4 * time.Second
	// The backoff between attempts.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// beginAttempt begins an attempt. The first call of finish ends it, and returns true unless another one has begun.
func (c *valueClient) beginAttempt() (finish func() bool) {
	c.attempt++
	current := c.attempt
	return func() bool {
		if current != c.attempt {
			return false
		}
		c.attempt++
		return true
	}
}

// send sends a request to the current server, with a timeout.
func (c *valueClient) send(deliver func(m *member), onTimeout func()) {
	m := c.sim.members[c.server]
	c.sim.network.send(&c.process, &m.process, func() { deliver(m) })
	c.sim.scheduler.after(attemptTimeout, &c.process, onTimeout)
}

// nextServer returns the index of the member after the current server.
func (c *valueClient) nextServer() int { return (c.server + 1) % len(c.sim.members) }

// submit submits a command until it has a result, or for so long that its session may have ended.
func (c *valueClient) submit(command coord.Command, done func(coord.Result), lost func()) {
	c.submitUntil(c.sim.now()+submitTimeout, command, done, lost)
}

func (c *valueClient) submitUntil(deadline time.Duration, command coord.Command, done func(coord.Result), lost func()) {
	if c.sim.now() > deadline {
		lost()
		return
	}
	finish := c.beginAttempt()
	retry := func(leader int) {
		if !finish() {
			return
		}
		c.server = c.nextServer()
		if leader != noLeader {
			c.server = leader
		}
		c.sim.scheduler.after(c.sim.random.between(minBackoff, maxBackoff), &c.process, func() {
			c.submitUntil(deadline, command, done, lost)
		})
	}
	c.send(func(m *member) {
		m.call(&c.process, nil, command, func(r reply) {
			switch {
			case !r.ok:
				retry(r.leader)
			case !finish():
			case r.result.Code == coord.CodeNoSession || r.result.Code == coord.CodeStale:
				lost()
			default:
				done(r.result)
			}
		})
	}, func() { retry(noLeader) })
}
