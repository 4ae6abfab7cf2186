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
	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

const (
	// callTimeout bounds one call, and so does callsPerTTL of the time to live; a renewal that takes longer is sent to another
	// member.
	callTimeout = 500 * time.Millisecond
	callsPerTTL = 4
	// releaseTimeout is how long the release of all leases may take when the client ends.
	releaseTimeout = time.Second
	// hintRetryPause is between waits for hints after one failed.
	hintRetryPause = 200 * time.Millisecond
)

// Client keeps a Core by calling the service. Its methods may be called from any goroutine.
type Client struct {
	caller *api.Caller
	log    *slog.Logger
	wake   chan struct{} // has Run look at the core again

	mu              sync.Mutex // guards all below
	core            *Core
	members         []coord.Member
	openActs        map[uint64]*Act
	holdingsChanged chan struct{} // closed when something may be held that was not, or the other way round
	puts            map[uint64]chan PutResult
	shuttingDown    bool
}

// NewClient returns a client of a cluster's members. ttl is the time to live of its session, guard as in Config.
func NewClient(name, cluster string, members []coord.Member, ttl, guard time.Duration, log *slog.Logger) *Client {
	return &Client{
		caller:          api.NewCaller(cluster),
		log:             log,
		wake:            make(chan struct{}, 1),
		members:         members,
		openActs:        map[uint64]*Act{},
		holdingsChanged: make(chan struct{}),
		puts:            map[uint64]chan PutResult{},
		core: New(Config{
			Name:    name,
			TTL:     ttl,
			Guard:   guard,
			Timeout: min(callTimeout, ttl/callsPerTTL),
			Servers: len(members),
			Seed:    rand.Uint64(),
		}),
	}
}

