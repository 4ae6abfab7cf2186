package coordsim

import (
	"slices"
	"time"
)

// checkGrants checks that no two grants have the same token.
func (s *simulation) checkGrants() {
	first := map[uint64]grant{}
	for _, g := range s.grants {
		f, ok := first[g.token]
		if !ok {
			first[g.token] = g
		} else if f.client != g.client || f.incarnation != g.incarnation || f.lease != g.lease {
			s.report(checkToken, "token %d: %s of %s at %v, and %s of %s at %v", g.token, f.lease, f.client, f.learnedAt, g.lease, g.client,
				g.learnedAt)
		}
	}
}

// checkQueueOrder checks that nobody who asked later was granted a lease while a client waited for it, up to a moment, unless its
// holder had released it for that one.
func (s *simulation) checkQueueOrder(c *leaseClient, name string, since, until time.Duration) {
	for _, g := range s.grants {
		if g.lease != name || g.client == c.name || g.askedAt <= since || g.learnedAt >= until || s.wasTransferred(g) {
			continue
		}
		s.report(checkQueue, "%s waits for %s since %v, and %s, which asked at %v, has it by %v (token %d)", c.name, name, since, g.client,
			g.askedAt, g.learnedAt, g.token)
	}
}

// wasTransferred reports whether a holder of the lease had released it for the grant's client.
func (s *simulation) wasTransferred(g grant) bool {
	return slices.ContainsFunc(s.transfers, func(t transfer) bool {
		return t.lease == g.lease && t.to == g.client && t.at < g.learnedAt
	})
}
