package lease

import (
	"maps"
	"slices"
	"time"

	"frostlink/internal/coord"
)

const (
	// renewalsPerTTL is the number of renewals within the session's time to live: two of them may be lost before it expires.
	renewalsPerTTL = 3
	// firstBackoff and backoffDoublings determine the longest pause after a failed call: the time to live divided by
	// firstBackoff, doubled with each further failure, at most backoffDoublings times.
	firstBackoff, backoffDoublings = 8, 2
	// noLeader is the server number of an unknown leader.
	noLeader = -1
)

// Call is a command that the caller sends to a server.
type Call struct {
	ID      uint64
	Server  int
	Command coord.Command
}

// inFlightCall is a call that has not been answered.
type inFlightCall struct {
	sent    time.Duration
	server  int
	command coord.Command
}

// Next returns the calls to be sent now, and the latest time at which Next must be called again.
func (c *Core) Next(now time.Duration) ([]Call, time.Duration) {
	c.failTimedOut(now)
	calls := c.startCall(now)
	return calls, max(c.nextWake(now), now+time.Millisecond)
}

// failTimedOut treats calls that have exceeded the timeout as failed.
func (c *Core) failTimedOut(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.inFlight)) {
		if now >= c.inFlight[id].sent+c.cfg.Timeout {
			c.HandleFailure(now, id, noLeader)
		}
	}
}

// startCall returns the next call, if a command is due.
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
		// The service may execute the close at any time from now on, so the session must not be used again, whether this call
		// succeeds or not.
		c.resetSession()
	}
	return []Call{call}
}

// nextWake returns the next time at which a call or cancellation may be due without a further event.
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

// nextCommand returns the next command to be sent, or nil. At most one call is in flight: any command renews the session, so no
// separate renewal is needed meanwhile.
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

// idle reports whether no lease is requested, held or to be released, and no put is queued.
func (c *Core) idle() bool {
	return len(c.requests)+len(c.held)+len(c.revoked)+len(c.puts) == 0
}

// nextChange returns the next command that changes leases or values, or nil. Revoked leases are released first, since other
// processes wait for them.
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
		if command := c.commandFor(now, name); command != nil {
			return command
		}
	}
	return nil
}

// commandFor returns the next command that a lease request needs, or nil. It deletes a request that is to be released if the
// lease is neither held nor queued for.
func (c *Core) commandFor(now time.Duration, name string) *coord.Command {
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

// numbered assigns the session and its next sequence number to a command.
func (c *Core) numbered(command coord.Command) *coord.Command {
	c.seq++
	command.Session, command.Seq = c.session, c.seq
	return &command
}

// release numbers a command that releases or transfers a lease. From now on the service may grant the lease to another process,
// so it counts as not held until a newer result lists it again.
func (c *Core) release(command coord.Command) *coord.Command {
	delete(c.held, command.Lease)
	delete(c.revoked, command.Lease)
	return c.numbered(command)
}

// HandleFailure handles a call that failed: it was not answered, or the answer says that the server is not the leader. leader
// is the number of the server to call instead, or -1. The command may have been applied.
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

// HandleHint handles a hint that a lease which this process holds or waits for has changed. It makes a renewal due at once,
// whose result shows the change.
func (c *Core) HandleHint(now time.Duration) {
	c.hintPending = true
	c.renewAt = min(c.renewAt, now)
}

// backOff delays the next call by a random time. Its maximum is an eighth of the time to live after the first failure, and
// doubles up to a half. The delay is random so that 300 processes whose sessions ended at the same time do not all reconnect at
// once.
func (c *Core) backOff(now time.Duration) {
	c.failures++
	longest := c.cfg.TTL / firstBackoff << min(c.failures-1, backoffDoublings)
	c.notBefore = now + time.Duration(c.rand.Int64N(int64(longest)))
}
