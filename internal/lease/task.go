package lease

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Guard says what makes an act harmless that a holder, paused between its check and its system call, does after the
// lease has passed on. There is no default: a task says one of the two.
type Guard struct {
	fenced bool
	why    string
}

// Fenced is for a resource that is given the token with each act and refuses one lower than it has seen.
func Fenced(resource string) Guard { return Guard{true, resource} }

// Harmless is for acts that do no harm whoever does them, and how often: the reason says by what.
func Harmless(reason string) Guard { return Guard{false, reason} }

func (g Guard) String() string {
	if g.fenced {
		return "fenced by " + g.why
	}
	return "harmless: " + g.why
}

// Task is work that one process of the fleet does at a time.
type Task struct {
	Lease  string
	Reason string // for people
	Guard  Guard
	Again  time.Duration // after its end, before the lease is asked for again
	// Due tells whether there is anything to do; the lease is not asked for else. nil: there always is.
	Due func(ctx context.Context) bool
	// Turn does the work while the lease is held; its context ends when it is lost. Each act asks Hold.Act. After a
	// nil error the lease goes to the next who waits.
	Turn func(ctx context.Context, h *Hold) error
}

// Hold is a lease that is held.
type Hold struct {
	client *Client
	lease  string
	Token  uint64
}

// Act allows one act that ends within cost, or says why not.
func (h *Hold) Act(ctx context.Context, cost time.Duration) (*Act, error) {
	a, err := h.client.Act(ctx, h.lease, cost)
	if err == nil && a.Token != h.Token {
		a.End()
		return nil, Refused("the lease was lost and granted again meanwhile")
	}
	return a, err
}

// ErrNoGuard is the end of a task that does not say what makes a late act harmless.
var ErrNoGuard = errors.New("it says neither Fenced nor Harmless")

// Keep does a task's turns, one after the other, until its context ends.
func (c *Client) Keep(ctx context.Context, t Task) error {
	if t.Guard.why == "" {
		return fmt.Errorf("task %q: %w", t.Lease, ErrNoGuard)
	}
	defer c.Drop(t.Lease, "")
	for ctx.Err() == nil {
		if t.Due == nil || t.Due(ctx) {
			c.Want(t.Lease, t.Reason)
			token, ok := c.await(ctx, t.Lease)
			if !ok {
				break
			}
			c.log.Info("a fleet task begins", "lease", t.Lease, "token", token)
			c.turn(ctx, t, token)
			if g, ok := c.Grant(t.Lease); !ok || g.Token != token {
				c.log.Warn("a fleet task stopped: its lease was lost", "lease", t.Lease, "token", token)
			} else {
				c.log.Info("a fleet task ends its turn", "lease", t.Lease, "token", token)
			}
			c.Drop(t.Lease, "")
		}
		select {
		case <-time.After(t.Again):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// await waits until a lease is held.
func (c *Client) await(ctx context.Context, name string) (token uint64, ok bool) {
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if token, ok = c.Holds(name); ok {
			return token, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, false
		}
	}
}

// turn does one turn, and cuts it off when the lease is not held under its token any more.
func (c *Client) turn(ctx context.Context, t Task, token uint64) {
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	done := make(chan error, 1)
	go func() { done <- t.Turn(ctx, &Hold{client: c, lease: t.Lease, Token: token}) }()
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if now, ok := c.Holds(t.Lease); !ok || now != token {
			cut()
		}
		select {
		case err := <-done:
			if err != nil && !errors.Is(err, context.Canceled) {
				c.log.Warn("a task's turn failed", "lease", t.Lease, "why", err)
			}
			return
		case <-changed:
		}
	}
}
