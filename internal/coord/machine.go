package coord

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	cluster      string
	now          time.Duration // sum of the elapsed time of all entries
	wallMillis   int64         // wall clock of the last entry
	index        uint64        // of the last entry applied
	commandIndex uint64        // number of commands applied so far

	sessions         map[uint64]*session
	nonces           map[string]uint64 // session ids by nonce
	lastSessionID    uint64            // the highest id ever assigned; ids are not reused
	earliestDeadline time.Duration     // lower bound of the deadlines of all sessions

	leases         map[string]*leaseState // by name; only leases that are held
	revoked        map[string]*leaseState // by name; leases that are revoked and still held
	lastToken      uint64
	queuedRequests int // in the queues of all leases
	history        []Event

	values            map[string]*Value
	valueBytes        int // of all values
	revision          uint64
	changes           []Change
	compactedRevision uint64 // changes up to this revision have been dropped

	members        map[uint64]Member
	removedMembers []uint64 // ids of removed members, which are not reused

	// changedSessions are the sessions whose leases have changed since TakeChangedSessions. They
	// only serve to notify clients early: no result depends on them, and snapshots don't contain
	// them.
	changedSessions map[uint64]bool
}

// New returns the empty state of a cluster.
func New(cluster string) *Machine {
	return &Machine{
		cluster:          cluster,
		sessions:         map[uint64]*session{},
		nonces:           map[string]uint64{},
		earliestDeadline: math.MaxInt64,
		leases:           map[string]*leaseState{},
		revoked:          map[string]*leaseState{},
		values:           map[string]*Value{},
		members:          map[uint64]Member{},
		changedSessions:  map[uint64]bool{},
	}
}

// Cluster returns the name of the cluster that the state belongs to.
func (m *Machine) Cluster() string { return m.cluster }

// Index returns the index of the last entry applied.
func (m *Machine) Index() uint64 { return m.index }

// Apply applies the entry at an index of the log, and returns a result for each of its commands.
func (m *Machine) Apply(index uint64, e Entry) []Result {
	m.index = index
	m.now += e.Elapsed
	m.wallMillis = e.WallMillis
	m.expire()
	if e.NewTerm != 0 {
		for _, s := range m.sessions {
			m.renew(s)
		}
	}
	results := make([]Result, len(e.Commands))
	for i := range e.Commands {
		m.commandIndex++
		results[i] = m.apply(&e.Commands[i])
		results[i].CommandIndex = m.commandIndex
	}
	return results
}

// apply applies one command.
func (m *Machine) apply(c *Command) Result {
	if err := c.validate(); err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error()}
	}
	if c.Op == OpOpen {
		return m.openSession(c)
	}
	s := m.sessions[c.Session]
	if s == nil {
		return Result{Code: CodeNoSession}
	}
	m.renew(s)
	if c.Op == OpClose {
		m.endSession(s, EventClosed)
		return Result{Code: CodeOK}
	}
	r := m.applyOnce(s, c)
	m.addHoldings(s, &r)
	return r
}

// applyOnce applies a session's command unless the command's sequence number shows that the command
// was applied before.
func (m *Machine) applyOnce(s *session, c *Command) Result {
	switch {
	case c.Op == OpRenew:
		return Result{Code: CodeOK}
	case c.Seq < s.Seq:
		return Result{Code: CodeStale}
	case c.Seq == s.Seq: // a retry: the client did not get the first result
		return s.Last
	}
	r := m.execute(s, c)
	s.Seq, s.Last = c.Seq, r
	return r
}

// execute applies a command for a lease or value.
func (m *Machine) execute(s *session, c *Command) Result {
	switch c.Op {
	case OpAcquire:
		return m.acquire(s, c)
	case OpRelease:
		return m.release(s, c)
	case OpTransfer:
		return m.transfer(s, c)
	case OpRevoke:
		return m.revoke(c)
	case OpPut, OpDelete:
		return m.write(s, c)
	default: // can't happen: validate rejects unknown operations
		return Result{Code: CodeInvalid, Detail: fmt.Sprintf("op: %q is unknown", c.Op)}
	}
}

// TakeChangedSessions returns the sessions that were granted a lease, or whose lease was revoked,
// since the last call. It only serves to notify their clients early.
func (m *Machine) TakeChangedSessions() []uint64 {
	if len(m.changedSessions) == 0 {
		return nil
	}
	list := slices.Sorted(maps.Keys(m.changedSessions))
	clear(m.changedSessions)
	return list
}

// NextExpiry returns a lower bound of the time until a session or the grant of a revoked lease
// expires.
func (m *Machine) NextExpiry() time.Duration {
	next := m.earliestDeadline
	for _, l := range m.revoked {
		next = min(next, l.RevokedUntil)
	}
	return next - m.now
}
