// Package lease is the client's side of the coordination service: may this process act now? Core decides without
// I/O and clock; every call tells it the time on the boot-time clock, which goes on while a machine is suspended.
//
// What a lease does not promise: a process that is stopped between Act and its system call, until after the lease
// has passed on, acts on waking although another holds it. So every task says what makes that harmless (Guard).
package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"frostlink/internal/coord"
)

// RateBound is the most that a clock may gain or lose, as a share of the time passed. Quartz is within 200 parts
// in a million; NTP slews by 500 at most.
const RateBound = 500e-6

// Config says how a Core behaves.
type Config struct {
	Name    string        // of this process, as the service shows it
	TTL     time.Duration // of its session
	Guard   time.Duration // a lease is given up so long before it ends, for what lies between a check and its act
	Timeout time.Duration // of one call
	Servers int           // addresses that can be called, by number from 0
	Seed    uint64        // for the session's nonces and for delays
}

// Call is a command to be sent to a server.
type Call struct {
	ID      uint64
	Server  int
	Command coord.Command
}

// Permit allows one act, until a moment on the boot-time clock.
type Permit struct {
	Lease string
	Token uint64
	Until time.Duration
	id    uint64
}

// Refused says why Act did not allow an act.
type Refused string

func (r Refused) Error() string { return string(r) }

// call is one that is out.
type call struct {
	sent    time.Duration
	server  int
	command coord.Command
}

// wanted is a lease that this process wants, or holds.
type wanted struct {
	reason string
	asked  bool // the service has it queued or granted, as of the newest answer
	drop   bool // to be released once no act is open
	to     string
	pause  time.Duration // not to be asked for before: an operator took it away
}

// put is a value to be written.
type put struct {
	id      uint64
	command coord.Command
}

// PutEnd is what became of a Put. One that was lost may be written or not.
type PutEnd struct {
	ID     uint64
	Result coord.Result
	Lost   bool
}

// Core keeps a session and its leases. It is not safe for use by several goroutines.
type Core struct {
	cfg  Config
	rand *rand.Rand

	session  uint64
	nonce    string
	seq      uint64
	pending  *coord.Command // the one with an effect that has no answer yet: it is sent until it has
	trusted  time.Duration  // the session lasts until then, by this process's clock
	stamp    uint64         // of the newest answer
	held     map[string]coord.Grant
	revoked  map[string]uint64
	want     map[string]*wanted
	puts     []put    // to be written, the first one next
	putEnds  []PutEnd // that nobody has asked for yet
	nextPut  uint64
	acts     map[uint64]Permit
	nextAct  uint64
	calls    map[uint64]call
	nextCall uint64
	server   int
	failures int
	next     time.Duration // no call before
	renewAt  time.Duration
	hinted   bool // since the last call was sent
}

// New makes a core that wants nothing.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0x6c65617365)), want: map[string]*wanted{}, acts: map[uint64]Permit{},
		calls: map[uint64]call{},
	}
	c.forget()
	if cfg.Servers > 0 {
		c.server = c.rand.IntN(cfg.Servers)
	}
	return c
}

// forget forgets a session: nothing is held any more.
func (c *Core) forget() {
	c.session, c.seq, c.stamp, c.trusted, c.pending = 0, 0, 0, 0, nil
	c.nonce = fmt.Sprintf("%016x%016x", c.rand.Uint64(), c.rand.Uint64())
	c.held, c.revoked = map[string]coord.Grant{}, map[string]uint64{}
	for _, w := range c.want {
		w.asked = false
	}
	for _, p := range c.puts {
		c.putEnds = append(c.putEnds, PutEnd{ID: p.id, Lost: true})
	}
	c.puts = nil
}

// Put has a value written under a lease that is held, if it is still held under that token then and the value's version is the
// one expected. PutEnds tells what became of it.
func (c *Core) Put(lease string, token uint64, key string, value []byte, expect uint64) (id uint64) {
	c.nextPut++
	p := put{c.nextPut, coord.Command{Op: coord.Put, Lease: lease, Token: token, Key: key, Value: value, Expect: expect}}
	if c.session == 0 {
		c.putEnds = append(c.putEnds, PutEnd{ID: p.id, Result: coord.Result{Code: coord.NotHeld}})
		return p.id
	}
	c.puts = append(c.puts, p)
	return p.id
}

// PutEnds gives what became of Puts, once.
func (c *Core) PutEnds() []PutEnd {
	ends := c.putEnds
	c.putEnds = nil
	return ends
}

// Want asks for a lease, and for it again whenever it is lost, until Drop.
func (c *Core) Want(name, reason string) {
	if w := c.want[name]; w != nil {
		w.reason, w.drop, w.to = reason, false, ""
		return
	}
	c.want[name] = &wanted{reason: reason}
}

// Drop gives a lease back as soon as no act under it is open; no further one is allowed. Where to is not empty, the
// first who waits under that name is next.
func (c *Core) Drop(name, to string) {
	if w := c.want[name]; w != nil {
		w.drop, w.to = true, to
	}
}

