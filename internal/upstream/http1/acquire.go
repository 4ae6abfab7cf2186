package http1

import (
	"context"
	"time"

	"frostlink/internal/upstream"
)

// A second connection is dialed if the first is not established after hedgeFactor times the shortest dial to the target, within
// minHedgeDelay and maxHedgeDelay. Some connections are established only after a second, and another one meanwhile at once.
const (
	hedgeFactor   = 3
	minHedgeDelay = 30 * time.Millisecond
	maxHedgeDelay = 250 * time.Millisecond
)

// acquire returns a connection that may carry a request: an idle one, a new one, or one that has rested long enough meanwhile,
// whichever is available first. dialed reports that the connection is new, or that none could be established.
func (p *Pool) acquire(ctx context.Context, t upstream.Target) (c *conn, dialed bool, err error) {
	c, set := p.takeIdleOrReserve(t)
	if c != nil {
		return c, false, nil
	}
	d := newDials(ctx, p, t, set)
	defer d.stop()
	d.start()
	return d.await(ctx)
}

// takeIdleOrReserve returns the most recently used connection to a target that may carry a request now. If there is none, it
// reserves capacity for a new connection, which belongs to the returned set; at full capacity it closes the connection that has been
// idle the longest.
func (p *Pool) takeIdleOrReserve(t upstream.Target) (*conn, *idleSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.idleSetOf(t)
	if c := p.takeRestedLocked(t, set); c != nil {
		return c, set
	}
	if p.size >= p.capacity {
		p.closeOldest()
	}
	p.size++
	return nil, set
}

// takeRested returns the most recently used connection to a target that may carry a request now, or nil.
func (p *Pool) takeRested(t upstream.Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeRestedLocked(t, p.idleSetOf(t))
}

// takeRestedLocked is takeRested for a target's set. p.mu is held.
func (p *Pool) takeRestedLocked(t upstream.Target, set *idleSet) *conn {
	p.closeUnusable(t, set)
	for i := len(set.conns) - 1; i >= 0; i-- {
		if rest, reusable := set.restTime(i); rest == 0 && reusable {
			return set.take(i)
		}
	}
	return nil
}

// nextRested returns a channel that receives a value once an idle connection to a target may carry a request. resting is false, and
// the channel nil, if there is no such connection.
func (p *Pool) nextRested(t upstream.Target) (rested <-chan time.Time, resting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := p.idleSetOf(t)
	least := time.Duration(0)
	for i := range set.conns {
		if rest, reusable := set.restTime(i); reusable && (!resting || rest < least) {
			least, resting = rest, true
		}
	}
	if !resting {
		return nil, false
	}
	return time.After(least), true
}

// restTime returns how long the i-th connection of a set must still rest, and whether it may carry another request at all.
func (s *idleSet) restTime(i int) (rest time.Duration, reusable bool) {
	now := time.Now()
	return s.responder.RestTime(now, now.Sub(s.conns[i].respondedAt))
}

// reserve reserves capacity for a further connection, without closing another one. It reports false if there is none.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.size >= p.capacity || p.quiesced {
		return false
	}
	p.size++
	return true
}

// hedgeDelay returns the time after which a second connection is dialed.
func (p *Pool) hedgeDelay(set *idleSet) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(hedgeFactor*set.shortestDial, minHedgeDelay), maxHedgeDelay)
}

// recordDial records the duration of a dial that succeeded.
func (p *Pool) recordDial(set *idleSet, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if set.shortestDial == 0 || duration < set.shortestDial {
		set.shortestDial = duration
	}
}

// dialResult is the result of a dial.
type dialResult struct {
	conn *conn
	err  error
}

// dials are the pending dials of one attempt. A connection that is established after the attempt has got another one becomes idle.
type dials struct {
	pool    *Pool
	ctx     context.Context // without the cancellation of the attempt
	cancel  context.CancelFunc
	target  upstream.Target
	set     *idleSet
	results chan dialResult
	stopped chan struct{} // closed when the attempt needs no further connection
	pending int
}

func newDials(ctx context.Context, p *Pool, t upstream.Target, set *idleSet) *dials {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &dials{pool: p, ctx: ctx, cancel: cancel, target: t, set: set, results: make(chan dialResult), stopped: make(chan struct{})}
}

// start dials another connection, for which capacity is reserved.
func (d *dials) start() {
	d.pending++
	go func() {
		c, err := d.pool.dial(d.ctx, d.target, d.set)
		select {
		case d.results <- dialResult{c, err}:
		case <-d.stopped:
			if err == nil {
				d.pool.cacheUnused(d.target, c)
			}
		}
	}()
}

// await returns the first connection that is available: a new one, or one that has rested long enough.
func (d *dials) await(ctx context.Context) (c *conn, dialed bool, err error) {
	hedge := time.NewTimer(d.pool.hedgeDelay(d.set))
	defer hedge.Stop()
	for {
		rested, resting := d.pool.nextRested(d.target)
		select {
		case result := <-d.results:
			d.pending--
			if result.err == nil || d.pending == 0 && (!resting || d.pool.isQuiesced()) {
				return result.conn, true, result.err
			}
		case <-hedge.C:
			if d.pool.reserve() {
				d.start()
			}
		case <-rested:
			if c := d.pool.takeRested(d.target); c != nil {
				return c, false, nil
			}
		case <-ctx.Done():
			d.cancel()
			return nil, true, ctx.Err() //nolint:wrapcheck // the caller classifies it by the context
		}
	}
}

// stop lets the pending dials go on without the attempt.
func (d *dials) stop() { close(d.stopped) }

// cacheUnused caches a new connection that its attempt does not need any more.
func (p *Pool) cacheUnused(t upstream.Target, c *conn) { p.release(t, c, !p.isQuiesced()) }
