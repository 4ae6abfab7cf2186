package lease

import (
	"maps"
	"slices"
	"time"

	"frostlink/internal/coord"
)

const (
	// renewalsPerTTL is how often a session is renewed in its time to live: two renewals may be lost.
	renewalsPerTTL = 3
	// firstBackoff is the part of the time to live by which the first failed call puts the next one off at most, and
	// backoffDoublings how often that doubles.
	firstBackoff, backoffDoublings = 8, 2
	// noLeader stands for a server that is not known.
	noLeader = -1
)

// Call is a command to be sent to a server.
type Call struct {
	ID      uint64
	Server  int
	Command coord.Command
}

// inFlightCall is a call whose answer has not come.
type inFlightCall struct {
	sent    time.Duration
	server  int
	command coord.Command
}

// Next returns the calls to be sent now, and when to ask again at the latest.
func (c *Core) Next(now time.Duration) ([]Call, time.Duration) {
	c.failTimedOut(now)
	calls := c.startCall(now)
	return calls, max(c.nextWake(now), now+time.Millisecond)
}

// failTimedOut gives up calls whose time is over.
func (c *Core) failTimedOut(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.inFlight)) {
		if now >= c.inFlight[id].sent+c.cfg.Timeout {
			c.HandleFailure(now, id, noLeader)
		}
	}
}

// startCall returns the next call, if there is one to be sent.
func (c *Core) startCall(now time.Duration) []Call {
	if c.cfg.Servers == 0 || now < c.notBefore {
		return nil
	}
	command := c.nextCommand(now)
	if command == nil {
		return nil
	}
	c.hintPending = false
	c.nextCall++
	call := Call{ID: c.nextCall, Server: c.server, Command: *command}
	c.inFlight[call.ID] = inFlightCall{sent: now, server: call.Server, command: call.Command}
	if command.Op == coord.OpClose {
		// The close may arrive at any time from now on: the session must not be used again, whatever becomes of this call.
		c.resetSession()
	}
	return []Call{call}
}

// nextWake is when something is due by time alone.
func (c *Core) nextWake(now time.Duration) time.Duration {
	wake := now + c.cfg.TTL
	if len(c.inFlight) == 0 && (c.session != 0 || !c.idle()) {
		wake = max(c.renewAt, c.notBefore)
	}
	for _, call := range c.inFlight {
		wake = min(wake, call.sent+c.cfg.Timeout)
	}
	for _, r := range c.requests {
		if r.notBefore > now {
			wake = min(wake, r.notBefore)
		}
	}
	if len(c.openActs) > 0 {
		wake = min(wake, c.validUntil)
	}
	return wake
}

// nextCommand returns what is to be sent next, or nil. One call is in flight at a time: its answer renews the session, too.
func (c *Core) nextCommand(now time.Duration) *coord.Command {
	if len(c.inFlight) > 0 || c.idle() && c.session == 0 {
		return nil
	}
	if c.session == 0 {
		return &coord.Command{Op: coord.OpOpen, Nonce: c.nonce, Name: c.cfg.Name, TTL: c.cfg.TTL}
	}
	if c.pending == nil {
		c.pending = c.nextChange(now)
	}
	if c.pending != nil {
		return c.pending
	}
	if c.idle() {
		return &coord.Command{Op: coord.OpClose, Session: c.session}
	}
	if now >= c.renewAt {
		return &coord.Command{Op: coord.OpRenew, Session: c.session}
	}
	return nil
}

// idle reports that nothing is requested, and nothing left to be released.
func (c *Core) idle() bool {
	return len(c.requests)+len(c.held)+len(c.revoked)+len(c.puts) == 0
}

// nextChange returns the next command that changes something: revoked leases are released first, since others wait for
// them.
func (c *Core) nextChange(now time.Duration) *coord.Command {
	for _, name := range slices.Sorted(maps.Keys(c.revoked)) {
		if !c.hasOpenAct(name) {
			return c.release(coord.Command{Op: coord.OpRelease, Lease: name, Token: c.revoked[name], Reason: "revoked"})
		}
	}
	if len(c.puts) > 0 {
		return c.numbered(c.puts[0].command)
	}
	for _, name := range slices.Sorted(maps.Keys(c.requests)) {
		if command := c.changeOf(now, name); command != nil {
			return command
		}
	}
	return nil
}

// changeOf returns the command that a request needs next, or nil. A request that is released and was never registered
// needs none, and is forgotten.
func (c *Core) changeOf(now time.Duration, name string) *coord.Command {
	r := c.requests[name]
	grant, held := c.held[name]
	switch {
	case r.releasing && held && c.hasOpenAct(name), now < r.notBefore:
	case r.releasing && held && r.successor != "":
		return c.release(coord.Command{Op: coord.OpTransfer, Lease: name, Token: grant.Token, To: r.successor})
	case r.releasing && (held || r.registered):
		return c.release(coord.Command{Op: coord.OpRelease, Lease: name, Token: grant.Token})
	case r.releasing:
		delete(c.requests, name)
	case !held && !r.registered:
		return c.numbered(coord.Command{Op: coord.OpAcquire, Lease: name, Reason: r.reason})
	}
	return nil
}

// numbered gives a command the session's next number.
func (c *Core) numbered(command coord.Command) *coord.Command {
	c.seq++
	command.Session, command.Seq = c.session, c.seq
	return &command
}

// release numbers a command that gives a lease away. From here on the lease may be another's: it is not held until a
// newer answer says so again.
func (c *Core) release(command coord.Command) *coord.Command {
	delete(c.held, command.Lease)
	delete(c.revoked, command.Lease)
	return c.numbered(command)
}

// HandleFailure takes a call without an answer, or one whose answer says that the server does not lead: leader is the
// server to call instead, or -1. The command may have been applied.
func (c *Core) HandleFailure(now time.Duration, id uint64, leader int) {
	call, ok := c.inFlight[id]
	if !ok {
		return
	}
	delete(c.inFlight, id)
	switch {
	case leader >= 0 && leader < c.cfg.Servers && leader != call.server:
		c.server = leader
	case c.server == call.server:
		c.server = (call.server + 1) % c.cfg.Servers
	}
	c.backOff(now)
}

// HandleHint takes word that something became of a lease that this process holds or waits for. It is a hint only: the
// next renewal asks.
func (c *Core) HandleHint(now time.Duration) {
	c.hintPending = true
	c.renewAt = min(c.renewAt, now)
}

// backOff puts the next call off, by at most an eighth of the time to live after the first failure, doubled up to a half,
// and at random, so that 300 processes whose sessions ended together do not come back together.
func (c *Core) backOff(now time.Duration) {
	c.failures++
	longest := c.cfg.TTL / firstBackoff << min(c.failures-1, backoffDoublings)
	c.notBefore = now + time.Duration(c.rand.Int64N(int64(longest)))
}
