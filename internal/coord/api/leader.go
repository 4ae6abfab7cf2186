package api

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"frostlink/internal/coord"
)

const (
	// attemptTimeout bounds one attempt of CallLeader.
	attemptTimeout = 2 * time.Second
	// attemptPause is between two attempts.
	attemptPause = 50 * time.Millisecond
	// maxKnownMembers bounds what AddLeader adds: members may be replaced any number of times.
	maxKnownMembers = 4 * coord.MaxMembers
)

// CallLeader sends a request to whichever member leads, until the context ends. The request may be
// sent, and applied, more than once: it has to be idempotent.
func (c *Caller) CallLeader(ctx context.Context, members []coord.Member, path string, r Request) (Response, error) {
	for next := 0; len(members) > 0; {
		m := members[next%len(members)]
		response, err := c.attempt(ctx, m.Address, path, r)
		if err == nil || errors.Is(err, ErrRejected) {
			return response, err
		}
		next++
		if errors.Is(err, ErrNotLeader) {
			members = AddLeader(members, response)
			if i := indexOfMember(members, response.Leader); i >= 0 {
				next = i
			}
		}
		select {
		case <-ctx.Done():
			return Response{}, fmt.Errorf("%w: member %d: %w", ErrNoLeader, m.ID, err)
		case <-time.After(attemptPause):
		}
	}
	return Response{}, ErrNoLeader
}

func (c *Caller) attempt(ctx context.Context, address, path string, r Request) (Response, error) {
	ctx, stop := context.WithTimeout(ctx, attemptTimeout)
	defer stop()
	return c.Post(ctx, address, path, r)
}

// AddLeader adds the leader that a response names, where it is not known yet: it has joined since
// the list was written. One that is known keeps its address: the list may name another way to it.
func AddLeader(members []coord.Member, r Response) []coord.Member {
	unnamed := r.Leader == 0 || r.Address == ""
	if unnamed || len(members) >= maxKnownMembers || indexOfMember(members, r.Leader) >= 0 {
		return members
	}
	return append(slices.Clone(members), coord.Member{ID: r.Leader, Address: r.Address})
}

func indexOfMember(members []coord.Member, id uint64) int {
	return slices.IndexFunc(members, func(m coord.Member) bool { return m.ID == id })
}
