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
	"frostlink/policy"
)

// idleFraction is the fraction of the endpoints' idle timeout for which the pool caches an idle
// connection. The margin avoids requests that end in a reset because the endpoint closes the
// connection at the same time. A fraction of 0.95 has no benefit, and endpoints then close some
// connections before the pool does.
const idleFraction = 0.8

// Pool makes attempts at endpoints over persistent connections, each with one attempt at a time.
type Pool struct {
	dialer      socket.Dialer
	maxIdleTime time.Duration
	// capacity bounds the number of idle and active connections. It is at least the number of
	// concurrent attempts.
	capacity int
	// OnWritten, if set, is called for each request whose last byte was written. It must be set
	// before the first attempt.
	OnWritten func()
	// OnExtraResponse, if set, is called for each response that an endpoint wrote although nobody asked for it. It must be set
	// before the first attempt, and must not block.
	OnExtraResponse func(ExtraResponse)

	mu       sync.Mutex // guards the fields below
	idle     map[upstream.Target]*idleSet
	size     int                          // number of connections: dialing, idle or active
	attempts int                          // attempts in flight, counted before they acquire a connection
	dialing  map[*conn]context.CancelFunc // cancels each pending dial
	active   map[*conn]bool               // connections that carry an attempt
	quiesced bool                         // no new attempt starts, and active connections are detached
}

// idleSet holds the idle connections to one target, the most recently used one last. A target that
// is evicted and listed again gets a new set, so that connections that were active at the eviction
// are not cached in the new set.
type idleSet struct {
	conns     []*conn
	responder policy.Responder // what is known of the endpoint's responses
	// shortestDial is the duration of the shortest dial that succeeded; 0: none has.
	shortestDial time.Duration
}

// New returns a pool of at most capacity connections. connectTimeout bounds the dial of a
// connection. Idle connections are cached for less than endpointIdleTimeout, after which endpoints
// close them.
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

// Size returns the number of connections, and of attempts in flight.
func (p *Pool) Size() (conns, attempts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.size, p.attempts
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
	duration := time.Since(start)
	p.recordDial(set, duration)
	grace := min(max(rejectionGraceFactor*duration, minRejectionGrace), maxRejectionGrace)
	c.establish(raw, grace)
	return c, nil
}

// beginDial registers a dial so that Quiesce can cancel it. If the pool is already quiesced, it
// cancels the dial at once.
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

// release returns a connection to the pool after an attempt. The connection becomes idle if it is
// reusable and its target was not evicted, and is closed otherwise.
func (p *Pool) release(t upstream.Target, c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || c.closeOnRelease || p.idle[t] != c.set || c.set.responder.Distrusted(time.Now()) {
		p.close(c)
		return
	}
	c.setState(connIdle)
	c.idleSince, c.restedQuietly = time.Now(), false
	c.set.conns = append(c.set.conns, c)
}

// CloseIdle closes the idle connections to a target. Those whose last response is not confirmed yet are closed once it is.
func (p *Pool) CloseIdle(t upstream.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.idle[t]
	if set == nil {
		return
	}
	p.closeIf(set, func(*conn) bool { return true })
	for c := range p.active {
		if c.set == set && c.unconfirmed {
			c.closeOnRelease = true
		}
	}
}

// Evict closes the idle connections to a target that has left the endpoint list. Active connections
// are closed after their attempt.
func (p *Pool) Evict(t upstream.Target) {
	p.CloseIdle(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.idle, t)
}

// Sweep closes the idle connections that have reached their maximum idle time or that the endpoint
// has closed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, set := range p.idle {
		p.closeUnusable(target, set)
	}
}

// closeUnusable closes the idle connections of a set that have reached their maximum idle time, that the endpoint has closed, or on
// which it has written something that nobody asked for. p.mu is held.
func (p *Pool) closeUnusable(t upstream.Target, set *idleSet) {
	p.closeIf(set, func(c *conn) bool {
		if c.hasUnread() {
			p.extraResponse(t, set, ExtraOnIdleConn, c.restedQuietly)
			return true
		}
		rest, _ := set.responder.RestTime(time.Now(), time.Since(c.respondedAt))
		c.restedQuietly = rest == 0
		return time.Since(c.idleSince) >= p.maxIdleTime || !c.isQuiet()
	})
	if set.responder.Distrusted(time.Now()) {
		p.closeIf(set, func(*conn) bool { return true })
	}
}

// idleSetOf returns the set of idle connections to a target, and creates it if needed. p.mu is held.
func (p *Pool) idleSetOf(t upstream.Target) *idleSet {
	set := p.idle[t]
	if set == nil {
		set = &idleSet{}
		p.idle[t] = set
	}
	return set
}

// take removes the i-th connection from the set and returns it. The pool's lock is held.
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

// closeIf closes the connections of a set for which unwanted returns true. p.mu is held.
func (p *Pool) closeIf(set *idleSet, unwanted func(*conn) bool) {
	for i := len(set.conns) - 1; i >= 0; i-- {
		if unwanted(set.conns[i]) {
			p.close(set.take(i))
		}
	}
}