// lasts is how long after its sending a renewal holds, by this process's clock: the service's clock may be fast and
// this one slow.
func (c *Core) lasts() time.Duration {
	return time.Duration(float64(c.cfg.TTL)*(1-2*RateBound)) - c.cfg.Guard
}

// Holds tells under which token a lease is held, and until when if nothing more is heard.
func (c *Core) Holds(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	g, ok := c.held[name]
	return g.Token, c.trusted, ok && now < c.trusted
}

// Wait tells how many wait for a lease that is held, as of the newest answer.
func (c *Core) Wait(name string) int { return c.held[name].Wait }

// Act allows one act that ends within cost, or refuses. An act that was allowed is reported with Done when it has
// ended; Cancelled names those that have to be cut off.
func (c *Core) Act(now time.Duration, name string, cost time.Duration) (Permit, error) {
	token, until, ok := c.Holds(now, name)
	switch {
	case !ok:
		return Permit{}, Refused("the lease is not held")
	case c.want[name] == nil || c.want[name].drop:
		return Permit{}, Refused("the lease is being given back")
	case now+cost > until:
		return Permit{}, Refused(fmt.Sprintf("the lease lasts %v more, less than the act", until-now))
	}
	c.nextAct++
	p := Permit{Lease: name, Token: token, Until: until, id: c.nextAct}
	c.acts[p.id] = p
	return p, nil
}

// Done reports that an act has ended. It is false where that was after its permit: then another may have acted
// meanwhile, and what was done may have to be checked.
func (c *Core) Done(now time.Duration, p Permit) bool {
	delete(c.acts, p.id)
	return now <= p.Until
}

// Cancelled gives the acts that have to be cut off now, since their time is over or their lease is lost. Each may
// have run. They stay open until Done.
func (c *Core) Cancelled(now time.Duration) []Permit {
	var list []Permit
	for _, id := range slices.Sorted(maps.Keys(c.acts)) {
		if p := c.acts[id]; now >= p.Until || c.held[p.Lease].Token != p.Token {
			list = append(list, p)
		}
	}
	return list
}

// open tells whether an act under a lease is open.
func (c *Core) open(name string) bool {
	for _, p := range c.acts {
		if p.Lease == name {
			return true
		}
	}
	return false
}

// Next gives the calls to be sent now, and when to ask again at the latest.
func (c *Core) Next(now time.Duration) ([]Call, time.Duration) {
	var out []Call
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if now >= c.calls[id].sent+c.cfg.Timeout {
			c.Failed(now, id, -1)
		}
	}
	if c.cfg.Servers > 0 && now >= c.next {
		if command := c.command(now); command != nil {
			c.hinted = false
			c.nextCall++
			c.calls[c.nextCall] = call{sent: now, server: c.server, command: *command}
			out = append(out, Call{ID: c.nextCall, Server: c.server, Command: *command})
			if command.Op == coord.Close {
				// It may arrive at any time from now on: the session must not be used again, whatever becomes of this.
				c.forget()
			}
		}
	}
	wake := now + c.cfg.TTL
	if len(c.calls) == 0 && (c.session != 0 || !c.idle()) {
		wake = max(c.renewAt, c.next)
	}
	for _, out := range c.calls {
		wake = min(wake, out.sent+c.cfg.Timeout)
	}
	for _, w := range c.want {
		if w.pause > now {
			wake = min(wake, w.pause)
		}
	}
	if len(c.acts) > 0 {
		wake = min(wake, c.trusted)
	}
	return out, max(wake, now+time.Millisecond)
}

// command gives what is to be sent next, or nil. One call is out at a time: its answer renews, too.
func (c *Core) command(now time.Duration) *coord.Command {
	if len(c.calls) > 0 || c.idle() && c.session == 0 {
		return nil
	}
	if c.session == 0 {
		return &coord.Command{Op: coord.Open, Nonce: c.nonce, Name: c.cfg.Name, TTL: c.cfg.TTL}
	}
	if c.pending == nil {
		c.pending = c.effect(now)
	}
	if c.pending != nil {
		return c.pending
	}
	if c.idle() {
		return &coord.Command{Op: coord.Close, Session: c.session}
	}
	if now >= c.renewAt {
		return &coord.Command{Op: coord.Renew, Session: c.session}
	}
	return nil
}

// idle tells that nothing is wanted and nothing left to be given back.
func (c *Core) idle() bool { return len(c.want)+len(c.held)+len(c.revoked)+len(c.puts) == 0 }

