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
	// attemptPause is the pause between two attempts.
	attemptPause = 50 * time.Millisecond
	// maxKnownMembers bounds the list that AddLeader extends: over time, members may be replaced
	// any number of times.
	maxKnownMembers = 4 * coord.MaxMembers
)

// CallLeader sends a request to the leader, and retries until it succeeds, is rejected, or the
// context ends. The request has to be idempotent: it may be sent, and applied, more than once.
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

// AddLeader adds the leader that a response names to a list of members, if the list lacks it
// because the leader has joined since the list was written. A leader that is in the list keeps its
// listed address, which may be one under which only this caller reaches it.
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
