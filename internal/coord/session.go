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
	Deadline time.Duration `json:"deadline"` // of the machine's time
	Seq      uint64        `json:"seq"`      // sequence number of the last command applied
	Last     Result        `json:"last"`     // its result, for a retry

	held   map[string]*leaseState // by lease
	queued map[string]*leaseState // by lease: those in whose queue it is
}

// openSession opens a session. A retry finds the session that it has opened by its nonce.
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

// renew puts a session's deadline off by its time to live.
func (m *Machine) renew(s *session) {
	s.Deadline = m.now + s.TTL
	m.earliestDeadline = min(m.earliestDeadline, s.Deadline)
}

// expire ends the sessions whose deadline has passed, and the grants of revoked leases that their
// holders can't believe to hold any more.
func (m *Machine) expire() {
	expired := m.expiredSessions()
	// All of them leave their queues before any lease is granted again: none of them may be the
	// next holder.
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

// expiredSessions returns the ids of the sessions whose deadline has passed, in their order: the
// members' states must not differ by the order of a map.
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

// addHoldings adds to a result what the session holds.
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