// effect gives the next command that changes something: what was taken away goes back first, since others wait for it.
func (c *Core) effect(now time.Duration) *coord.Command {
	numbered := func(cmd coord.Command) *coord.Command {
		c.seq++
		cmd.Session, cmd.Seq = c.session, c.seq
		return &cmd
	}
	// From here on the lease may be another's: it is not held until a newer answer says so again.
	release := func(cmd coord.Command) *coord.Command {
		delete(c.held, cmd.Lease)
		delete(c.revoked, cmd.Lease)
		return numbered(cmd)
	}
	for _, name := range slices.Sorted(maps.Keys(c.revoked)) {
		if !c.open(name) {
			return release(coord.Command{Op: coord.Release, Lease: name, Token: c.revoked[name], Reason: "revoked"})
		}
	}
	if len(c.puts) > 0 {
		return numbered(c.puts[0].command)
	}
	for _, name := range slices.Sorted(maps.Keys(c.want)) {
		w := c.want[name]
		g, held := c.held[name]
		switch {
		case w.drop && held && c.open(name), now < w.pause:
		case w.drop && held && w.to != "":
			return release(coord.Command{Op: coord.Handover, Lease: name, Token: g.Token, To: w.to})
		case w.drop && (held || w.asked):
			return release(coord.Command{Op: coord.Release, Lease: name, Token: g.Token})
		case w.drop:
			delete(c.want, name)
		case !held && !w.asked:
			return numbered(coord.Command{Op: coord.Acquire, Lease: name, Reason: w.reason})
		}
	}
	return nil
}

// Answered takes the answer to a call. One to a call that was given up is not heard: its command comes again.
func (c *Core) Answered(now time.Duration, id uint64, r coord.Result) {
	made, ok := c.calls[id]
	if !ok {
		return
	}
	delete(c.calls, id)
	c.failures, c.next = 0, 0
	if made.command.Op == coord.Open {
		if c.session == 0 && made.command.Nonce == c.nonce && r.Code == coord.Done {
			c.session = r.Session
		} else if r.Code != coord.Done {
			c.later(now) // full
			return
		}
	}
	if made.command.Op != coord.Open && made.command.Session != c.session || made.command.Op == coord.Close || r.Session != 0 && r.Session != c.session {
		return
	}
	if r.Code == coord.NoSession {
		c.forget()
		return
	}
	if c.pending != nil && made.command.Seq == c.pending.Seq {
		c.settled(now, r)
	}
	c.trusted = max(c.trusted, made.sent+c.lasts())
	// A hint that came while the call was out may be of later than its answer.
	if !c.hinted {
		c.renewAt = max(c.renewAt, made.sent+c.cfg.TTL/3)
	}
	if r.Stamp > c.stamp {
		c.stamp = r.Stamp
		c.listed(now, r)
	}
}

// settled ends the command that was pending.
func (c *Core) settled(now time.Duration, r coord.Result) {
	cmd := c.pending
	c.pending = nil
	w := c.want[cmd.Lease]
	switch {
	case cmd.Op == coord.Put:
		c.putEnds = append(c.putEnds, PutEnd{ID: c.puts[0].id, Result: r})
		c.puts = c.puts[1:]
	case w == nil:
	case r.Code == coord.Full || r.Code == coord.Invalid:
		w.pause = now + c.cfg.TTL
	case cmd.Op == coord.Handover && r.Code == coord.Conflict:
		w.to = "" // that one does not wait any more: the first who does is next
	}
}

// listed takes over what the newest answer says is held.
func (c *Core) listed(now time.Duration, r coord.Result) {
	clear(c.held)
	clear(c.revoked)
	for _, w := range c.want {
		w.asked = false
	}
	for _, g := range r.Held {
		c.held[g.Lease] = g
	}
	for _, g := range r.Revoked {
		c.revoked[g.Lease] = g.Token
		if w := c.want[g.Lease]; w != nil {
			w.pause = now + c.cfg.TTL
		}
	}
	for _, name := range r.Queued {
		if w := c.want[name]; w != nil {
			w.asked = true
		}
	}
	// What is held and not wanted (an answer was lost before a restart of interest) goes back.
	for name := range c.held {
		if c.want[name] == nil {
			c.want[name] = &wanted{drop: true}
		}
	}
}

// Hint tells that something became of what this process holds or waits for. It is only a hint: a renewal asks.
func (c *Core) Hint(now time.Duration) { c.hinted, c.renewAt = true, min(c.renewAt, now) }

// Extend has further servers be called: a member joined.
func (c *Core) Extend(servers int) { c.cfg.Servers = max(c.cfg.Servers, servers) }

// Failed reports a call without an answer, or with word that the server does not lead: leader is the one to call
// instead, or -1. The command may have been applied.
func (c *Core) Failed(now time.Duration, id uint64, leader int) {
	made, ok := c.calls[id]
	if !ok {
		return
	}
	delete(c.calls, id)
	switch {
	case leader >= 0 && leader < c.cfg.Servers && leader != made.server:
		c.server = leader
	case c.server == made.server:
		c.server = (made.server + 1) % c.cfg.Servers
	}
	c.later(now)
}

// later puts the next call off: by at most an eighth of the time to live after the first failure, doubled up to a
// half, and with chance, so that 300 processes whose sessions ended together do not come back together.
func (c *Core) later(now time.Duration) {
	c.failures++
	most := c.cfg.TTL / 8 << min(c.failures-1, 2)
	c.next = now + time.Duration(c.rand.Int64N(int64(most)))
}
