package coord

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Value is a small value under a key.
type Value struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // the revision that wrote it: no two writes of any key have the same
}

// Change is one write, for watches.
type Change struct {
	Revision uint64 `json:"revision"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// write puts or deletes a value if its version is the one expected and, where the command names a lease, if that
// lease is held under its token by the session: a holder that was paused can't write after the next one.
func (m *Machine) write(s *session, c *Command) Result {
	if c.Lease != "" {
		if l := s.holds[c.Lease]; l == nil || l.Token != c.Token || l.Revoked {
			return Result{Code: NotHeld}
		}
	}
	old := m.values[c.Key]
	var version uint64
	size := 0
	if old != nil {
		version, size = old.Version, len(old.Value)
	}
	if version != c.Expect {
		return Result{Code: Conflict, Version: version}
	}
	change := Change{Key: c.Key}
	switch {
	case c.Op == Delete && old == nil:
		return Result{Code: Done}
	case c.Op == Delete:
		delete(m.values, c.Key)
		m.bytes -= size
		change.Deleted = true
	case old == nil && len(m.values) >= MostValues:
		return Result{Code: Full, Why: fmt.Sprintf("%d values", MostValues)}
	case m.bytes-size+len(c.Value) > MostBytes:
		return Result{Code: Full, Why: fmt.Sprintf("%d bytes of values", MostBytes)}
	default:
		m.bytes += len(c.Value) - size
		m.values[c.Key] = &Value{Key: c.Key, Value: c.Value, Version: m.revision + 1}
		change.Value = c.Value
	}
	m.revision++
	change.Revision = m.revision
	if len(m.changes) >= MostChanges {
		m.before = m.changes[MostChanges/4-1].Revision
		m.changes = slices.Clone(m.changes[MostChanges/4:])
	}
	m.changes = append(m.changes, change)
	return Result{Code: Done, Version: m.revision}
}

// Revision is that of the last write.
func (m *Machine) Revision() uint64 { return m.revision }

// Values gives the values whose keys begin with a prefix, by key.
func (m *Machine) Values(prefix string) []Value {
	var list []Value
	for _, key := range slices.Sorted(maps.Keys(m.values)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, *m.values[key])
		}
	}
	return list
}

// Changes gives the writes after a revision to keys with a prefix. It is false where they are not all kept any
// more: then the values have to be read anew.
func (m *Machine) Changes(after uint64, prefix string) ([]Change, bool) {
	if after < m.before || after > m.revision {
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
