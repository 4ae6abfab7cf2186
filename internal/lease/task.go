package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

// Keys of log attributes that only this package uses.
const (
	keyLease = "lease"
	keyToken = "token"
)

// Guard states what makes a late act harmless: an act of a holder that was paused between its check and its system call until
// the lease was granted to another process. There is no default: each task is either Fenced or Idempotent.
type Guard struct {
	fenced bool
	reason string
}

// Fenced is for a resource that gets the fencing token with each act, and rejects a token that is lower than the highest token
// that it has received.
func Fenced(resource string) Guard { return Guard{true, resource} }

// Idempotent is for acts that any process may do any number of times. reason explains why.
func Idempotent(reason string) Guard { return Guard{false, reason} }

func (g Guard) String() string {
	if g.fenced {
		return "fenced by " + g.reason
	}
	return "harmless: " + g.reason
}

// Task is work that only one process of the fleet does at a time.
type Task struct {
	Lease    string
	Reason   string // shown to operators
	Guard    Guard
	Interval time.Duration // pause between the end of a run and the next request for the lease
	// Due reports whether there is work to do. If not, the lease is not requested. A nil Due means that there is always work.
	Due func(ctx context.Context) bool
	// Run does the work while the lease is held; its context ends when the lease is lost. It calls Hold.Act before each act.
	// After the run, the next process in the queue gets the lease.
	Run func(ctx context.Context, h *Hold) error
}

// Hold is a lease that a task holds under one fencing token.
type Hold struct {
	client *Client
	lease  string
	Token  uint64
}

// Act allows an act that takes at most cost, or returns a RefusedError.
func (h *Hold) Act(ctx context.Context, cost time.Duration) (*Act, error) {
	a, err := h.client.Act(ctx, h.lease, cost)
	if err == nil && a.Token != h.Token {
		a.End()
		return nil, errRegranted
	}
	return a, err
}

// ErrMissingGuard is returned for a task without a Guard.
var ErrMissingGuard = errors.New("guard is missing: must be Fenced or Idempotent")

// RunTask runs a task each time its lease is granted to this process, until its context ends.
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

// runLogged runs a task once under a token, and logs its start and end.
func (c *Client) runLogged(ctx context.Context, t Task, token uint64) {
	log := c.log.With(keyLease, t.Lease, keyToken, token)
	log.Info("fleet task started")
	c.runOnce(ctx, t, token)
	if grant, held := c.Grant(t.Lease); !held || grant.Token != token {
		log.Warn("lease lost; fleet task stopped")
		return
	}
	log.Info("fleet task finished its run; releasing the lease")
}

// awaitLease waits until a lease is held. It reports false if the context ends first.
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

// runOnce runs a task once, and cancels it when the lease is not held under the token any more.
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
				c.log.Warn("run of a fleet task failed", keyLease, t.Lease, logkey.Err, err)
			}
			return
		case <-changed:
		}
	}
}
