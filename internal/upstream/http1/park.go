package http1

import (
	"context"
	"net"
	"slices"
	"time"

	"frostlink/internal/socket"
	"frostlink/internal/upstream"
)

// This file parks calls that wait for their answers, so that another process of the relay can wait for them, and hands
// over idle connections.

// parkEvery is between looks whether all calls are parked.
const parkEvery = time.Millisecond

// IdleConn is an idle connection to a host.
type IdleConn struct {
	upstream.Target
	Conn  *net.TCPConn
	Since time.Time
}

// begin notes a call, unless none may begin; end notes its end.
func (p *Pool) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen {
		return false
	}
	p.calls++
	return true
}

func (p *Pool) end() {
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
}

func (p *Pool) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// engage notes that a connection carries a call, unless that would write its request in a freeze.
func (p *Pool) engage(c *conn, write bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen && write {
		return false
	}
	if p.frozen {
		_ = c.SetReadDeadline(socket.Past)
	} else {
		_ = c.SetReadDeadline(time.Time{})
	}
	p.out[c] = true
	return true
}

// disengage notes that it carries none any more; one that is parked with its call leaves the pool.
func (p *Pool) disengage(c *conn, parked bool) {
	p.mu.Lock()
	delete(p.out, c)
	if parked {
		p.count--
	}
	p.mu.Unlock()
}

// Quiesce begins no call any more and ends those that wait for an answer as parked; one whose answer has begun comes to
// its end. Calls that are out when ctx ends lose their connections. It gives the idle connections.
func (p *Pool) Quiesce(ctx context.Context) (idle []IdleConn) {
	p.mu.Lock()
	p.frozen = true
	p.freeze()
	for c := range p.out {
		_ = c.SetReadDeadline(socket.Past)
	}
	p.mu.Unlock()
	for closed := false; ; time.Sleep(parkEvery) {
		p.mu.Lock()
		if p.calls == 0 {
			break
		}
		if ctx.Err() != nil && !closed {
			closed = true
			for c := range p.out {
				_ = c.Close()
			}
		}
		p.mu.Unlock()
	}
	defer p.mu.Unlock()
	for t, s := range p.idle {
		for _, c := range s.conns {
			if raw, ok := c.Conn.(*net.TCPConn); ok && c.up() && time.Since(c.since) < p.keep {
				idle = append(idle, IdleConn{t, raw, c.since})
				p.count--
				continue
			}
			p.close(c)
		}
		s.conns = nil
	}
	// In the order in which they became idle, so that the shelves stand as before.
	slices.SortFunc(idle, func(a, b IdleConn) int { return a.Since.Compare(b.Since) })
	return idle
}

// Resume goes on as before. Parked calls are resumed one by one.
func (p *Pool) Resume(idle []IdleConn) {
	p.mu.Lock()
	p.frozen = false
	p.dials, p.freeze = context.WithCancel(context.Background())
	p.mu.Unlock()
	for _, c := range idle {
		p.Adopt(c)
	}
}

// Adopt keeps an idle connection that another process had, where there is room.
func (p *Pool) Adopt(c IdleConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.room {
		_ = c.Conn.Close()
		return
	}
	home := p.idle[c.Target]
	if home == nil {
		home = &shelf{}
		p.idle[c.Target] = home
	}
	adopted := newConn(c.Conn, home)
	adopted.since = c.Since
	home.conns = append(home.conns, adopted)
	p.count++
}

// AwaitResponse waits for the answer to a call whose request was written, on the connection on which it was.
func (p *Pool) AwaitResponse(ctx context.Context, r upstream.Request, raw *net.TCPConn) upstream.Result {
	whole, ctx, cancel := times(ctx, &r)
	defer cancel()
	p.mu.Lock()
	if p.frozen {
		p.mu.Unlock()
		return upstream.Result{Detached: raw}
	}
	p.calls++
	p.count++
	home := p.idle[r.Target]
	if home == nil {
		home = &shelf{}
		p.idle[r.Target] = home
	}
	p.mu.Unlock()
	defer p.end()
	return p.carry(whole, ctx, newConn(raw, home), r, false)
}
