package coordsim

import (
	"fmt"
	"slices"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/lease"
)

// act is something done under a lease, on true time.
type act struct {
	client     *client
	lease      string
	token      uint64
	start, end time.Duration
	permit     lease.Permit
	over       bool
	paused     bool // from its end on its process stood still: what it did then no lease can promise
}

// grant is a lease as a client came to know of it.
type grant struct {
	client  string
	life    int
	lease   string
	token   uint64
	asked   time.Duration // when the command that asked was first sent
	learned time.Duration
}

// client is a process that wants leases and acts under them.
type client struct {
	process
	run   *run
	name  string
	core  *lease.Core
	names []string // leases that it may want
	acts  []*act   // that are open

	asked   map[string]time.Duration // by lease
	askedBy map[string]uint64        // number of the command
	queued  map[string]place
	known   map[string]uint64 // tokens known by lease
	wake    int
}

// place is since when a client knows that it waits for a lease, without a break in one session.
type place struct {
	since   time.Duration
	session uint64
}

func (c *client) start() {
	w := c.run.world
	c.up, c.busy = true, 0
	c.core = lease.New(lease.Config{
		Name: c.name, TTL: c.run.ttl, Guard: c.run.guard, Timeout: max(300*time.Millisecond, c.run.ttl/6),
		Servers: len(c.run.members), Seed: w.rand.Uint64(),
	})
	c.asked, c.askedBy, c.queued, c.known = map[string]time.Duration{}, map[string]uint64{}, map[string]place{}, map[string]uint64{}
	c.fancy()
	c.step()
}

// fancy lets the client change its mind from time to time.
func (c *client) fancy() {
	w := c.run.world
	for _, name := range c.names {
		switch {
		case c.run.calm || w.chance(0.6):
			c.core.Request(name, "drawn")
		case w.chance(0.4):
			to := c.run.clients[w.rand.IntN(len(c.run.clients))].name
			c.run.handed = append(c.run.handed, handed{name, to, w.now})
			c.core.Release(name, to)
		default:
			c.core.Release(name, "")
		}
	}
	w.after(w.between(20*time.Millisecond, 3*time.Second), &c.process, func() {
		c.fancy()
		c.step()
	})
}

// handed is a hand-over by name.
type handed struct {
	lease, to string
	at        time.Duration
}

func (c *client) hinted() {
	c.core.HandleHint(c.run.world.clock(&c.process))
	c.step()
}

// step cuts off what has to be, acts, and sends what there is to send.
func (c *client) step() {
	w := c.run.world
	now := w.clock(&c.process)
	for _, p := range c.core.ExpiredActs(now) {
		for _, a := range slices.Clone(c.acts) {
			if a.permit == p {
				c.done(a)
			}
		}
	}
	for _, name := range c.names {
		c.act(now, name)
	}
	calls, wake := c.core.Next(now)
	for _, call := range calls {
		c.call(call)
	}
	c.wake++
	mine := c.wake
	w.after(w.until(&c.process, wake), &c.process, func() {
		if mine == c.wake {
			c.step()
		}
	})
}

// act begins an act under a lease where none is open. Most end within what was asked for.
func (c *client) act(now time.Duration, name string) {
	w := c.run.world
	if slices.ContainsFunc(c.acts, func(a *act) bool { return a.lease == name }) {
		return
	}
	cost := w.between(2*time.Millisecond, min(400*time.Millisecond, c.run.ttl/3))
	p, err := c.core.Act(now, name, cost)
	if err != nil {
		return
	}
	a := &act{client: c, lease: name, token: p.Token, start: w.now, permit: p}
	c.acts = append(c.acts, a)
	c.run.acts = append(c.run.acts, a)
	lasts := cost - w.between(0, cost)
	if w.chance(0.1) {
		lasts = 3 * c.run.ttl // it hangs, and has to be cut off
	}
	w.after(lasts, &c.process, func() {
		if !a.over {
			c.done(a)
			c.step()
		}
	})
}

