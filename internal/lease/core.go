package lease

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frostlink/internal/coord"
)

// RateBound is the largest error of a clock's rate, as a fraction of the elapsed time. Quartz clocks are accurate to 200 parts
// per million; NTP slews a clock by at most 500 parts per million.
const RateBound = 500e-6

// randStream is the second half of the random generator's seed: the ASCII codes of "lease".
const randStream = 0x6c65617365

const (
	// heldPerRequest is the largest number of leases that the session holds for each one that is requested at a time.
	heldPerRequest = 2
	// minMaxHeld is added to that, so that few requests leave room for a change of what is requested.
	minMaxHeld = 100
)

// Config configures a Core.
type Config struct {
	Name    string        // of this process, as the service shows it to operators
	TTL     time.Duration // of its session
	Guard   time.Duration // a lease counts as lost this long before it expires, to cover the time between a check and the act
	Timeout time.Duration // of one call
	Servers int           // number of servers that can be called; they are numbered from 0
	Seed    uint64        // for the session's nonces and random delays
}

// Core manages a session and its leases, without I/O or a clock. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand

	// The session. While there is none, all of these fields but nonce are zero or empty.
	session          uint64
	nonce            string         // identifies the session before the service has assigned its id
	seq              uint64         // sequence number of the latest numbered command
	pending          *coord.Command // numbered command without a result; it is sent again until it has one
	validUntil       time.Duration  // when the session expires, on this process's clock
	lastCommandIndex uint64         // CommandIndex of the newest result
	held             map[string]coord.Grant
	revoked          map[string]uint64 // tokens of leases that an operator has revoked and that are not released yet

	requests map[string]*request
	// mostRequests is the largest number of leases that this process has requested at one time.
	mostRequests int
	puts         []queuedPut // in the order in which they are sent
	putResults   []PutResult // not yet taken by TakePutResults
	nextPut      uint64
	openActs     map[uint64]Permit
	nextAct      uint64

	// Calls to the service.
	inFlight    map[uint64]inFlightCall
	nextCall    uint64
	server      int           // number of the server for the next call
	failures    int           // number of consecutive failed calls
	notBefore   time.Duration // earliest time of the next call, after a failure
	renewAt     time.Duration
	hintPending bool // a hint has arrived since the last call was sent
}

// New returns a core without requests.
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

// resetSession discards the session. No lease is held any more, and the next session gets a new nonce.
func (c *Core) resetSession() {
	c.session, c.seq, c.lastCommandIndex, c.validUntil, c.pending = 0, 0, 0, 0, nil
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

// request is a lease that this process has requested or holds.
type request struct {
	reason     string        // shown to operators
	registered bool          // the session is queued for the lease, according to the newest result
	releasing  bool          // the lease is to be released once no act under it is open
	successor  string        // name of the process that gets the lease next; empty: the first in the queue
	notBefore  time.Duration // commandFor returns no command before this time: the lease was revoked, or the service rejected a command
}

// Request requests a lease, and requests it again whenever it is lost, until Release.
func (c *Core) Request(name, reason string) {
	if r := c.requests[name]; r != nil {
		r.reason, r.releasing, r.successor = reason, false, ""
		return
	}
	c.requests[name] = &request{reason: reason}
	wanted := 0
	for _, r := range c.requests {
		if !r.releasing {
			wanted++
		}
	}
	c.mostRequests = max(c.mostRequests, wanted)
}

// maxHeld returns a number of leases that the session does not exceed: it holds none that this process has not requested, and of those
// that are being released it may still hold as many as were requested.
func (c *Core) maxHeld() int { return heldPerRequest*c.mostRequests + minMaxHeld }

// Release releases a lease as soon as no act under it is open, and allows no further act. If successor is not empty, the first
// queued process of that name gets the lease next.
func (c *Core) Release(name, successor string) {
	if r := c.requests[name]; r != nil {
		r.releasing, r.successor = true, successor
	}
}

// validity returns how long a renewal lasts after it was sent, on this process's clock. It allows for a fast clock of the
// service, a slow clock of this process, and the guard.
func (c *Core) validity() time.Duration {
	return time.Duration(float64(c.cfg.TTL)*(1-2*RateBound)) - c.cfg.Guard
}

// Holds returns the token under which a lease is held, and until when it is held if the session is not renewed.
func (c *Core) Holds(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	grant, held := c.held[name]
	return grant.Token, c.validUntil, held && now < c.validUntil
}

// Waiters returns the number of processes that are queued for a held lease, according to the newest result.
func (c *Core) Waiters(name string) int { return c.held[name].QueueLength }

// SetServers raises the number of servers after a member has joined; it never lowers it.
func (c *Core) SetServers(servers int) { c.cfg.Servers = max(c.cfg.Servers, servers) }
