package server

import (
	"context"

	"frostlink/internal/coord/replica"
)

// do runs a function on the loop's goroutine and waits until it has returned. It reports false if
// the node has stopped, or if the context has ended before the loop accepted the function.
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
// reports false if the core did not accept the command or read: the member is not the leader, too
// many are pending, the node has stopped, or the context ended first. If the context ends or the
// node stops after that, the completion has OutcomeUnknown set.
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

// complete passes a completion to the handler that submitted the command or read. The handler may
// have stopped waiting.
func (n *Node) complete(c replica.Completion) {
	if to := n.pending[c.Tag]; to != nil {
		delete(n.pending, c.Tag)
		to <- c // does not block: the channel is buffered and gets one completion only
	}
}
