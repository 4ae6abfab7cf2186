package lease

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frostlink/internal/coord"
)

// RateBound is the most that a clock may gain or lose, as a share of the time passed. Quartz is within 200 parts
// in a million; NTP slews by 500 at most.
const RateBound = 500e-6

// randStream is the second half of the random generator's seed: the ASCII codes of "lease".
const randStream = 0x6c65617365

// Config says how a Core behaves.
type Config struct {
	Name    string        // of this process, as the service shows it
	TTL     time.Duration // of its session
	Guard   time.Duration // a lease is given up so long before it ends, for what lies between a check and its act
	Timeout time.Duration // of one call
	Servers int           // addresses that can be called, by number from 0
	Seed    uint64        // for the session's nonces and for delays
}

// Core keeps a session and its leases. It is not safe for use by several goroutines.
type Core struct {
	cfg  Config
	rand *rand.Rand

	// The session. All but its nonce is zero while there is none.
	session    uint64
	nonce      string         // names the session before the service has given it a number
	seq        uint64         // of the latest command with an effect
	pending    *coord.Command // the one with an effect that has no answer yet: it is sent until it has one
	validUntil time.Duration  // the session lasts until then, by this process's clock
	stamp      uint64         // of the newest answer
	held       map[string]coord.Grant
	revoked    map[string]uint64 // tokens of leases that an operator has taken away, until they are released

	requests   map[string]*request
	puts       []queuedPut // the one that is sent next first
	putResults []PutResult // that were not taken yet
	nextPut    uint64
	openActs   map[uint64]Permit
	nextAct    uint64

	// Calls to the service.
	inFlight    map[uint64]inFlightCall
	nextCall    uint64
	server      int           // that is called next
	failures    int           // in a row
	notBefore   time.Duration // the next call, after a failure
	renewAt     time.Duration
	hintPending bool // a hint has come since the last call was sent
}

// New returns a core that requests nothing.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, randStream)), requests: map[string]*request{}, openActs: map[uint64]Permit{},
		inFlight: map[uint64]inFlightCall{},
	}
	c.resetSession()
	if cfg.Servers > 0 {
		c.server = c.rand.IntN(cfg.Servers)
	}
	return c
}

// resetSession forgets the session: nothing is held any more, and a further session has another nonce.
func (c *Core) resetSession() {
	c.session, c.seq, c.stamp, c.validUntil, c.pending = 0, 0, 0, 0, nil
	c.nonce = fmt.Sprintf("%016x%016x", c.rand.Uint64(), c.rand.Uint64())
	c.held, c.revoked = map[string]coord.Grant{}, map[string]uint64{}
	for _, r := range c.requests {
		r.registered = false
	}
	for _, p := range c.puts {
		c.putResults = append(c.putResults, PutResult{ID: p.id, Lost: true})
	}
	c.puts = nil
}

// request is a lease that this process wants, or holds.
type request struct {
	reason     string        // for people
	registered bool          // the service has it queued or granted, as of the newest answer
	releasing  bool          // to be released once no act is open
	successor  string        // who is to have it next; empty: the first in the queue
	notBefore  time.Duration // not to be acquired before: an operator has revoked it, or the service has no room
}

// Request asks for a lease, and for it again whenever it is lost, until Release.
func (c *Core) Request(name, reason string) {
	if r := c.requests[name]; r != nil {
		r.reason, r.releasing, r.successor = reason, false, ""
		return
	}
	c.requests[name] = &request{reason: reason}
}

// Release releases a lease as soon as no act under it is open; no further act is allowed. Where successor is not empty, the
// first process of that name in the queue is next.
func (c *Core) Release(name, successor string) {
	if r := c.requests[name]; r != nil {
		r.releasing, r.successor = true, successor
	}
}

// validity is how long after its sending a renewal lasts, by this process's clock: the service's clock may be fast and
// this one slow.
func (c *Core) validity() time.Duration {
	return time.Duration(float64(c.cfg.TTL)*(1-2*RateBound)) - c.cfg.Guard
}

// Holds returns the token under which a lease is held, and until when if no further answer comes.
func (c *Core) Holds(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	grant, held := c.held[name]
	return grant.Token, c.validUntil, held && now < c.validUntil
}

// Waiters returns how many processes wait for a lease that is held, as of the newest answer.
func (c *Core) Waiters(name string) int { return c.held[name].QueueLength }

// SetServers raises the number of servers that can be called: a member has joined.
func (c *Core) SetServers(servers int) { c.cfg.Servers = max(c.cfg.Servers, servers) }
