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
	// callTimeout bounds one call. For a short time to live, the bound is the time to live divided by callsPerTTL. A renewal
	// that takes longer is sent again, to another member.
	callTimeout = 500 * time.Millisecond
	callsPerTTL = 4
	// releaseTimeout bounds the release of all leases when the client stops.
	releaseTimeout = time.Second
	// hintRetryPause is the pause after a failed wait for a hint.
	hintRetryPause = 200 * time.Millisecond
	// valueReplySize is the largest size in bytes of a reply with a value, which is encoded in base64, and no leases.
	valueReplySize = 128 << 10
	// heldReplySize is the largest size in bytes of what a reply says of one lease, and heldObjects the largest number of JSON objects.
	heldReplySize, heldObjects = 1 << 10, 2
)

// Client runs a Core and makes its calls to the service. It is safe for concurrent use.
type Client struct {
	caller *api.Caller
	log    *slog.Logger
	wake   chan struct{} // wakes Run after a change of the core

	mu              sync.Mutex // guards the fields below
	core            *Core
	members         []coord.Member
	openActs        map[uint64]*Act
	holdingsChanged chan struct{} // closed and replaced when the set of held leases may have changed
	puts            map[uint64]chan PutResult
	shuttingDown    bool
}

// NewClient returns a client of a cluster. ttl is the time to live of its session; guard is Config.Guard.
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

// update changes the core, delivers the results of puts, and wakes Run.
func (c *Client) update(change func(now time.Duration)) {
	c.mu.Lock()
	change(clock.SinceBoot())
	for _, result := range c.core.TakePutResults() {
		if waiting := c.puts[result.ID]; waiting != nil {
			waiting <- result // does not block: the channel is buffered
			delete(c.puts, result.ID)
		}
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// nextChangeOfHoldings returns a channel that is closed when the set of held leases may have changed.
func (c *Client) nextChangeOfHoldings() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdingsChanged
}

// Request requests a lease; see Core.Request. It does nothing once Run is stopping.
func (c *Client) Request(name, reason string) {
	c.update(func(time.Duration) {
		if !c.shuttingDown {
			c.core.Request(name, reason)
		}
	})
}

// Release releases a lease; see Core.Release.
func (c *Client) Release(name, successor string) {
	c.update(func(time.Duration) { c.core.Release(name, successor) })
}

// Holds reports whether a lease is held now, and under which token.
func (c *Client) Holds(name string) (token uint64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _, held = c.core.Holds(clock.SinceBoot(), name)
	return token, held
}

// Grant returns the present grant of a lease, and whether the lease is held now.
func (c *Client) Grant(name string) (grant coord.Grant, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _, held := c.core.Holds(clock.SinceBoot(), name)
	return coord.Grant{Lease: name, Token: token, QueueLength: c.core.Waiters(name)}, held
}

// Act is an allowed act under a lease.
type Act struct {
	Ctx    context.Context // cancelled when the act has to stop
	Token  uint64
	client *Client
	permit Permit
	cancel context.CancelFunc
}

// Act allows an act that takes at most cost, or returns a RefusedError. The caller must call End on the returned act.
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

// End ends the act, and reports whether its permit was still valid. If it was not, another process may have acted under the
// lease meanwhile.
func (a *Act) End() (inTime bool) {
	a.cancel()
	a.client.update(func(now time.Duration) {
		delete(a.client.openActs, a.permit.id)
		inTime = a.client.core.EndAct(now, a.permit)
	})
	return inTime
}

// ErrOutcomeUnknown is returned by Put if the value may or may not have been written.
var ErrOutcomeUnknown = errors.New("outcome unknown: the value may or may not have been written")

// Put writes a value under a lease, and waits for the result; see Core.Put.
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

// Value reads a value; the value is no older than the call. The revision of a missing value is 0.
func (c *Client) Value(ctx context.Context, key string) (value []byte, revision uint64, err error) {
	c.mu.Lock()
	members := c.members
	c.mu.Unlock()
	answer, err := c.boundedCaller().CallLeader(ctx, members, api.PathRead, api.Request{Query: &api.Query{Values: key}})
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

// boundedCaller returns a caller that accepts no larger replies than the session can have.
func (c *Client) boundedCaller() *api.Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	bounded := *c.caller
	bounded.MaxReplySize = int64(valueReplySize + heldReplySize*c.core.maxHeld())
	bounded.MaxReplyObjects = heldObjects * c.core.maxHeld()
	return &bounded
}

// Run keeps the session alive until its context ends, and then releases all leases. It waits at most releaseTimeout for the
// service to confirm that.
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

// releaseAll releases all leases, and rejects further requests.
func (c *Client) releaseAll() {
	c.update(func(time.Duration) {
		c.shuttingDown = true
		for name := range c.core.requests {
			c.core.Release(name, "")
		}
	})
}

// step cancels expired acts and starts the calls that are due. It returns the time until the next step, and whether the core
// has no session and nothing to do.
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
		wake = min(wake, c.core.validUntil) // the held leases expire then, and their tasks have to be cancelled
	}
	close(c.holdingsChanged)
	c.holdingsChanged = make(chan struct{})
	return max(wake-now, time.Millisecond), c.core.idle() && c.core.session == 0
}

// send makes a call, and passes the result to the core.
func (c *Client) send(ctx context.Context, call Call, address string) {
	ctx, stop := context.WithTimeout(ctx, c.core.cfg.Timeout)
	defer stop()
	answer, err := c.boundedCaller().Post(ctx, address, api.PathCommand, api.Request{Command: &call.Command})
	if errors.Is(err, api.ErrRejected) {
		c.log.Warn("coordination service rejected a command", logkey.Err, err)
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

// serverOf returns the server number of a member, or noLeader.
func (c *Client) serverOf(id uint64) int {
	for i, m := range c.members {
		if m.ID == id {
			return i
		}
	}
	return noLeader
}

// followHints receives the session's hints by one long poll after another.
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
		answer, err := c.boundedCaller().Post(ctx, address, api.PathWait, api.Request{Wait: &api.Wait{Session: session}})
		switch {
		case err != nil:
			wait.For(ctx, hintRetryPause)
		case answer.Hint:
			c.update(c.core.HandleHint)
		}
	}
}

// sessionAddress returns the session's id (0: no session), the address of the member that is called for it, and a channel that
// is closed when either may have changed.
func (c *Client) sessionAddress() (session uint64, address string, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.core.session != 0 {
		address = c.members[c.core.server].Address
	}
	return c.core.session, address, c.holdingsChanged
}

// TTL returns the time to live of the client's session.
func (c *Client) TTL() time.Duration { return c.core.cfg.TTL }
