package deadletter

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/bbolt"
)

const (
	// maxCountedGroups bounds the classes and tenants that are counted one by one: a client may name ever new tenants, where the settings
	// list none.
	maxCountedGroups = 250
	// otherGroups is the name under which all further ones are counted.
	otherGroups = "other"
)

// CountGroup adds to the count of a class and tenant, or to that of others if there are very many.
func CountGroup(counts map[string]int, group string, n int) {
	if _, counted := counts[group]; !counted && len(counts) >= maxCountedGroups {
		group = otherGroups
	}
	counts[group] += n
}

// Totals counts the stored messages, and the messages that were removed, dropped or rejected.
type Totals struct {
	Messages       int            `json:"messages"`
	Bytes          int64          `json:"bytes"` // size of the stored bodies
	States         map[State]int  `json:"states"`
	RemovedByBound map[string]int `json:"left_by_a_bound"`              // messages removed because they exceeded a bound, by class and tenant
	Dropped        int            `json:"not_kept"`                     // messages that could not be stored
	Rejected       map[string]int `json:"refused_at_arrival,omitempty"` // messages rejected on arrival that are counted but not stored, by class and tenant
}

// Group counts the stored messages of one class and tenant.
type Group struct {
	Class    string `json:"class"`
	Tenant   string `json:"tenant"`
	Messages int    `json:"messages"`
	Bytes    int64  `json:"bytes"`
}

// count adds to the number of messages in a state.
func (t *Totals) count(s State, by int) {
	if t.States == nil {
		t.States = map[State]int{}
	}
	if t.States[s] += by; t.States[s] == 0 {
		delete(t.States, s)
	}
}

func readTotals(tx *bbolt.Tx) (*Totals, error) {
	t := &Totals{}
	if raw := tx.Bucket(metaBucket).Get(totalsKey); raw != nil {
		if err := json.Unmarshal(raw, t); err != nil {
			return nil, fmt.Errorf("read the totals: %w", ErrDamaged)
		}
	}
	return t, nil
}

func writeTotals(tx *bbolt.Tx, t *Totals) error {
	raw, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("encode the totals: %w", err)
	}
	if err := tx.Bucket(metaBucket).Put(totalsKey, raw); err != nil {
		return fmt.Errorf("write the totals: %w", err)
	}
	return nil
}

// CountRejected adds counts of messages that were rejected on arrival to Totals.Rejected.
func (s *Store) CountRejected(counts map[string]int) error {
	return s.update(func(tx *bbolt.Tx) error {
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		if t.Rejected == nil {
			t.Rejected = map[string]int{}
		}
		for group, n := range counts {
			CountGroup(t.Rejected, group, n)
		}
		return writeTotals(tx, t)
	})
}

// changeGroup adds to the counts of a class and tenant.
func changeGroup(tx *bbolt.Tx, class, tenant string, messages int, bytes int64) error {
	bucket, key := tx.Bucket(groupsBucket), []byte(class+"\x00"+tenant)
	group := Group{Class: class, Tenant: tenant}
	if raw := bucket.Get(key); raw != nil {
		if err := json.Unmarshal(raw, &group); err != nil {
			return fmt.Errorf("read the counts of a class and tenant: %w", ErrDamaged)
		}
	}
	group.Messages += messages
	group.Bytes += bytes
	if group.Messages == 0 {
		if err := bucket.Delete(key); err != nil {
			return fmt.Errorf("delete the counts of a class and tenant: %w", err)
		}
		return nil
	}
	raw, err := json.Marshal(group)
	if err != nil {
		return fmt.Errorf("encode the counts of a class and tenant: %w", err)
	}
	if err := bucket.Put(key, raw); err != nil {
		return fmt.Errorf("write the counts of a class and tenant: %w", err)
	}
	return nil
}

// Totals returns the counts of the whole store, and of each class and tenant.
func (s *Store) Totals() (totals *Totals, groups []Group, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		if totals, err = readTotals(tx); err != nil {
			return err
		}
		return tx.Bucket(groupsBucket).ForEach(func(_, raw []byte) error {
			var group Group
			if err := json.Unmarshal(raw, &group); err != nil {
				return fmt.Errorf("read the counts of a class and tenant: %w", ErrDamaged)
			}
			groups = append(groups, group)
			return nil
		})
	})
	return totals, groups, err
}