// update changes the core, delivers results of puts, and has Run act on the change.
func (c *Client) update(change func(now time.Duration)) {
	c.mu.Lock()
	change(clock.SinceBoot())
	for _, result := range c.core.TakePutResults() {
		if waiting := c.puts[result.ID]; waiting != nil {
			waiting <- result // has room for it
			delete(c.puts, result.ID)
		}
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// nextChangeOfHoldings returns a channel that is closed when leases may be held that were not, or the other way round.
func (c *Client) nextChangeOfHoldings() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdingsChanged
}

// Request requests a lease, as Core.Request.
func (c *Client) Request(name, reason string) {
	c.update(func(time.Duration) {
		if !c.shuttingDown {
			c.core.Request(name, reason)
		}
	})
}

// Release releases a lease, as Core.Release.
func (c *Client) Release(name, successor string) {
	c.update(func(time.Duration) { c.core.Release(name, successor) })
}

// Holds returns the token under which a lease is held now.
func (c *Client) Holds(name string) (token uint64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _, held = c.core.Holds(clock.SinceBoot(), name)
	return token, held
}

// Grant returns how a lease is held now.
func (c *Client) Grant(name string) (grant coord.Grant, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _, held := c.core.Holds(clock.SinceBoot(), name)
	return coord.Grant{Lease: name, Token: token, QueueLength: c.core.Waiters(name)}, held
}

// Act is one act under a lease.
type Act struct {
	Ctx    context.Context // ends when the act has to stop
	Token  uint64
	client *Client
	permit Permit
	cancel context.CancelFunc
}

// Act allows one act that ends within cost, or returns a RefusedError.
func (c *Client) Act(ctx context.Context, name string, cost time.Duration) (*Act, error) {
	var a *Act
	var err error
	c.update(func(now time.Duration) {
		var p Permit
		if p, err = c.core.Act(now, name, cost); err != nil {
			return
		}
		a = &Act{Token: p.Token, client: c, permit: p}
		a.Ctx, a.cancel = context.WithCancel(ctx)
		c.openActs[p.id] = a
	})
	return a, err
}

// End ends the act, and reports whether that was in time: where it was not, another process may have acted meanwhile.
func (a *Act) End() (inTime bool) {
	a.cancel()
	a.client.update(func(now time.Duration) {
		delete(a.client.openActs, a.permit.id)
		inTime = a.client.core.EndAct(now, a.permit)
	})
	return inTime
}

// ErrOutcomeUnknown is returned for a Put of which it is not known whether the value was written.
var ErrOutcomeUnknown = errors.New("it is not known whether the value is written")

// Put writes a value under a lease, as Core.Put, and waits for its result.
func (c *Client) Put(ctx context.Context, lease string, token uint64, key string, value []byte, expect uint64) (coord.Result, error) {
	results := make(chan PutResult, 1)
	c.update(func(time.Duration) { c.puts[c.core.Put(lease, token, key, value, expect)] = results })
	select {
	case r := <-results:
		if r.Lost {
			return coord.Result{}, ErrOutcomeUnknown
		}
		return r.Result, nil
	case <-ctx.Done():
		return coord.Result{}, ErrOutcomeUnknown
	}
}

// Value reads a value as it is at some moment from now on. A value that does not exist has version 0.
func (c *Client) Value(ctx context.Context, key string) (value []byte, version uint64, err error) {
	c.mu.Lock()
	members := c.members
	c.mu.Unlock()
	answer, err := c.caller.CallLeader(ctx, members, api.PathRead, api.Request{Query: &api.Query{Values: key}})
	if err != nil {
		return nil, 0, err
	}
	for _, v := range answer.Values {
		if v.Key == key {
			return v.Value, v.ModRevision, nil
		}
	}
	return nil, 0, nil
}

// Run keeps the session until its context ends, and then releases what is held.
func (c *Client) Run(ctx context.Context) {
	calls, stop := context.WithCancel(context.WithoutCancel(ctx))
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	work.Go(func() { c.followHints(calls) })
	var releaseEnd <-chan time.Time
	done := ctx.Done()
	for {
		pause, idle := c.step(calls, &work)
		if releaseEnd != nil && idle {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-done:
			done, releaseEnd = nil, time.After(releaseTimeout)
			c.releaseAll()
		case <-releaseEnd:
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// releaseAll releases all leases; none is requested any more.
func (c *Client) releaseAll() {
	c.update(func(time.Duration) {
		c.shuttingDown = true
		for name := range c.core.requests {
			c.core.Release(name, "")
		}
	})
}

// step cancels acts that have expired, and sends the calls that are due.
func (c *Client) step(ctx context.Context, work *sync.WaitGroup) (pause time.Duration, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.SinceBoot()
	for _, permit := range c.core.ExpiredActs(now) {
		if act := c.openActs[permit.id]; act != nil {
			act.cancel()
		}
	}
	calls, wake := c.core.Next(now)
	for _, call := range calls {
		address := c.members[call.Server].Address
		work.Go(func() { c.send(ctx, call, address) })
	}
	if len(c.core.openActs) == 0 && c.core.validUntil > now {
		wake = min(wake, c.core.validUntil) // what is held expires then, and its task is to know
	}
	close(c.holdingsChanged)
	c.holdingsChanged = make(chan struct{})
	return max(wake-now, time.Millisecond), c.core.idle() && c.core.session == 0
}

// send makes a call, and gives the core its result.
func (c *Client) send(ctx context.Context, call Call, address string) {
	ctx, stop := context.WithTimeout(ctx, c.core.cfg.Timeout)
	defer stop()
	answer, err := c.caller.Post(ctx, address, api.PathCommand, api.Request{Command: &call.Command})
	if errors.Is(err, api.ErrRejected) {
		c.log.Warn("the coordination service refuses", logkey.Err, err)
	}
	c.update(func(now time.Duration) {
		if err == nil && answer.Result != nil {
			c.core.HandleResult(now, call.ID, *answer.Result)
			return
		}
		c.members = api.AddLeader(c.members, answer)
		c.core.SetServers(len(c.members))
		c.core.HandleFailure(now, call.ID, c.serverOf(answer.Leader))
	})
}

// serverOf returns the number of the server that a member is, or noLeader.
func (c *Client) serverOf(id uint64) int {
	for i, m := range c.members {
		if m.ID == id {
			return i
		}
	}
	return noLeader
}

// followHints waits for hints that something became of the session, one long poll after the other.
func (c *Client) followHints(ctx context.Context) {
	for ctx.Err() == nil {
		session, address, changed := c.sessionAddress()
		if session == 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		answer, err := c.caller.Post(ctx, address, api.PathWait, api.Request{Wait: &api.Wait{Session: session}})
		switch {
		case err != nil:
			wait.For(ctx, hintRetryPause)
		case answer.Hint:
			c.update(c.core.HandleHint)
		}
	}
}

// sessionAddress returns the session, 0 for none, the address of the member that is called for it, and a channel that is
// closed when that may have changed.
func (c *Client) sessionAddress() (session uint64, address string, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core.session != 0 {
		address = c.members[c.core.server].Address
	}
	return c.core.session, address, c.holdingsChanged
}

// TTL is the time to live of the client's session.
func (c *Client) TTL() time.Duration { return c.core.cfg.TTL }
