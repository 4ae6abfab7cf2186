package lease

import (
	"time"

	"frostlink/internal/coord"
)

// HandleResult handles the result of a call. It ignores the result of a call that has already timed out, whose command is sent
// again.
func (c *Core) HandleResult(now time.Duration, id uint64, r coord.Result) {
	call, ok := c.inFlight[id]
	if !ok {
		return
	}
	delete(c.inFlight, id)
	c.failures, c.notBefore = 0, 0
	if call.command.Op == coord.OpOpen && !c.handleOpen(now, call, r) {
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
	// If a hint arrived while the call was in flight, the change may be later than this result, so the renewal stays due at
	// once.
	if !c.hintPending {
		c.renewAt = max(c.renewAt, call.sent+c.cfg.TTL/renewalsPerTTL)
	}
	if r.CommandIndex > c.lastCommandIndex {
		c.lastCommandIndex = r.CommandIndex
		c.applyHoldings(now, r)
	}
}

// handleOpen handles the result of opening a session, and reports whether the session was opened.
func (c *Core) handleOpen(now time.Duration, call inFlightCall, r coord.Result) bool {
	if r.Code != coord.CodeOK { // the service did not open a session, for instance because it has too many
		c.backOff(now)
		return false
	}
	if c.session == 0 && call.command.Nonce == c.nonce {
		c.session = r.Session
	}
	return true
}

// concernsSession reports whether a result is about the present session.
func (c *Core) concernsSession(call inFlightCall, r coord.Result) bool {
	switch {
	case call.command.Op != coord.OpOpen && call.command.Session != c.session:
		return false
	case call.command.Op == coord.OpClose:
		return false
	}
	return r.Session == 0 || r.Session == c.session
}

// completePending handles the result of the pending command.
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
		request.successor = "" // the successor is not queued any more: release the lease to the first in the queue
	}
}

// applyHoldings replaces the held, revoked and queued leases with those of the newest result.
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
	// A lease that is held but not requested is released. It may have been granted by a command whose result was lost, and the
	// request withdrawn meanwhile.
	for name := range c.held {
		if c.requests[name] == nil && len(c.requests) < c.maxHeld() {
			c.requests[name] = &request{releasing: true}
		}
	}
}
