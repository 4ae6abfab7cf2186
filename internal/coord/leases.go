package coord

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// waiter is one place in a lease's queue.
type waiter struct {
	Session uint64 `json:"session"`
	Reason  string `json:"reason"`
}

// held is a lease that is held. One that is free is not kept.
type held struct {
	Name    string        `json:"name"`
	Holder  uint64        `json:"holder"` // session
	Reason  string        `json:"reason"`
	Token   uint64        `json:"token"`
	Since   time.Duration `json:"since"`             // of the machine's time
	Revoked bool          `json:"revoked,omitempty"` // by an operator; free when released, or at FreeAt
	FreeAt  time.Duration `json:"free_at,omitempty"`
	Queue   []waiter      `json:"queue,omitempty"`
}

// Event is one thing that became of a lease.
type Event struct {
	Index  uint64        `json:"index"`
	At     time.Duration `json:"at"`   // of the machine's time
	Wall   int64         `json:"wall"` // of the leader's wall clock, in ms since 1970
	Lease  string        `json:"lease"`
	Token  uint64        `json:"token"`
	Holder string        `json:"holder"`
	What   string        `json:"what"` // granted, released, handed over, revoked, ended, closed
	Reason string        `json:"reason,omitempty"`
}

func (m *Machine) note(l *held, holder, what, reason string) {
	if len(m.history) >= MostHistory {
		// A quarter at a time, so that the rest is not moved at every event.
		m.history = slices.Clone(m.history[MostHistory/4:])
	}
	m.history = append(m.history, Event{
		Index: m.index, At: m.now, Wall: m.wall, Lease: l.Name, Token: l.Token, Holder: holder,
		What: what, Reason: reason,
	})
}

// acquire grants a lease that is free, and queues for one that is not.
func (m *Machine) acquire(s *session, c *Command) Result {
	l := m.leases[c.Lease]
	switch {
	case l != nil && l.Holder == s.ID && !l.Revoked:
		return Result{Code: Done, Token: l.Token}
	case s.waits[c.Lease] != nil:
		return Result{Code: Waiting}
	case len(s.holds)+len(s.waits) >= MostHeld:
		return Result{Code: Full, Why: fmt.Sprintf("%d leases of one session", MostHeld)}
	case l == nil && len(m.leases) >= MostLeases:
		return Result{Code: Full, Why: fmt.Sprintf("%d leases", MostLeases)}
	case l == nil:
		l = &held{Name: c.Lease}
		m.leases[c.Lease] = l
		m.grant(l, s, c.Reason)
		return Result{Code: Done, Token: l.Token}
	case len(l.Queue) >= MostWaiters:
		return Result{Code: Full, Why: fmt.Sprintf("%d wait for this lease", MostWaiters)}
	case m.waiting >= MostWaiting:
		return Result{Code: Full, Why: fmt.Sprintf("%d wait for leases", MostWaiting)}
	}
	l.Queue = append(l.Queue, waiter{Session: s.ID, Reason: c.Reason})
	s.waits[l.Name] = l
	m.waiting++
	return Result{Code: Waiting}
}

// grant gives a lease that nobody holds to a session, under a token higher than any before.
func (m *Machine) grant(l *held, s *session, reason string) {
	m.tokens++
	l.Holder, l.Reason, l.Token, l.Since = s.ID, reason, m.tokens, m.now
	s.holds[l.Name] = l
	m.touched[s.ID] = true
	m.note(l, s.Name, "granted", reason)
}

// free takes a lease from its holder and gives it to the first who waits.
func (m *Machine) free(l *held, how, reason string) {
	holder := fmt.Sprint(l.Holder)
	if s := m.sessions[l.Holder]; s != nil {
		holder = s.Name
		delete(s.holds, l.Name)
	}
	m.note(l, holder, how, reason)
	delete(m.ending, l.Name)
	l.Holder, l.Revoked, l.FreeAt = 0, false, 0
	if len(l.Queue) == 0 {
		delete(m.leases, l.Name)
		return
	}
	next := l.Queue[0]
	l.Queue = slices.Delete(l.Queue, 0, 1)
	m.waiting--
	s := m.sessions[next.Session]
	delete(s.waits, l.Name)
	m.grant(l, s, next.Reason)
}

