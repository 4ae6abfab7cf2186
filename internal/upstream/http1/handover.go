package http1

import (
	"context"
	"net"
	"slices"
	"time"

	"frostlink/internal/socket"
	"frostlink/internal/upstream"
)

// quiescePollInterval is the interval between checks whether all attempts have ended or are detached.
const quiescePollInterval = time.Millisecond

// IdleConn is an idle connection to an endpoint that belongs to no pool.
type IdleConn struct {
	upstream.Target
	Conn  *net.TCPConn
	Since time.Time // when the connection became idle
}

// beginAttempt counts a new attempt. It reports false, and counts none, if the pool is quiesced.
func (p *Pool) beginAttempt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quiesced {
		return false
	}
	p.attempts++
	return true
}

func (p *Pool) endAttempt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts--
}

func (p *Pool) isQuiesced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quiesced
}

// activate marks a connection as active. It reports false if the pool is quiesced and the attempt
// would write a request. If the request was already written, a quiesced pool detaches the attempt
// again at once.
func (p *Pool) activate(c *conn, start connState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quiesced && start == connWriting {
		return false
	}
	if p.quiesced {
		_ = c.SetReadDeadline(socket.PastDeadline)
	} else {
		_ = c.SetReadDeadline(time.Time{})
	}
	p.active[c] = true
	return true
}

// deactivate marks a connection as no longer active. If the connection is detached with its attempt,
// it no longer counts towards the size of the pool.
func (p *Pool) deactivate(c *conn, detached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
	if detached {
		p.size--
	}
}

// Quiesce lets no new attempt start and detaches the attempts that await a response; it waits for
// those whose response has begun. When ctx ends, it closes the connections of attempts that are still
// in flight. Once no attempt is in flight, it returns the idle connections, which no longer belong to
// the pool.
func (p *Pool) Quiesce(ctx context.Context) (idle []IdleConn) {
	p.beginQuiesce()
	p.awaitNoAttempts(ctx)
	return p.detachIdle()
}

// beginQuiesce cancels the dials, and interrupts the reads of the active connections.
func (p *Pool) beginQuiesce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quiesced = true
	for _, cancel := range p.dialing {
		cancel()
	}
	for c := range p.active {
		_ = c.SetReadDeadline(socket.PastDeadline)
	}
}

// awaitNoAttempts waits until no attempt is in flight. When ctx ends, it closes the connections of
// the remaining attempts.
func (p *Pool) awaitNoAttempts(ctx context.Context) {
	for closed := false; p.inFlight() > 0; time.Sleep(quiescePollInterval) {
		if ctx.Err() != nil && !closed {
			closed = true
			p.closeActive()
		}
	}
}

func (p *Pool) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.attempts
}

func (p *Pool) closeActive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.active {
		_ = c.Close()
	}
}

// detachIdle removes the idle connections that are usable from the pool, and closes the others.
func (p *Pool) detachIdle() (idle []IdleConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, set := range p.idle {
		for _, c := range set.conns {
			raw, ok := c.Conn.(*net.TCPConn)
			if !ok || !c.isQuiet() || time.Since(c.idleSince) >= p.maxIdleTime {
				p.close(c)
				continue
			}
			c.setState(connDetached)
			idle = append(idle, IdleConn{target, raw, c.idleSince})
			p.size--
		}
		set.conns = nil
	}
	// The adopting pool adds the connections to its sets in this order. A set is ordered by the time
	// at which its connections became idle.
	slices.SortFunc(idle, func(a, b IdleConn) int { return a.Since.Compare(b.Since) })
	return idle
}

// Resume undoes Quiesce and adopts the idle connections again. Detached attempts are continued with
// AwaitResponse.
func (p *Pool) Resume(idle []IdleConn) {
	p.mu.Lock()
	p.quiesced = false
	p.mu.Unlock()
	for _, c := range idle {
		p.Adopt(c)
	}
}

// Adopt caches an idle connection that a pool has detached, usually one of another process. It closes
// the connection if the pool is at its capacity.
func (p *Pool) Adopt(c IdleConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.size >= p.capacity {
		_ = c.Conn.Close()
		return
	}
	set := p.idleSetOf(c.Target)
	adopted := newConn(c.Conn, set)
	adopted.idleSince, adopted.respondedAt = c.Since, c.Since
	set.conns = append(set.conns, adopted)
	p.size++
}

// AwaitResponse waits for the response to a request that was already written on the connection raw.
// While the pool is quiesced, it returns raw as detached.
func (p *Pool) AwaitResponse(ctx context.Context, r upstream.Request, raw *net.TCPConn) upstream.Result {
	requestCtx, attemptCtx, cancel := withDeadlines(ctx, &r)
	defer cancel()
	set := p.beginDetachedAttempt(r.Target)
	if set == nil {
		return upstream.Result{Detached: raw}
	}
	defer p.endAttempt()
	return p.runAttempt(requestCtx, attemptCtx, newConn(raw, set), r, connAwaitingResponse)
}

// beginDetachedAttempt counts a detached attempt that is continued, and its connection, even if that
// exceeds the capacity. It returns the set to which the connection belongs; nil if the pool is
// quiesced.
func (p *Pool) beginDetachedAttempt(t upstream.Target) *idleSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quiesced {
		return nil
	}
	p.attempts++
	p.size++
	return p.idleSetOf(t)
}
