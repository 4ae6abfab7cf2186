package coord

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Value is a small value under a key.
type Value struct {
	Key         string `json:"key"`
	Value       []byte `json:"value"`
	ModRevision uint64 `json:"version"` // revision of the write that created this value; unique among the writes to all keys
}

// Change is a write to a value, retained for watches.
type Change struct {
	Revision uint64 `json:"revision"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// write puts or deletes a value if its revision is the expected one. If the command names a lease,
// the session must also hold that lease under that token, so that a holder that was paused can't
// write after its successor.
func (m *Machine) write(s *session, c *Command) Result {
	if c.Lease != "" {
		if l := s.held[c.Lease]; l == nil || l.Token != c.Token || l.Revoked {
			return Result{Code: CodeNotHeld}
		}
	}
	current := m.values[c.Key]
	var revision uint64
	if current != nil {
		revision = current.ModRevision
	}
	switch {
	case revision != c.ExpectedRevision:
		return Result{Code: CodeConflict, ModRevision: revision}
	case c.Op == OpPut:
		return m.put(current, c)
	case current == nil:
		return Result{Code: CodeOK} // there is no value to delete
	}
	delete(m.values, c.Key)
	m.valueBytes -= len(current.Value)
	return m.recordChange(Change{Key: c.Key, Deleted: true})
}

// put replaces the current value, which may be nil.
func (m *Machine) put(current *Value, c *Command) Result {
	currentSize := 0
	if current != nil {
		currentSize = len(current.Value)
	}
	switch {
	case current == nil && len(m.values) >= MaxValues:
		return limitExceeded(fmt.Sprintf("%d values", MaxValues))
	case m.valueBytes-currentSize+len(c.Value) > MaxValueBytes:
		return limitExceeded(fmt.Sprintf("%d bytes of values", MaxValueBytes))
	}
	m.valueBytes += len(c.Value) - currentSize
	m.values[c.Key] = &Value{Key: c.Key, Value: c.Value, ModRevision: m.revision + 1}
	return m.recordChange(Change{Key: c.Key, Value: c.Value})
}

// recordChange assigns the next revision to a change, and retains the change for watches.
func (m *Machine) recordChange(change Change) Result {
	m.revision++
	change.Revision = m.revision
	if len(m.changes) >= MaxRetainedChanges {
		compacted := MaxRetainedChanges / compactionDivisor
		m.compactedRevision = m.changes[compacted-1].Revision
		m.changes = slices.Clone(m.changes[compacted:])
	}
	m.changes = append(m.changes, change)
	return Result{Code: CodeOK, ModRevision: m.revision}
}

// Revision returns the revision of the last write.
func (m *Machine) Revision() uint64 { return m.revision }

// Values returns the values whose keys begin with a prefix, sorted by key.
func (m *Machine) Values(prefix string) []Value {
	var list []Value
	for _, key := range slices.Sorted(maps.Keys(m.values)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, *m.values[key])
		}
	}
	return list
}

// Changes returns the writes after a revision to keys with a prefix. It reports false if some of
// these writes are not retained any more, or if the revision does not exist yet: the caller has to
// read the values again then.
func (m *Machine) Changes(after uint64, prefix string) ([]Change, bool) {
	if after < m.compactedRevision || after > m.revision {
		return nil, false
	}
	var list []Change
	for _, c := range m.changes {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			list = append(list, c)
		}
	}
	return list, true
}
