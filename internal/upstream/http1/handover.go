package http1

import (
	"context"
	"net"
	"slices"
	"time"

	"frostlink/internal/socket"
	"frostlink/internal/upstream"
)

// quiescePollInterval is between checks whether all attempts have ended or are detached.
const quiescePollInterval = time.Millisecond

// IdleConn is an idle connection to an endpoint, outside of a pool.
type IdleConn struct {
	upstream.Target
	Conn  *net.TCPConn
	Since time.Time // idle since
}

// beginAttempt counts an attempt and reports true, unless the pool is quiesced.
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

// engage marks a connection as active and reports true, unless its attempt would write a request
// while the pool is quiesced. An attempt whose request was written before is detached again at
// once.
func (p *Pool) engage(c *conn, start connState) bool {
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

// disengage ends what engage began. A connection that is detached with its attempt leaves the pool.
func (p *Pool) disengage(c *conn, detached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
	if detached {
		p.size--
	}
}

// Quiesce starts no attempt any more and detaches those that await a response; one whose response
// has begun comes to its end. Attempts that are still in flight when ctx ends lose their
// connections. It returns once no attempt is in flight, with the idle connections, which no longer
// belong to the pool.
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

// awaitNoAttempts returns once no attempt is in flight. When ctx ends it closes the connections of
// those that are.
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

// detachIdle takes the idle connections that are usable out of the pool, and closes the others.
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
	// In the order in which they became idle, so that an adopting pool's sets have the same order.
	slices.SortFunc(idle, func(a, b IdleConn) int { return a.Since.Compare(b.Since) })
	return idle
}

// Resume ends Quiesce and takes the idle connections back. Detached attempts are gone on with by
// AwaitResponse.
func (p *Pool) Resume(idle []IdleConn) {
	p.mu.Lock()
	p.quiesced = false
	p.mu.Unlock()
	for _, c := range idle {
		p.Adopt(c)
	}
}

// Adopt caches an idle connection that another process had, within the pool's capacity; beyond that
// it is closed.
func (p *Pool) Adopt(c IdleConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.size >= p.capacity {
		_ = c.Conn.Close()
		return
	}
	set := p.idleSetOf(c.Target)
	adopted := newConn(c.Conn, set)
	adopted.idleSince = c.Since
	set.conns = append(set.conns, adopted)
	p.size++
}

// AwaitResponse waits for the response to a request that was written, on the connection on which it
// was. While the pool is quiesced it returns that connection detached.
func (p *Pool) AwaitResponse(ctx context.Context, r upstream.Request, raw *net.TCPConn) upstream.Result {
	requestCtx, attemptCtx, cancel := withDeadlines(ctx, &r)
	defer cancel()
	set := p.beginDetachedAttempt(r.Target)
	if set == nil {
		return upstream.Result{Detached: raw}
	}
	defer p.endAttempt()
	return p.carry(requestCtx, attemptCtx, newConn(raw, set), r, connAwaitingResponse)
}

// beginDetachedAttempt counts an attempt and its connection, also beyond the capacity, and returns
// the set to which the connection belongs; nil if the pool is quiesced.
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
