package coord

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds on all that is kept. What passes one is refused with Full; nothing is dropped to make room.
const (
	MostSessions = 4096
	MostLeases   = 16384
	MostWaiters  = 1024  // for one lease
	MostWaiting  = 65536 // for all leases
	MostHeld     = 10240 // leases of one session, held and waited for
	MostValues   = 4096
	MostValue    = 64 << 10 // bytes
	MostBytes    = 16 << 20 // of all values
	MostName     = 256      // bytes of a name, key, reason or nonce
	MostChanges  = 1024     // kept for watches
	MostHistory  = 4096     // kept of what became of leases

	MinTTL = 500 * time.Millisecond // shorter ones end by an election
	MaxTTL = 10 * time.Minute
)

// session is a client's.
type session struct {
	ID       uint64        `json:"id"`
	Nonce    string        `json:"nonce"`
	Name     string        `json:"name"`
	TTL      time.Duration `json:"ttl"`
	Deadline time.Duration `json:"deadline"` // of the machine's time
	Seq      uint64        `json:"seq"`      // of the last command applied
	Last     Result        `json:"last"`     // its result

	holds map[string]*held // by lease
	waits map[string]*held
}

// Machine is the state. It is not safe for use by several goroutines.
type Machine struct {
	cluster  string
	now      time.Duration // sum of what entries say has passed
	wall     int64         // of the last entry
	index    uint64        // of the last entry applied
	stamp    uint64        // commands applied
	sessions map[uint64]*session
	nonces   map[string]uint64
	opened   uint64 // sessions so far; ids are not used twice
	leases   map[string]*held
	tokens   uint64 // granted so far
	waiting  int
	ending   map[string]*held // revoked and not yet free
	values   map[string]*Value
	bytes    int // of values
	revision uint64
	changes  []Change
	before   uint64 // changes up to this revision are not kept
	history  []Event
	soonest  time.Duration // no session ends before
	members  map[uint64]Member
	retired  []uint64 // ids of members that were removed
	touched  map[uint64]bool
}

// New makes the empty state of a cluster.
func New(cluster string) *Machine {
	return &Machine{
		cluster: cluster, sessions: map[uint64]*session{}, nonces: map[string]uint64{}, leases: map[string]*held{},
		ending: map[string]*held{}, values: map[string]*Value{}, members: map[uint64]Member{}, touched: map[uint64]bool{}, soonest: math.MaxInt64,
	}
}

// Cluster is the id of the cluster that the state belongs to.
func (m *Machine) Cluster() string { return m.cluster }

// Index is that of the last entry applied.
func (m *Machine) Index() uint64 { return m.index }

// Apply applies the log's entry at an index and gives a result for each of its commands.
func (m *Machine) Apply(index uint64, e Entry) []Result {
	m.index = index
	m.now += e.Elapsed
	m.wall = e.Wall
	m.expire()
	if e.Begin != 0 {
		for _, s := range m.sessions {
			m.touch(s)
		}
	}
	results := make([]Result, len(e.Commands))
	for i := range e.Commands {
		m.stamp++
		results[i] = m.apply(&e.Commands[i])
		results[i].Stamp = m.stamp
	}
	return results
}

// Touched gives the sessions to which a lease came, or from which one was taken, since it was last asked. It is for
// hints alone: no other result depends on it.
func (m *Machine) Touched() []uint64 {
	if len(m.touched) == 0 {
		return nil
	}
	list := slices.Sorted(maps.Keys(m.touched))
	clear(m.touched)
	return list
}

// Due is how much time may pass before a session or a revoked lease may end. It may be less than that.
func (m *Machine) Due() time.Duration {
	due := m.soonest
	for _, l := range m.ending {
		due = min(due, l.FreeAt)
	}
	return due - m.now
}

// touch renews a session.
func (m *Machine) touch(s *session) {
	s.Deadline = m.now + s.TTL
	m.soonest = min(m.soonest, s.Deadline)
}

// expire ends the sessions whose time is over, in the order of their ids, and frees the leases that were revoked
// and of which no answer that is still believed tells otherwise.
func (m *Machine) expire() {
	var over []uint64
	if m.now >= m.soonest {
		m.soonest = math.MaxInt64
		for id, s := range m.sessions {
			if s.Deadline <= m.now {
				over = append(over, id)
			} else {
				m.soonest = min(m.soonest, s.Deadline)
			}
		}
		slices.Sort(over)
	}
	// All of them leave their queues before anything is given on: none of them may be next.
	for _, id := range over {
		m.leaveQueues(m.sessions[id])
	}
	for _, id := range over {
		m.end(m.sessions[id], "ended")
	}
	for _, name := range slices.Sorted(maps.Keys(m.ending)) {
		if l := m.ending[name]; l.FreeAt <= m.now {
			m.free(l, "revoked", "")
		}
	}
}