// done ends an act.
func (c *client) done(a *act) {
	a.over = true
	if !a.paused {
		a.end = c.run.world.now
	}
	c.acts = slices.DeleteFunc(c.acts, func(b *act) bool { return a == b })
	c.core.EndAct(c.run.world.clock(&c.process), a.permit)
}

// still stops all that the process does: for checks its acts end here.
func (c *client) still() {
	for _, a := range c.acts {
		if !a.paused {
			a.paused, a.end = true, c.run.world.now
		}
	}
}

// crash ends the process, and its acts with it.
func (c *client) crash() {
	c.still()
	c.acts = nil
	c.up = false
	c.life++
}

func (c *client) call(call lease.Call) {
	w := c.run.world
	command := call.Command
	if command.Op == coord.OpAcquire && c.askedBy[command.Lease] != command.Seq {
		c.asked[command.Lease], c.askedBy[command.Lease] = w.now, command.Seq
	}
	sent := w.now
	m := c.run.members[call.Server]
	w.send(&c.process, &m.process, func() {
		m.call(&c.process, c, command, func(r reply) {
			now := w.clock(&c.process)
			if r.ok {
				c.core.HandleResult(now, call.ID, r.result)
				c.heard(command, r.result, sent)
			} else {
				c.core.SetServers(r.leader + 1) // who leads is told with its address
				c.core.HandleFailure(now, call.ID, r.leader)
			}
			c.step()
		})
	})
}

// heard notes, for the checkers, what an answer says of queues and grants.
func (c *client) heard(command coord.Command, r coord.Result, sent time.Duration) {
	now := c.run.world.now
	for _, name := range c.names {
		token, _, ok := c.core.Holds(c.run.world.clock(&c.process), name)
		if ok && c.known[name] != token {
			c.known[name] = token
			c.run.grants = append(c.run.grants, grant{c.name, c.life, name, token, c.asked[name], now})
		}
		p, waits := c.queued[name]
		switch {
		case !slices.Contains(r.Queued, name) || waits && p.session != r.Session:
			delete(c.queued, name)
		case !waits:
			c.queued[name] = place{now, r.Session}
		default:
			c.run.passedOver(c, name, p.since, sent)
		}
	}
}

// passedOver checks that nobody who asked later was granted the lease while a client waited, up to a moment.
func (r *run) passedOver(c *client, name string, since, until time.Duration) {
	for _, g := range r.grants {
		if g.lease != name || g.client == c.name || g.asked <= since || g.learned >= until {
			continue
		}
		byName := slices.ContainsFunc(r.handed, func(h handed) bool { return h.lease == name && h.to == g.client && h.at < g.learned })
		if !byName {
			r.fault("queue", "%s waits for %s since %v, and %s, which asked at %v, has it by %v (token %d)", c.name, name, since, g.client,
				g.asked, g.learned, g.token)
		}
	}
}

// writer is a process that writes and reads values.
type writer struct {
	process
	revokes bool // it takes leases from their holders, and writes nothing
	reads   bool // it reads, often, and writes nothing
	run     *run
	name    string
	session uint64
	nonce   string
	seq     uint64
	server  int
	version map[string]uint64
	turn    int
	tries   int
}

func (v *writer) start() {
	v.up, v.version = true, map[string]uint64{}
	v.renew()
}

// renew begins a new session.
func (v *writer) renew() {
	v.session, v.seq = 0, 0
	v.nonce = fmt.Sprintf("%s-%d", v.name, v.run.world.rand.Uint64())
	v.try(coord.Command{Op: coord.OpOpen, Nonce: v.nonce, Name: v.name, TTL: 5 * time.Second}, v.run.world.now, func(r coord.Result) {
		v.session = r.Session
		v.next()
	}, v.renew)
}

