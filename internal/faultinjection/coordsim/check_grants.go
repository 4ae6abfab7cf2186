package coordsim

import (
	"slices"
	"time"
)

// checkGrants checks that no two grants have the same token. A client process may observe its grant several times.
func (s *simulation) checkGrants() {
	first := map[uint64]grant{}
	for _, g := range s.grants {
		f, ok := first[g.token]
		if !ok {
			first[g.token] = g
		} else if f.client != g.client || f.incarnation != g.incarnation || f.lease != g.lease {
			s.report(checkToken, "token %d: %s of %s at %v, and %s of %s at %v", g.token, f.lease, f.client, f.observedAt, g.lease, g.client,
				g.observedAt)
		}
	}
}

// checkQueueOrder checks that while a client waited for a lease, from since until a later time, no client that requested the lease
// after since was granted it. A grant to a client for which a holder had released the lease is allowed.
func (s *simulation) checkQueueOrder(c *leaseClient, name string, since, until time.Duration) {
	for _, g := range s.grants {
		if g.lease != name || g.client == c.name || g.requestedAt <= since || g.observedAt >= until || s.wasTransferred(g) {
			continue
		}
		s.report(checkQueue, "%s waits for %s since %v, and %s, which asked at %v, has it by %v (token %d)", c.name, name, since, g.client,
			g.requestedAt, g.observedAt, g.token)
	}
}

// wasTransferred reports whether a holder had released the lease for the grant's client before the grant.
func (s *simulation) wasTransferred(g grant) bool {
	return slices.ContainsFunc(s.transfers, func(t transfer) bool {
		return t.lease == g.lease && t.to == g.client && t.at < g.observedAt
	})
}
