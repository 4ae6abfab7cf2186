package coord

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// session is the state of one client process.
type session struct {
	ID       uint64        `json:"id"`
	Nonce    string        `json:"nonce"`
	Name     string        `json:"name"`
	TTL      time.Duration `json:"ttl"`
	Deadline time.Duration `json:"deadline"` // in the machine's time
	Seq      uint64        `json:"seq"`      // sequence number of the last command applied
	Last     Result        `json:"last"`     // result of that command, returned again to a retry

	held   map[string]*leaseState // leases that the session holds, by name
	queued map[string]*leaseState // leases in whose queue the session is, by name
}

// openSession opens a session. A retry, which has the same nonce, gets the session that the first
// attempt has opened.
func (m *Machine) openSession(c *Command) Result {
	s := m.sessions[m.nonces[c.Nonce]]
	if s == nil {
		if len(m.sessions) >= MaxSessions {
			return limitExceeded(fmt.Sprintf("%d sessions", MaxSessions))
		}
		m.lastSessionID++
		s = &session{ID: m.lastSessionID, Nonce: c.Nonce, Name: c.Name, TTL: c.TTL}
		s.held, s.queued = map[string]*leaseState{}, map[string]*leaseState{}
		m.sessions[s.ID] = s
		m.nonces[s.Nonce] = s.ID
	}
	m.renew(s)
	r := Result{Code: CodeOK}
	m.addHoldings(s, &r)
	return r
}

// renew sets a session's deadline to its time to live from now.
func (m *Machine) renew(s *session) {
	s.Deadline = m.now + s.TTL
	m.earliestDeadline = min(m.earliestDeadline, s.Deadline)
}

// expire ends the sessions whose deadline has passed, and the grants of revoked leases whose
// holders must have stopped acting by now.
func (m *Machine) expire() {
	expired := m.expiredSessions()
	// All expired sessions leave their queues before any lease is granted again, so that no lease
	// is granted to an expired session.
	for _, id := range expired {
		m.leaveAllQueues(m.sessions[id])
	}
	for _, id := range expired {
		m.endSession(m.sessions[id], EventExpired)
	}
	for _, name := range slices.Sorted(maps.Keys(m.revoked)) {
		if l := m.revoked[name]; l.RevokedUntil <= m.now {
			m.endGrant(l, EventRevoked, "")
		}
	}
}

// expiredSessions returns the ids of the sessions whose deadline has passed. They are sorted,
// because a map's random order would make the states of the members differ.
func (m *Machine) expiredSessions() []uint64 {
	if m.now < m.earliestDeadline {
		return nil
	}
	var expired []uint64
	m.earliestDeadline = math.MaxInt64
	for id, s := range m.sessions {
		if s.Deadline <= m.now {
			expired = append(expired, id)
		} else {
			m.earliestDeadline = min(m.earliestDeadline, s.Deadline)
		}
	}
	slices.Sort(expired)
	return expired
}

// endSession ends a session, its queued requests and its grants.
func (m *Machine) endSession(s *session, kind EventKind) {
	m.leaveAllQueues(s)
	delete(m.sessions, s.ID)
	delete(m.nonces, s.Nonce)
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		m.endGrant(s.held[name], kind, "")
	}
}

// addHoldings adds the session's leases and queued requests to a result.
func (m *Machine) addHoldings(s *session, r *Result) {
	r.Session, r.TTL = s.ID, s.TTL
	r.Held, r.Revoked = nil, nil
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		l := s.held[name]
		g := Grant{Lease: name, Token: l.Token, QueueLength: len(l.Queue)}
		if l.Revoked {
			r.Revoked = append(r.Revoked, g)
		} else {
			r.Held = append(r.Held, g)
		}
	}
	r.Queued = slices.Sorted(maps.Keys(s.queued))
}
