package deadletter

import (
	"encoding/json"
	"fmt"

	"go.etcd.io/bbolt"
)

// Totals are what the store holds in all.
type Totals struct {
	Messages       int            `json:"messages"`
	Bytes          int64          `json:"bytes"` // of bodies
	States         map[State]int  `json:"states"`
	RemovedByBound map[string]int `json:"left_by_a_bound"` // by class and tenant
	Dropped        int            `json:"not_kept"`
	Rejected       map[string]int `json:"refused_at_arrival,omitempty"` // by class and tenant
}

// Group is what the store holds of one class and tenant.
type Group struct {
	Class    string `json:"class"`
	Tenant   string `json:"tenant"`
	Messages int    `json:"messages"`
	Bytes    int64  `json:"bytes"`
}

// count changes how many are in a state.
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
			return nil, fmt.Errorf("its totals: %w", ErrDamaged)
		}
	}
	return t, nil
}

func writeTotals(tx *bbolt.Tx, t *Totals) error {
	raw, err := json.Marshal(t)
	if err != nil {
		return fmt.Errorf("its totals: %w", err)
	}
	if err := tx.Bucket(metaBucket).Put(totalsKey, raw); err != nil {
		return fmt.Errorf("its totals: %w", err)
	}
	return nil
}

// CountRejected counts messages that were refused at their arrival, by class and tenant as Totals name them.
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
			t.Rejected[group] += n
		}
		return writeTotals(tx, t)
	})
}

// changeGroup changes what is held of a class and tenant.
func changeGroup(tx *bbolt.Tx, class, tenant string, messages int, bytes int64) error {
	b, k := tx.Bucket(groupsBucket), []byte(class+"\x00"+tenant)
	g := Group{Class: class, Tenant: tenant}
	if raw := b.Get(k); raw != nil {
		if err := json.Unmarshal(raw, &g); err != nil {
			return fmt.Errorf("its groups: %w", ErrDamaged)
		}
	}
	g.Messages += messages
	g.Bytes += bytes
	raw, err := json.Marshal(g)
	if err != nil {
		return fmt.Errorf("its groups: %w", err)
	}
	if err := b.Put(k, raw); err != nil {
		return fmt.Errorf("its groups: %w", err)
	}
	return nil
}

// Totals gives what the store holds in all, and by class and tenant.
func (s *Store) Totals() (t *Totals, groups []Group, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		if t, err = readTotals(tx); err != nil {
			return err
		}
		return tx.Bucket(groupsBucket).ForEach(func(_, raw []byte) error {
			var g Group
			if err := json.Unmarshal(raw, &g); err != nil {
				return fmt.Errorf("its groups: %w", ErrDamaged)
			}
			groups = append(groups, g)
			return nil
		})
	})
	return t, groups, err
}
