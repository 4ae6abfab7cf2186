package server

import (
	"context"

	"frostlink/internal/coord/replica"
)

// do has the loop run a function, and waits until it has. It reports false where the node has
// stopped, or the context has ended before the loop accepted the function.
func (n *Node) do(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case n.inbox <- func() { f(); close(done) }:
	case <-n.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-n.done:
		return false
	}
}

// await submits a command or read to the core under a new tag, and waits for its completion. It
// reports false where the member does not lead. Where the context or the node ends first, the
// outcome is unknown.
func (n *Node) await(ctx context.Context, submit func(tag uint64) bool) (replica.Completion, bool) {
	completion := make(chan replica.Completion, 1)
	accepted := false
	ran := n.do(ctx, func() {
		n.lastTag++
		if accepted = submit(n.lastTag); accepted {
			n.pending[n.lastTag] = completion
		}
	})
	if !ran || !accepted {
		return replica.Completion{}, false
	}
	select {
	case c := <-completion:
		return c, true
	case <-ctx.Done():
	case <-n.done:
	}
	return replica.Completion{OutcomeUnknown: true}, true
}

// complete passes a completion to the handler that waits for it, or has waited.
func (n *Node) complete(c replica.Completion) {
	if to := n.pending[c.Tag]; to != nil {
		delete(n.pending, c.Tag)
		to <- c // its buffer has room for the only one
	}
}
