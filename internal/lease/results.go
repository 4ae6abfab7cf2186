package lease

import (
	"time"

	"frostlink/internal/coord"
)

// HandleResult takes the answer to a call. One to a call that was given up is ignored: its command is sent again.
func (c *Core) HandleResult(now time.Duration, id uint64, r coord.Result) {
	call, ok := c.inFlight[id]
	if !ok {
		return
	}
	delete(c.inFlight, id)
	c.failures, c.notBefore = 0, 0
	if call.command.Op == coord.OpOpen && !c.opened(now, call, r) {
		return
	}
	if !c.concernsSession(call, r) {
		return
	}
	if r.Code == coord.CodeNoSession {
		c.resetSession()
		return
	}
	if c.pending != nil && call.command.Seq == c.pending.Seq {
		c.completePending(now, r)
	}
	c.validUntil = max(c.validUntil, call.sent+c.validity())
	// A hint that came while the call was in flight may be of later than its answer.
	if !c.hintPending {
		c.renewAt = max(c.renewAt, call.sent+c.cfg.TTL/renewalsPerTTL)
	}
	if r.CommandIndex > c.stamp {
		c.stamp = r.CommandIndex
		c.applyHoldings(now, r)
	}
}

// opened takes the answer to the opening of a session, and reports whether it was accepted.
func (c *Core) opened(now time.Duration, call inFlightCall, r coord.Result) bool {
	if r.Code != coord.CodeOK { // the service has no room for a further session
		c.backOff(now)
		return false
	}
	if c.session == 0 && call.command.Nonce == c.nonce {
		c.session = r.Session
	}
	return true
}

// concernsSession reports whether an answer tells something of the session as it is now.
func (c *Core) concernsSession(call inFlightCall, r coord.Result) bool {
	switch {
	case call.command.Op != coord.OpOpen && call.command.Session != c.session:
		return false
	case call.command.Op == coord.OpClose:
		return false
	}
	return r.Session == 0 || r.Session == c.session
}

// completePending takes the result of the command that was pending.
func (c *Core) completePending(now time.Duration, r coord.Result) {
	command := c.pending
	c.pending = nil
	request := c.requests[command.Lease]
	switch {
	case command.Op == coord.OpPut:
		c.putResults = append(c.putResults, PutResult{ID: c.puts[0].id, Result: r})
		c.puts = c.puts[1:]
	case request == nil:
	case r.Code == coord.CodeLimitExceeded || r.Code == coord.CodeInvalid:
		request.notBefore = now + c.cfg.TTL
	case command.Op == coord.OpTransfer && r.Code == coord.CodeConflict:
		request.successor = "" // that one does not wait any more: the first in the queue is next
	}
}

// applyHoldings replaces what is known to be held by what the newest answer says.
func (c *Core) applyHoldings(now time.Duration, r coord.Result) {
	clear(c.held)
	clear(c.revoked)
	for _, request := range c.requests {
		request.registered = false
	}
	for _, grant := range r.Held {
		c.held[grant.Lease] = grant
	}
	for _, grant := range r.Revoked {
		c.revoked[grant.Lease] = grant.Token
		if request := c.requests[grant.Lease]; request != nil {
			request.notBefore = now + c.cfg.TTL
		}
	}
	for _, name := range r.Queued {
		if request := c.requests[name]; request != nil {
			request.registered = true
		}
	}
	// What is held and not requested, as after an answer that was lost, is released.
	for name := range c.held {
		if c.requests[name] == nil {
			c.requests[name] = &request{releasing: true}
		}
	}
}
