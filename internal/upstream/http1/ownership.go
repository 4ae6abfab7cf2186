package http1

import (
	"context"
	"time"

	"frostlink/internal/upstream"
	"frostlink/policy"
)

// ExtraSign is how the pool noticed a response that nobody asked for.
type ExtraSign string

// The signs of a response that nobody asked for.
const (
	ExtraOnIdleConn    ExtraSign = "on an idle connection"
	ExtraAfterResponse ExtraSign = "after a response"
	ExtraUnconfirmed   ExtraSign = "after an early response"
)

// ExtraResponse is a response that an endpoint wrote although nobody asked for it.
type ExtraResponse struct {
	upstream.Target
	Sign  ExtraSign
	Total int // how many the endpoint has written, including this one
}

// extraResponse records a response that nobody asked for. late is set if it is known to have come long after the response before it.
// p.mu is held.
func (p *Pool) extraResponse(t upstream.Target, set *idleSet, sign ExtraSign, late bool) {
	total := set.responder.ExtraResponse(time.Now(), late)
	if p.OnExtraResponse != nil {
		p.OnExtraResponse(ExtraResponse{Target: t, Sign: sign, Total: total})
	}
}

// attribute decides whether a response belongs to the request in flight, and returns the result of the exchange accordingly. Only
// the first response on a connection belongs to its request for certain: an endpoint may follow a response with another one that
// nobody asked for, and nothing in a response names its request.
func (p *Pool) attribute(requestCtx context.Context, c *conn, r *upstream.Request, begunAt time.Time, res exchangeResult) exchangeResult {
	reused, latency := !c.respondedAt.IsZero() && !c.writtenAt.IsZero(), begunAt.Sub(c.writtenAt)
	if reused {
		x := policy.Exchange{Response: res.Response(), Latency: latency, Retryable: r.Retryable}
		if res = p.confirm(requestCtx, c, r, res, x); res.Doubt != upstream.NoDoubt {
			return res
		}
	}
	if c.beginsResponse() {
		p.recordExtraResponse(r.Target, c, ExtraAfterResponse)
	}
	if !c.writtenAt.IsZero() {
		p.accepted(c, res.Outcome, latency, reused)
	}
	c.respondedAt = time.Now()
	return res
}

// confirm waits, if necessary, until it is as certain as it can be whether a response belongs to the request in flight. It returns
// the result of the exchange, whose Doubt is empty if the response counts as the request's own.
func (p *Pool) confirm(requestCtx context.Context, c *conn, r *upstream.Request, res exchangeResult, x policy.Exchange) (confirmed exchangeResult) {
	owner, distrusted := p.owner(c, x)
	switch {
	case owner == policy.OwnResponse:
		return res
	case owner == policy.DoubtfulResponse && distrusted:
		return inDoubt(res, upstream.DoubtDistrusted)
	case owner == policy.DoubtfulResponse:
		return inDoubt(res, upstream.DoubtEarly)
	}
	if r.OnUnconfirmed != nil {
		r.OnUnconfirmed(res.Result)
	}
	begunAt := time.Now()
	defer func() { confirmed.Unconfirmed = time.Since(begunAt) }()
	next, response := p.awaitNextResponse(requestCtx, c)
	if next == responseFollowed || next == otherFollowed {
		p.recordExtraResponse(r.Target, c, ExtraUnconfirmed)
	}
	if next == nothingFollowed {
		res.reusable = res.reusable && c.clearDeadlines()
		return res
	}
	res.reusable = false
	likelyOwn := owner == policy.LikelyOwnResponse
	switch {
	case next == responseFollowed:
		combined, own := res.Response().FollowedBy(response)
		res.SetResponse(combined)
		if !own {
			res.Doubt = upstream.DoubtFollowed
		}
	case next == connectionFailed:
		res.LikelyDelivered = likelyOwn
		res.SetResponse(res.Response().And(response))
		return inDoubt(res, upstream.DoubtConnFailed)
	case next == undecided && !likelyOwn:
		return inDoubt(res, upstream.DoubtUndecided)
	}
	return res
}

// beginsResponse reports whether the bytes that were read after a response begin another one. Other bytes may belong to the response,
// if its Content-Length is wrong.
func (c *conn) beginsResponse() bool {
	const version = "HTTP/1."
	if c.in.Buffered() < len(version) {
		return false
	}
	begin, _ := c.in.Peek(len(version)) // does not fail: the bytes are buffered
	return string(begin) == version
}

// inDoubt returns the result of an exchange whose response may belong to an earlier request. Its connection is closed, which ends the
// request at the endpoint.
func inDoubt(res exchangeResult, reason upstream.Doubt) exchangeResult {
	res.reusable, res.Doubt = false, reason
	res.SetResponse(res.Response().InDoubt())
	return res
}

// awaitEarlyResponse waits for a response for as long as one is early, and returns the error of the read; nil if a response begins.
// Only this process knows when it wrote the request, so an early response must not be left to the one that continues the attempt.
func (p *Pool) awaitEarlyResponse(c *conn) error {
	if !c.respondedAt.IsZero() && !c.writtenAt.IsZero() {
		_ = c.SetReadDeadline(c.writtenAt.Add(p.earlyTime(c.set)))
	}
	_, err := c.in.Peek(1)
	return err //nolint:wrapcheck // the caller treats it as the error of its own read
}

func (p *Pool) earlyTime(set *idleSet) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return set.responder.EarlyTime()
}

// owner decides whether the response of an exchange on a connection belongs to its request. distrusted reports that the endpoint is.
func (p *Pool) owner(c *conn, x policy.Exchange) (owner policy.Ownership, distrusted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.Distrusted = c.set.responder.Distrusted(time.Now())
	return c.set.responder.Owner(x), x.Distrusted
}

// accepted records a response that belongs to its request.
func (p *Pool) accepted(c *conn, outcome policy.Outcome, latency time.Duration, reused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.unconfirmed = false
	c.set.responder.Accepted(outcome, latency, reused)
}

// recordExtraResponse records a response that nobody asked for on a connection.
func (p *Pool) recordExtraResponse(t upstream.Target, c *conn, sign ExtraSign) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extraResponse(t, c.set, sign, sign == ExtraUnconfirmed)
}
