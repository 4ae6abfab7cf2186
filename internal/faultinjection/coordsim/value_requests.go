package coordsim

import (
	"time"

	"frostlink/internal/coord"
)

const (
	// attemptTimeout is how long a value client waits for a reply.
	attemptTimeout = 400 * time.Millisecond
	// submitTimeout is how long a command is retried. After that its session may have ended.
	submitTimeout = 4 * time.Second
	// The bounds of the backoff between attempts.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// beginAttempt begins an attempt. The first call of finish ends it and returns true. Later calls return false, and so do calls after
// another attempt has begun.
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

// send sends a request to the current server, and schedules onTimeout in case no reply arrives.
func (c *valueClient) send(deliver func(m *member), onTimeout func()) {
	m := c.sim.members[c.server]
	c.sim.network.send(&c.process, &m.process, func() { deliver(m) })
	c.sim.scheduler.after(attemptTimeout, &c.process, onTimeout)
}

// nextServer returns the index of the member after the current server.
func (c *valueClient) nextServer() int { return (c.server + 1) % len(c.sim.members) }

// submit sends a command, with retries, until the command has a result, and passes the result to onResult. If the session has
// ended, or may have ended because submitTimeout is over, submit calls onLost instead, and the outcome of the command is unknown.
func (c *valueClient) submit(command coord.Command, onResult func(coord.Result), onLost func()) {
	c.submitUntil(c.sim.now()+submitTimeout, command, onResult, onLost)
}

func (c *valueClient) submitUntil(deadline time.Duration, command coord.Command, onResult func(coord.Result), onLost func()) {
	if c.sim.now() > deadline {
		onLost()
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
			c.submitUntil(deadline, command, onResult, onLost)
		})
	}
	c.send(func(m *member) {
		m.call(&c.process, nil, command, func(r reply) {
			switch {
			case !r.ok:
				retry(r.leader)
			case !finish():
			case r.result.Code == coord.CodeNoSession || r.result.Code == coord.CodeStale:
				onLost()
			default:
				onResult(r.result)
			}
		})
	}, func() { retry(noLeader) })
}
