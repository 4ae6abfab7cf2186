package coordsim

import (
	"fmt"
	"time"

	"frostlink/internal/coord"
)

// valueRole is the kind of requests that a value client makes.
type valueRole int

const (
	writer  valueRole = iota // writes and reads values
	reader                   // reads values, more often than a writer
	revoker                  // revokes leases, and does not use values
)

const (
	// valueSessionTTL is the time to live of the sessions of value clients.
	valueSessionTTL = 5 * time.Second
	// The longest pauses between two requests, by role.
	maxWriterPause = 900 * time.Millisecond
	maxReaderPause = 120 * time.Millisecond
	maxRevokePause = 4 * time.Second
)

// keys are the keys of the values that clients write and read.
var keys = []string{"k0", "k1"}

// valueClient is a process that writes and reads values, or revokes leases.
type valueClient struct {
	process
	role      valueRole
	sim       *simulation
	name      string
	session   uint64
	sequence  uint64            // of the last command in the session
	server    int               // index of the member to call
	revisions map[string]uint64 // the last one seen, by key
	attempt   int               // changes when an attempt begins or finishes, so that late replies and time-outs are ignored
}

func (c *valueClient) start() {
	c.running, c.revisions = true, map[string]uint64{}
	c.openSession()
}

// openSession opens a new session.
func (c *valueClient) openSession() {
	c.session, c.sequence = 0, 0
	nonce := fmt.Sprintf("%s-%d", c.name, c.sim.random.Uint64())
	c.submit(coord.Command{Op: coord.OpOpen, Nonce: nonce, Name: c.name, TTL: valueSessionTTL}, func(r coord.Result) {
		c.session = r.Session
		c.scheduleRequest()
	}, c.openSession)
}

// scheduleRequest schedules the next request.
func (c *valueClient) scheduleRequest() {
	random := c.sim.random
	switch c.role {
	case revoker:
		c.sim.scheduler.after(random.between(100*time.Millisecond, maxRevokePause), &c.process, c.revoke)
	case reader:
		c.sim.scheduler.after(random.between(time.Millisecond, maxReaderPause), &c.process, c.request)
	case writer:
		c.sim.scheduler.after(random.between(time.Millisecond, maxWriterPause), &c.process, c.request)
	}
}

// request reads or writes a value.
func (c *valueClient) request() {
	key := keys[c.sim.random.IntN(len(keys))]
	if c.role == reader || c.sim.random.chance(0.5) {
		c.read(key)
		return
	}
	c.write(key)
}

// write writes a key on the condition that it still has the revision that the client saw last.
func (c *valueClient) write(key string) {
	c.sequence++
	value := fmt.Sprintf("%s-%d", c.name, c.sim.random.Uint64())
	op := operation{client: c.number, key: key, isWrite: true, expected: c.revisions[key], value: value, begin: c.sim.now()}
	command := coord.Command{
		Op: coord.OpPut, Session: c.session, Seq: c.sequence, Key: key, Value: []byte(value), ExpectedRevision: op.expected,
	}
	c.submit(command, func(r coord.Result) {
		op.code, op.revision, op.end = r.Code, r.ModRevision, c.sim.now()
		c.sim.operations = append(c.sim.operations, op)
		c.revisions[key] = r.ModRevision
		c.scheduleRequest()
	}, func() {
		op.code, op.end = codeUnknown, forever
		c.sim.operations = append(c.sim.operations, op)
		c.openSession()
	})
}

// revoke revokes a random lease, with the holder's token that a random member has, which may be outdated.
func (c *valueClient) revoke() {
	random := c.sim.random
	m := c.sim.members[random.IntN(len(c.sim.members))]
	if c.sim.quiet || !m.running {
		c.scheduleRequest()
		return
	}
	leases := m.core.Machine().Leases("")
	if len(leases) == 0 {
		c.scheduleRequest()
		return
	}
	l := leases[random.IntN(len(leases))]
	c.sequence++
	c.sim.counts[leaseRevoked]++
	c.submit(coord.Command{Op: coord.OpRevoke, Session: c.session, Seq: c.sequence, Lease: l.Name, Token: l.Token},
		func(coord.Result) { c.scheduleRequest() }, c.openSession)
}

// read reads a key without retries. A read that fails is not recorded, as the checks can conclude nothing from it.
func (c *valueClient) read(key string) {
	op := operation{client: c.number, key: key, begin: c.sim.now()}
	finish := c.beginAttempt()
	fail := func(leader int) {
		if !finish() {
			return
		}
		if leader != noLeader {
			c.server = leader
		}
		c.server = c.nextServer()
		c.scheduleRequest()
	}
	c.send(func(m *member) {
		m.read(&c.process, key, func(r reply) {
			if !r.ok {
				fail(r.leader)
				return
			}
			if !finish() {
				return
			}
			op.end, op.code = c.sim.now(), coord.CodeOK
			c.revisions[key] = 0
			if len(r.values) == 1 {
				op.value, op.revision = string(r.values[0].Value), r.values[0].ModRevision
				c.revisions[key] = op.revision
			}
			c.sim.operations = append(c.sim.operations, op)
			c.scheduleRequest()
		})
	}, func() { fail(noLeader) })
}
