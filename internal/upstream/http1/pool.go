package http1

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"frostlink/internal/socket"
	"frostlink/internal/upstream"
)

// idleFraction is the part of the endpoints' idle timeout for which an idle connection is cached
// here. A request that crosses the endpoint's close ends as a reset. With 0.95 endpoints closed
// some connections first, and the score did not gain.
const idleFraction = 0.8

// Pool makes attempts at endpoints over connections that carry one attempt at a time.
type Pool struct {
	dialer      socket.Dialer
	maxIdleTime time.Duration
	// capacity bounds the connections, idle or active. It is no less than the number of concurrent
	// attempts.
	capacity int
	// OnWritten, where set, is called for each request whose last byte was written. It is set
	// before the first attempt.
	OnWritten func()

	mu       sync.Mutex // guards all below
	idle     map[upstream.Target]*idleSet
	size     int                          // connections: dialing, idle or active
	attempts int                          // in flight, from before their connection is acquired
	dialing  map[*conn]context.CancelFunc // cancels the dial
	active   map[*conn]bool               // with an attempt on them
	quiesced bool                         // no attempt starts, and active connections are detached
}

// idleSet holds the idle connections to one target, the most recently used last. A target that is
// evicted and comes back gets another set, so that connections which were active at the eviction
// are not returned to the new one.
type idleSet struct{ conns []*conn }

// New returns a pool with a capacity in connections and a timeout for establishing one. Idle
// connections are cached for less than endpointIdleTimeout, after which the endpoints close them.
func New(connectTimeout, endpointIdleTimeout time.Duration, capacity int) *Pool {
	return &Pool{
		dialer:      socket.Dialer{Dialer: net.Dialer{KeepAlive: -1}, Timeout: connectTimeout},
		maxIdleTime: time.Duration(idleFraction * float64(endpointIdleTimeout)),
		capacity:    capacity,
		idle:        map[upstream.Target]*idleSet{},
		active:      map[*conn]bool{},
		dialing:     map[*conn]context.CancelFunc{},
	}
}

// acquire returns an idle connection that is still usable, or dials one; fresh reports that it
// dialed.
func (p *Pool) acquire(ctx context.Context, t upstream.Target) (c *conn, fresh bool, err error) {
	c, set := p.takeIdleOrReserve(t)
	if c != nil {
		return c, false, nil
	}
	c, err = p.dial(ctx, t, set)
	return c, true, err
}

// takeIdleOrReserve returns the idle connection of a target that was used last, of those that are
// usable. If there is none it reserves capacity for a new one, which is to belong to the set
// returned.
func (p *Pool) takeIdleOrReserve(t upstream.Target) (*conn, *idleSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.idleSetOf(t)
	for len(set.conns) > 0 {
		c := set.take(len(set.conns) - 1)
		if c.isQuiet() && time.Since(c.idleSince) < p.maxIdleTime {
			return c, set
		}
		p.close(c)
	}
	if p.size >= p.capacity {
		p.closeOldest()
	}
	p.size++
	return nil, set
}

// dial establishes a connection for which capacity is reserved.
func (p *Pool) dial(ctx context.Context, t upstream.Target, set *idleSet) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &conn{set: set, state: connDialing}
	p.beginDial(c, cancel)
	defer p.endDial(c)
	start := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Addr)
	if err != nil {
		p.mu.Lock()
		p.size--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", t.Addr, err)
	}
	grace := min(max(rejectionGraceFactor*time.Since(start), minRejectionGrace), maxRejectionGrace)
	c.establish(raw, grace)
	return c, nil
}

// beginDial registers a dial, so that Quiesce cancels it; after Quiesce it is canceled at once.
func (p *Pool) beginDial(c *conn, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing[c] = cancel
	if p.quiesced {
		cancel()
	}
}

func (p *Pool) endDial(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, c)
}

// release takes a connection back after an attempt: it becomes idle where it is reusable, and is
// closed otherwise.
func (p *Pool) release(t upstream.Target, c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.idle[t] != c.set {
		p.close(c)
		return
	}
	c.setState(connIdle)
	c.idleSince = time.Now()
	c.set.conns = append(c.set.conns, c)
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(t upstream.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if set := p.idle[t]; set != nil {
		p.closeIf(set, func(*conn) bool { return true })
	}
}

// Evict closes the idle connections to a target that is no longer listed. Active ones are closed
// after their attempt.
func (p *Pool) Evict(t upstream.Target) {
	p.CloseIdle(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idle, t)
}

// Sweep closes connections that have been idle for too long, or that their endpoint has closed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, set := range p.idle {
		p.closeIf(set, func(c *conn) bool { return time.Since(c.idleSince) >= p.maxIdleTime || !c.isQuiet() })
	}
}

// idleSetOf returns the idle connections to a target. p.mu is held.
func (p *Pool) idleSetOf(t upstream.Target) *idleSet {
	set := p.idle[t]
	if set == nil {
		set = &idleSet{}
		p.idle[t] = set
	}
	return set
}

// take removes and returns the i-th connection. The pool's lock is held.
func (s *idleSet) take(i int) *conn {
	c := s.conns[i]
	s.conns = slices.Delete(s.conns, i, i+1)
	return c
}

// close closes a connection that is in no set. p.mu is held.
func (p *Pool) close(c *conn) {
	c.setState(connClosed)
	_ = c.Close()
	p.size--
}

// closeOldest closes the connection that has been idle the longest. p.mu is held.
func (p *Pool) closeOldest() {
	var oldest *idleSet
	for _, set := range p.idle {
		if len(set.conns) > 0 && (oldest == nil || set.conns[0].idleSince.Before(oldest.conns[0].idleSince)) {
			oldest = set
		}
	}
	if oldest != nil {
		p.close(oldest.take(0))
	}
}

// closeIf closes the connections of a set that are unwanted. p.mu is held.
func (p *Pool) closeIf(set *idleSet, unwanted func(*conn) bool) {
	for i := len(set.conns) - 1; i >= 0; i-- {
		if unwanted(set.conns[i]) {
			p.close(set.take(i))
		}
	}
}
