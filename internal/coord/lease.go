package coord

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// queuedRequest is a session's request in the queue of a lease.
type queuedRequest struct {
	Session uint64 `json:"session"`
	Reason  string `json:"reason"`
}

// leaseState is the state of a lease that is held. A lease that is not held has no leaseState.
type leaseState struct {
	Name         string          `json:"name"`
	Holder       uint64          `json:"holder"` // a session's id
	Reason       string          `json:"reason"`
	Token        uint64          `json:"token"`
	Since        time.Duration   `json:"since"`             // time of the grant, in the machine's time
	Revoked      bool            `json:"revoked,omitempty"` // by an operator: the grant ends with its release, or at RevokedUntil
	RevokedUntil time.Duration   `json:"free_at,omitempty"` // in the machine's time
	Queue        []queuedRequest `json:"queue,omitempty"`   // the next holder first
}

// acquire grants a free lease, and queues the session's request for a lease that is held. A session
// that already holds the lease or is queued for it keeps its grant or its position in the queue: a
// repeated request does not move it to the end of the queue. A holder whose grant is revoked is
// queued like any other session.
func (m *Machine) acquire(s *session, c *Command) Result {
	l := m.leases[c.Lease]
	switch {
	case l != nil && l.Holder == s.ID && !l.Revoked:
		return Result{Code: CodeOK, Token: l.Token}
	case s.queued[c.Lease] != nil:
		return Result{Code: CodeQueued}
	case len(s.held)+len(s.queued) >= MaxLeasesPerSession:
		return limitExceeded(fmt.Sprintf("%d leases of one session", MaxLeasesPerSession))
	case l == nil && len(m.leases) >= MaxLeases:
		return limitExceeded(fmt.Sprintf("%d leases", MaxLeases))
	case l == nil:
		l = &leaseState{Name: c.Lease}
		m.leases[c.Lease] = l
		m.grant(l, s, c.Reason)
		return Result{Code: CodeOK, Token: l.Token}
	case len(l.Queue) >= MaxQueueLength:
		return limitExceeded(fmt.Sprintf("%d wait for this lease", MaxQueueLength))
	case m.queuedRequests >= MaxQueuedRequests:
		return limitExceeded(fmt.Sprintf("%d wait for leases", MaxQueuedRequests))
	}
	l.Queue = append(l.Queue, queuedRequest{Session: s.ID, Reason: c.Reason})
	s.queued[l.Name] = l
	m.queuedRequests++
	return Result{Code: CodeQueued}
}

// grant grants a lease that has no holder to a session, under a token higher than any before.
func (m *Machine) grant(l *leaseState, s *session, reason string) {
	m.lastToken++
	l.Holder, l.Reason, l.Token, l.Since = s.ID, reason, m.lastToken, m.now
	s.held[l.Name] = l
	m.changedSessions[s.ID] = true
	m.record(l, s.Name, EventGranted, reason)
}

// endGrant ends a lease's grant, and grants it to the first session in its queue.
func (m *Machine) endGrant(l *leaseState, kind EventKind, reason string) {
	holder := fmt.Sprint(l.Holder) // the id is recorded if the session has ended, since its name is not stored any more
	if s := m.sessions[l.Holder]; s != nil {
		holder = s.Name
		delete(s.held, l.Name)
	}
	m.record(l, holder, kind, reason)
	delete(m.revoked, l.Name)
	l.Holder, l.Revoked, l.RevokedUntil = 0, false, 0
	if len(l.Queue) == 0 {
		delete(m.leases, l.Name)
		return
	}
	next := l.Queue[0]
	l.Queue = slices.Delete(l.Queue, 0, 1)
	m.queuedRequests--
	s := m.sessions[next.Session]
	delete(s.queued, l.Name)
	m.grant(l, s, next.Reason)
}

// release ends the session's grant of a lease, or removes the session from the lease's queue. A
// release of a grant names the grant's token: if the lease was granted again meanwhile, the late
// release changes nothing.
func (m *Machine) release(s *session, c *Command) Result {
	if queued := s.queued[c.Lease]; c.Token == 0 && queued != nil {
		m.leaveQueue(s, queued)
		return Result{Code: CodeOK}
	}
	l := m.leases[c.Lease]
	if !l.isHeldBy(s, c.Token) {
		return Result{Code: CodeNotHeld}
	}
	m.endGrant(l, EventReleased, c.Reason)
	return Result{Code: CodeOK}
}

// transfer ends the session's grant of a lease, and grants the lease to the first queued session
// with the given name.
func (m *Machine) transfer(s *session, c *Command) Result {
	l := m.leases[c.Lease]
	if !l.isHeldBy(s, c.Token) {
		return Result{Code: CodeNotHeld}
	}
	i := slices.IndexFunc(l.Queue, func(q queuedRequest) bool { return m.sessions[q.Session].Name == c.To })
	if i < 0 {
		return Result{Code: CodeConflict, Detail: fmt.Sprintf("%q does not wait for this lease", c.To)}
	}
	successor := l.Queue[i]
	l.Queue = slices.Insert(slices.Delete(l.Queue, i, i+1), 0, successor)
	m.endGrant(l, EventTransferred, c.Reason)
	return Result{Code: CodeOK}
}

// isHeldBy reports whether a lease, which may be nil, is held by a session under a token.
func (l *leaseState) isHeldBy(s *session, token uint64) bool {
	return l != nil && l.Holder == s.ID && l.Token == token
}

// revoke revokes a grant. The grant ends when its holder releases it, or else at the holder's
// present deadline: until then the holder may act, since it may not have received a result that
// reports the revocation.
func (m *Machine) revoke(c *Command) Result {
	l := m.leases[c.Lease]
	if l == nil || l.Token != c.Token {
		return Result{Code: CodeNotHeld}
	}
	if !l.Revoked {
		holder := m.sessions[l.Holder]
		l.Revoked = true
		l.RevokedUntil = holder.Deadline
		m.revoked[l.Name] = l
		m.changedSessions[holder.ID] = true
		m.record(l, holder.Name, EventRevoking, c.Reason)
	}
	return Result{Code: CodeOK}
}

// leaveAllQueues removes a session from all queues.
func (m *Machine) leaveAllQueues(s *session) {
	for _, name := range slices.Sorted(maps.Keys(s.queued)) {
		m.leaveQueue(s, s.queued[name])
	}
}

// leaveQueue removes a session from a lease's queue.
func (m *Machine) leaveQueue(s *session, l *leaseState) {
	l.Queue = slices.DeleteFunc(l.Queue, func(q queuedRequest) bool { return q.Session == s.ID })
	delete(s.queued, l.Name)
	m.queuedRequests--
}