// next does the next thing, after a while.
func (v *writer) next() {
	w := v.run.world
	if v.revokes {
		w.after(w.between(100*time.Millisecond, 4*time.Second), &v.process, v.revoke)
		return
	}
	pause := 900 * time.Millisecond
	if v.reads {
		pause = 120 * time.Millisecond
	}
	w.after(w.between(time.Millisecond, pause), &v.process, func() {
		key := fmt.Sprintf("k%d", w.rand.IntN(2))
		if v.reads || w.chance(0.5) {
			v.read(key)
			return
		}
		v.seq++
		value := fmt.Sprintf("%s-%d", v.name, w.rand.Uint64())
		op := operation{client: v.number, key: key, put: true, expect: v.version[key], value: value, call: w.now}
		v.try(coord.Command{Op: coord.OpPut, Session: v.session, Seq: v.seq, Key: key, Value: []byte(value), ExpectedRevision: op.expect}, w.now,
			func(r coord.Result) {
				op.code, op.version, op.end = r.Code, r.ModRevision, w.now
				v.run.history = append(v.run.history, op)
				v.version[key] = r.ModRevision
				v.next()
			}, func() {
				op.code, op.end = "", forever
				v.run.history = append(v.run.history, op)
				v.renew()
			})
	})
}

// revoke takes a lease from its holder, as some member believes it to be.
func (v *writer) revoke() {
	w := v.run.world
	m := v.run.members[w.rand.IntN(len(v.run.members))]
	if v.run.calm || !m.up || len(m.core.Machine().Leases("")) == 0 {
		v.next()
		return
	}
	list := m.core.Machine().Leases("")
	l := list[w.rand.IntN(len(list))]
	v.seq++
	v.run.counts["revoke"]++
	v.try(coord.Command{Op: coord.OpRevoke, Session: v.session, Seq: v.seq, Lease: l.Name, Token: l.Token}, w.now,
		func(coord.Result) { v.next() }, v.renew)
}

// try sends a command until it is answered, or for so long that its session may have ended.
func (v *writer) try(command coord.Command, since time.Duration, done func(coord.Result), lost func()) {
	w := v.run.world
	if w.now > since+4*time.Second {
		lost()
		return
	}
	v.turn++
	turn := v.turn
	again := func(leader int) {
		if turn != v.turn {
			return
		}
		v.turn++
		v.server = (v.server + 1) % len(v.run.members)
		if leader >= 0 {
			v.server = leader
		}
		w.after(w.between(10*time.Millisecond, 200*time.Millisecond), &v.process, func() { v.try(command, since, done, lost) })
	}
	m := v.run.members[v.server]
	w.send(&v.process, &m.process, func() {
		m.call(&v.process, nil, command, func(r reply) {
			switch {
			case turn != v.turn:
			case !r.ok:
				again(r.leader)
			case r.result.Code == coord.CodeNoSession || r.result.Code == coord.CodeStale:
				v.turn++
				lost()
			default:
				v.turn++
				done(r.result)
			}
		})
	})
	w.after(400*time.Millisecond, &v.process, func() { again(-1) })
}

// read reads a key once; a read without an answer has told nothing.
func (v *writer) read(key string) {
	w := v.run.world
	op := operation{client: v.number, key: key, call: w.now}
	v.turn++
	turn := v.turn
	end := func() {
		if turn == v.turn {
			v.turn++
			v.server = (v.server + 1) % len(v.run.members)
			v.next()
		}
	}
	m := v.run.members[v.server]
	w.send(&v.process, &m.process, func() {
		m.read(&v.process, key, func(r reply) {
			if turn != v.turn {
				return
			}
			if r.ok {
				op.end, op.code = w.now, coord.CodeOK
				v.version[key] = 0
				if len(r.values) == 1 {
					op.value, op.version = string(r.values[0].Value), r.values[0].ModRevision
					v.version[key] = op.version
				}
				v.run.history = append(v.run.history, op)
				v.turn++
				v.next()
				return
			}
			if r.leader >= 0 {
				v.server = r.leader
			}
			end()
		})
	})
	w.after(400*time.Millisecond, &v.process, end)
}
