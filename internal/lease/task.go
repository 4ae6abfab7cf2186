package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

// The keys of log attributes that only this package has.
const (
	keyLease = "lease"
	keyToken = "token"
)

// Guard says what makes a late act harmless: one that a holder, paused between its check and its system call, does after the
// lease has passed on. There is no default: each task states one of the two.
type Guard struct {
	fenced bool
	reason string
}

// Fenced is for a resource that gets the fencing token with each act, and rejects one lower than it has seen.
func Fenced(resource string) Guard { return Guard{true, resource} }

// Idempotent is for acts that may be done by anyone, any number of times; the reason says why.
func Idempotent(reason string) Guard { return Guard{false, reason} }

func (g Guard) String() string {
	if g.fenced {
		return "fenced by " + g.reason
	}
	return "harmless: " + g.reason
}

// Task is work that one process of the fleet does at a time.
type Task struct {
	Lease    string
	Reason   string // for people
	Guard    Guard
	Interval time.Duration // between the end of a run and the next request for the lease
	// Due reports whether there is anything to do; the lease is not requested else. nil: there always is.
	Due func(ctx context.Context) bool
	// Run does the work while the lease is held; its context ends when the lease is lost. Each act asks Hold.Act. After
	// a run the lease goes to the next process in the queue.
	Run func(ctx context.Context, h *Hold) error
}

// Hold is a lease that is held, under one fencing token.
type Hold struct {
	client *Client
	lease  string
	Token  uint64
}

// Act allows one act that ends within cost, or returns a RefusedError.
func (h *Hold) Act(ctx context.Context, cost time.Duration) (*Act, error) {
	a, err := h.client.Act(ctx, h.lease, cost)
	if err == nil && a.Token != h.Token {
		a.End()
		return nil, errRegranted
	}
	return a, err
}

// ErrMissingGuard is returned for a task that does not say what makes a late act harmless.
var ErrMissingGuard = errors.New("it says neither Fenced nor Idempotent")

// RunTask runs a task each time that its lease is held, until its context ends.
func (c *Client) RunTask(ctx context.Context, t Task) error {
	if t.Guard.reason == "" {
		return fmt.Errorf("task %q: %w", t.Lease, ErrMissingGuard)
	}
	defer c.Release(t.Lease, "")
	for ctx.Err() == nil {
		if t.Due == nil || t.Due(ctx) {
			c.Request(t.Lease, t.Reason)
			token, held := c.awaitLease(ctx, t.Lease)
			if !held {
				break
			}
			c.runLogged(ctx, t, token)
			c.Release(t.Lease, "")
		}
		wait.For(ctx, t.Interval)
	}
	return fmt.Errorf("task %q: %w", t.Lease, context.Cause(ctx))
}

// runLogged runs a task once under a token, and logs its beginning and end.
func (c *Client) runLogged(ctx context.Context, t Task, token uint64) {
	log := c.log.With(keyLease, t.Lease, keyToken, token)
	log.Info("a fleet task begins")
	c.runOnce(ctx, t, token)
	if grant, held := c.Grant(t.Lease); !held || grant.Token != token {
		log.Warn("a fleet task stopped: its lease was lost")
		return
	}
	log.Info("a fleet task ends its turn")
}

// awaitLease waits until a lease is held, and reports false if the context ends first.
func (c *Client) awaitLease(ctx context.Context, name string) (token uint64, held bool) {
	for {
		changed := c.nextChangeOfHoldings()
		if token, held = c.Holds(name); held {
			return token, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, false
		}
	}
}

// runOnce runs a task once, and cancels it when the lease is not held under its token any more.
func (c *Client) runOnce(ctx context.Context, t Task, token uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- t.Run(ctx, &Hold{client: c, lease: t.Lease, Token: token}) }()
	for {
		changed := c.nextChangeOfHoldings()
		if current, held := c.Holds(t.Lease); !held || current != token {
			cancel()
		}
		select {
		case err := <-done:
			if err != nil && !errors.Is(err, context.Canceled) {
				c.log.Warn("a fleet task failed", keyLease, t.Lease, logkey.Err, err)
			}
			return
		case <-changed:
		}
	}
}