// release gives a lease back, or leaves its queue. A Handover puts the first who waits under a name to the front
// before that.
func (m *Machine) release(s *session, c *Command) Result {
	l := m.leases[c.Lease]
	if c.Op == Release && c.Token == 0 && s.waits[c.Lease] != nil {
		m.leave(s, s.waits[c.Lease])
		return Result{Code: Done}
	}
	if l == nil || l.Holder != s.ID || l.Token != c.Token {
		return Result{Code: NotHeld}
	}
	how := "released"
	if c.Op == Handover {
		i := slices.IndexFunc(l.Queue, func(w waiter) bool { return m.sessions[w.Session].Name == c.To })
		if i < 0 {
			return Result{Code: Conflict, Why: fmt.Sprintf("%q does not wait for this lease", c.To)}
		}
		next := l.Queue[i]
		l.Queue = slices.Insert(slices.Delete(l.Queue, i, i+1), 0, next)
		how = "handed over"
	}
	m.free(l, how, c.Reason)
	return Result{Code: Done}
}

// revoke takes a lease from its holder: once that has released it, or when no answer tells it otherwise any more.
func (m *Machine) revoke(c *Command) Result {
	l := m.leases[c.Lease]
	if l == nil || l.Token != c.Token {
		return Result{Code: NotHeld}
	}
	if !l.Revoked {
		l.Revoked = true
		l.FreeAt = m.sessions[l.Holder].Deadline
		m.ending[l.Name] = l
		m.touched[l.Holder] = true
		m.note(l, m.sessions[l.Holder].Name, "being revoked", c.Reason)
	}
	return Result{Code: Done}
}

// leaveQueues takes a session out of all queues.
func (m *Machine) leaveQueues(s *session) {
	for _, name := range slices.Sorted(maps.Keys(s.waits)) {
		m.leave(s, s.waits[name])
	}
}

func (m *Machine) leave(s *session, l *held) {
	l.Queue = slices.DeleteFunc(l.Queue, func(w waiter) bool { return w.Session == s.ID })
	delete(s.waits, l.Name)
	m.waiting--
}

// Lease is what one lease is, for people.
type Lease struct {
	Name    string        `json:"name"`
	Holder  string        `json:"holder"`
	Session uint64        `json:"session"`
	Reason  string        `json:"reason,omitempty"`
	Token   uint64        `json:"token"`
	For     time.Duration `json:"for"`   // held so long
	Lasts   time.Duration `json:"lasts"` // unless its session is renewed
	Revoked bool          `json:"being_revoked,omitempty"`
	Queue   []string      `json:"queue,omitempty"` // names of those who wait, the next one first
}

// Leases gives the leases that are held, by name, whose names begin with a prefix.
func (m *Machine) Leases(prefix string) []Lease {
	var list []Lease
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		if len(name) < len(prefix) || name[:len(prefix)] != prefix {
			continue
		}
		l := m.leases[name]
		s := m.sessions[l.Holder]
		one := Lease{
			Name: name, Holder: s.Name, Session: s.ID, Reason: l.Reason, Token: l.Token, For: m.now - l.Since,
			Lasts: s.Deadline - m.now, Revoked: l.Revoked,
		}
		if l.Revoked {
			one.Lasts = l.FreeAt - m.now
		}
		for _, w := range l.Queue {
			one.Queue = append(one.Queue, m.sessions[w.Session].Name)
		}
		list = append(list, one)
	}
	return list
}

// History gives what became of a lease of late, the latest last; of all leases where the name is empty.
func (m *Machine) History(lease string) []Event {
	var list []Event
	for _, e := range m.history {
		if lease == "" || e.Lease == lease {
			list = append(list, e)
		}
	}
	return list
}