// end ends a session and frees what it holds.
func (m *Machine) end(s *session, how string) {
	m.leaveQueues(s)
	delete(m.sessions, s.ID)
	delete(m.nonces, s.Nonce)
	for _, name := range slices.Sorted(maps.Keys(s.holds)) {
		m.free(s.holds[name], how, "")
	}
}

// apply applies one command.
func (m *Machine) apply(c *Command) Result {
	if why := c.check(); why != "" {
		return Result{Code: Invalid, Why: why}
	}
	if c.Op == Open {
		return m.open(c)
	}
	s := m.sessions[c.Session]
	if s == nil {
		return Result{Code: NoSession}
	}
	m.touch(s)
	var r Result
	switch {
	case c.Op == Renew:
		r = Result{Code: Done}
	case c.Op == Close:
		m.end(s, "closed")
		return Result{Code: Done}
	case c.Seq < s.Seq:
		r = Result{Code: Late}
	case c.Seq == s.Seq: // come again: its answer was lost
		r = s.Last
	default:
		r = m.effect(s, c)
		s.Seq, s.Last = c.Seq, r
	}
	m.describe(s, &r)
	return r
}

// effect applies a command that comes for the first time.
func (m *Machine) effect(s *session, c *Command) Result {
	switch c.Op {
	case Acquire:
		return m.acquire(s, c)
	case Release, Handover:
		return m.release(s, c)
	case Revoke:
		return m.revoke(c)
	case Put, Delete:
		return m.write(s, c)
	}
	return Result{Code: Invalid, Why: fmt.Sprintf("op: %q is unknown", c.Op)}
}

func (m *Machine) open(c *Command) Result {
	s := m.sessions[m.nonces[c.Nonce]]
	if s == nil {
		if len(m.sessions) >= MostSessions {
			return Result{Code: Full, Why: fmt.Sprintf("%d sessions", MostSessions)}
		}
		m.opened++
		s = &session{ID: m.opened, Nonce: c.Nonce, Name: c.Name, TTL: c.TTL, holds: map[string]*held{}, waits: map[string]*held{}}
		m.sessions[s.ID] = s
		m.nonces[c.Nonce] = s.ID
	}
	m.touch(s)
	r := Result{Code: Done}
	m.describe(s, &r)
	return r
}

// describe adds to an answer what the session has.
func (m *Machine) describe(s *session, r *Result) {
	r.Session, r.TTL = s.ID, s.TTL
	r.Held, r.Revoked = nil, nil
	for _, name := range slices.Sorted(maps.Keys(s.holds)) {
		l := s.holds[name]
		g := Grant{Lease: name, Token: l.Token, Wait: len(l.Queue)}
		if l.Revoked {
			r.Revoked = append(r.Revoked, g)
		} else {
			r.Held = append(r.Held, g)
		}
	}
	r.Queued = slices.Sorted(maps.Keys(s.waits))
}

// check says what is wrong with a command by itself, or nothing.
func (c *Command) check() string {
	for _, text := range []struct{ key, value string }{
		{"nonce", c.Nonce},
		{"name", c.Name},
		{"lease", c.Lease},
		{"to", c.To},
		{"reason", c.Reason},
		{"key", c.Key},
	} {
		if len(text.value) > MostName {
			return fmt.Sprintf("%s: %d bytes, %d at most", text.key, len(text.value), MostName)
		}
	}
	switch c.Op {
	case Open:
		switch {
		case c.Nonce == "":
			return "nonce: missing"
		case c.TTL < MinTTL || c.TTL > MaxTTL:
			return fmt.Sprintf("ttl: %v is not from %v to %v", c.TTL, MinTTL, MaxTTL)
		}
		return ""
	case Renew, Close:
		return ""
	case Acquire, Release, Handover, Revoke:
		if c.Lease == "" {
			return "lease: missing"
		}
	case Put, Delete:
		switch {
		case c.Key == "":
			return "key: missing"
		case len(c.Value) > MostValue:
			return fmt.Sprintf("value: %d bytes, %d at most", len(c.Value), MostValue)
		}
	default:
		return fmt.Sprintf("op: %q is unknown", c.Op)
	}
	if c.Seq == 0 {
		return "seq: missing"
	}
	return ""
}

// Counts is how much of each table is in use.
type Counts struct {
	Sessions int `json:"sessions"`
	Leases   int `json:"leases"`
	Waiting  int `json:"waiting"`
	Values   int `json:"values"`
	Bytes    int `json:"value_bytes"`
}

// Counts counts the state.
func (m *Machine) Counts() Counts {
	return Counts{Sessions: len(m.sessions), Leases: len(m.leases), Waiting: m.waiting, Values: len(m.values), Bytes: m.bytes}
}
