package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

const (
	// callWithin bounds one call; a renewal that takes longer is made anew elsewhere.
	callWithin = 500 * time.Millisecond
	// endWithin is how long giving back may take when the client ends.
	endWithin = time.Second
	// hintPause is between waits for hints where one failed.
	hintPause = 200 * time.Millisecond
)

// Client keeps a Core by calling the service. Its methods may be called from any goroutine.
type Client struct {
	caller *api.Caller
	log    *slog.Logger
	wake   chan struct{}

	mu      sync.Mutex
	core    *Core
	members []coord.Member
	open    map[uint64]*Act
	changed chan struct{} // closed when something may be held that was not, or the other way round
	puts    map[uint64]chan PutEnd
	ended   bool
}

// NewClient makes a client of a cluster's members. A time to live is that of its session.
func NewClient(name, cluster string, members []coord.Member, ttl, guard time.Duration, log *slog.Logger) *Client {
	return &Client{
		caller: api.NewCaller(cluster), members: members, log: log, wake: make(chan struct{}, 1), open: map[uint64]*Act{},
		changed: make(chan struct{}), puts: map[uint64]chan PutEnd{},
		core: New(Config{Name: name, TTL: ttl, Guard: guard, Timeout: min(callWithin, ttl/4), Servers: len(members), Seed: rand.Uint64()}),
	}
}

// with does something with the core, and lets Run see to what follows.
func (c *Client) with(f func(now time.Duration)) {
	c.mu.Lock()
	f(clock.SinceBoot())
	for _, end := range c.core.PutEnds() {
		if to := c.puts[end.ID]; to != nil {
			to <- end // has room for it
			delete(c.puts, end.ID)
		}
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Want asks for a lease, as Core.Want.
func (c *Client) Want(name, reason string) {
	c.with(func(time.Duration) {
		if !c.ended {
			c.core.Want(name, reason)
		}
	})
}

// Drop gives a lease back, as Core.Drop.
func (c *Client) Drop(name, to string) { c.with(func(time.Duration) { c.core.Drop(name, to) }) }

// Holds tells under which token a lease is held now.
func (c *Client) Holds(name string) (token uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _, ok = c.core.Holds(clock.SinceBoot(), name)
	return token, ok
}

// Grant tells how a lease is held now.
func (c *Client) Grant(name string) (g coord.Grant, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _, ok := c.core.Holds(clock.SinceBoot(), name)
	return coord.Grant{Lease: name, Token: token, Wait: c.core.Wait(name)}, ok
}

// Act is one act under a lease.
type Act struct {
	Ctx    context.Context // ends when the act has to be cut off
	Token  uint64
	client *Client
	permit Permit
	cut    context.CancelFunc
}

// Act allows one act that ends within cost, or says why not.
func (c *Client) Act(ctx context.Context, name string, cost time.Duration) (*Act, error) {
	var a *Act
	var err error
	c.with(func(now time.Duration) {
		var p Permit
		if p, err = c.core.Act(now, name, cost); err != nil {
			return
		}
		a = &Act{Token: p.Token, client: c, permit: p}
		a.Ctx, a.cut = context.WithCancel(ctx)
		c.open[p.id] = a
	})
	return a, err
}

// End ends the act. It is false where it ended too late: then another may have acted meanwhile.
func (a *Act) End() (inTime bool) {
	a.cut()
	a.client.with(func(now time.Duration) {
		delete(a.client.open, a.permit.id)
		inTime = a.client.core.Done(now, a.permit)
	})
	return inTime
}

// ErrUnknown is the end of a Put of which it is not known whether it was made.
var ErrUnknown = errors.New("it is not known whether the value is written")

// Put writes a value under a lease, as Core.Put, and waits for what becomes of it.
func (c *Client) Put(ctx context.Context, lease string, token uint64, key string, value []byte, expect uint64) (coord.Result, error) {
	end := make(chan PutEnd, 1)
	c.with(func(time.Duration) { c.puts[c.core.Put(lease, token, key, value, expect)] = end })
	select {
	case e := <-end:
		if e.Lost {
			return coord.Result{}, ErrUnknown
		}
		return e.Result, nil
	case <-ctx.Done():
		return coord.Result{}, ErrUnknown
	}
}

// Value reads a value as it is at some moment from now on; none has version 0.
func (c *Client) Value(ctx context.Context, key string) (value []byte, version uint64, err error) {
	c.mu.Lock()
	members := c.members
	c.mu.Unlock()
	a, err := c.caller.Lead(ctx, members, api.PathRead, api.Request{Query: &api.Query{Values: key}})
	if err != nil {
		return nil, 0, err
	}
	for _, v := range a.Values {
		if v.Key == key {
			return v.Value, v.Version, nil
		}
	}
	return nil, 0, nil
}

// Run keeps the session until its context ends, and gives back what is held then.
func (c *Client) Run(ctx context.Context) {
	calls, stop := context.WithCancel(context.WithoutCancel(ctx))
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { c.hints(calls) })
	var end <-chan time.Time
	over := ctx.Done()
	for {
		wait, idle := c.next(calls, &work)
		if end != nil && idle {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-over:
			over, end = nil, time.After(endWithin)
			c.with(func(time.Duration) {
				c.ended = true
				for name := range c.core.want {
					c.core.Drop(name, "")
				}
			})
		case <-end:
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// next cuts off what has to be, and sends what there is to send.
func (c *Client) next(ctx context.Context, work *sync.WaitGroup) (wait time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.SinceBoot()
	for _, p := range c.core.Cancelled(now) {
		if a := c.open[p.id]; a != nil {
			a.cut()
		}
	}
	calls, wake := c.core.Next(now)
	for _, call := range calls {
		at := c.members[call.Server].Address
		work.Go(func() { c.call(ctx, call, at) })
	}
	if len(c.core.acts) == 0 && c.core.trusted > now {
		wake = min(wake, c.core.trusted) // what is held ends then, and its task is to know
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return max(wake-now, time.Millisecond), c.core.idle() && c.core.session == 0
}

func (c *Client) call(ctx context.Context, call Call, at string) {
	within, stop := context.WithTimeout(ctx, c.core.cfg.Timeout)
	defer stop()
	answer, err := c.caller.Post(within, at, api.PathCommand, api.Request{Command: &call.Command})
	if errors.Is(err, api.ErrRefused) {
		c.log.Warn("the coordination service refuses", "why", err)
	}
	c.with(func(now time.Duration) {
		if err == nil && answer.Result != nil {
			c.core.Answered(now, call.ID, *answer.Result)
			return
		}
		c.members = api.Learn(c.members, answer)
		c.core.Extend(len(c.members))
		c.core.Failed(now, call.ID, c.number(answer.Leader))
	})
}

// number gives the number of the server that a member is, or -1.
func (c *Client) number(id uint64) int {
	for i, m := range c.members {
		if m.ID == id {
			return i
		}
	}
	return -1
}

// hints waits for word that something became of the session.
func (c *Client) hints(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		session, changed, at := c.core.session, c.changed, ""
		if session != 0 {
			at = c.members[c.core.server].Address
		}
		c.mu.Unlock()
		if session == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		answer, err := c.caller.Post(ctx, at, api.PathWait, api.Request{Wait: &api.Wait{Session: session}})
		if err == nil && answer.Hint {
			c.with(c.core.Hint)
		}
		if err != nil {
			select {
			case <-time.After(hintPause):
			case <-ctx.Done():
			}
		}
	}
}

// TTL is the time to live of the client's session.
func (c *Client) TTL() time.Duration { return c.core.cfg.TTL }
