package deadletter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Remove takes messages that leave by a bound out of the store, and counts them by class and tenant.
func (s *Store) Remove(ids []string) error {
	return s.update(func(tx *bbolt.Tx) error {
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		for _, id := range ids {
			k, err := findKey(tx, id)
			if errors.Is(err, ErrUnknown) {
				continue
			}
			if err != nil {
				return err
			}
			if err := s.removeCounted(tx, t, append([]byte{}, k...)); err != nil {
				return err
			}
		}
		return writeTotals(tx, t)
	})
}

func (s *Store) removeCounted(tx *bbolt.Tx, t *Totals, k []byte) error {
	r, err := readRecord(tx.Bucket(recordsBucket), k)
	if err != nil {
		return err
	}
	if t.RemovedByBound == nil {
		t.RemovedByBound = map[string]int{}
	}
	t.RemovedByBound[r.Class+" of "+r.Tenant]++
	return s.deleteRecord(tx, t, k, r)
}

// deleteRecord takes a record out.
func (s *Store) deleteRecord(tx *bbolt.Tx, t *Totals, k []byte, r *Record) error {
	if err := s.updateSubject(tx, r, binary.BigEndian.Uint64(k), !r.State.Ended(), false); err != nil {
		return err
	}
	if err := updateDue(tx, r.Destination, binary.BigEndian.Uint64(k), r.Due, time.Time{}); err != nil {
		return err
	}
	for _, l := range r.Incarnations {
		if err := tx.Bucket(idsBucket).Delete([]byte(l.ID)); err != nil {
			return fmt.Errorf("id %s: %w", l.ID, err)
		}
	}
	if err := errors.Join(tx.Bucket(recordsBucket).Delete(k), tx.Bucket(bodiesBucket).Delete(k)); err != nil {
		return err
	}
	t.count(r.State, -1)
	t.Messages--
	t.Bytes -= int64(r.BodySize)
	return changeGroup(tx, r.Class, r.Tenant, -1, -int64(r.BodySize))
}

// MarkDropped lists by id what could not be kept, with the reason.
func (s *Store) MarkDropped(ids []string, why string, at time.Time) error {
	return s.update(func(tx *bbolt.Tx) error {
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		b := tx.Bucket(droppedBucket)
		for _, id := range ids {
			if b.Get([]byte(id)) != nil {
				continue
			}
			if err := b.Put([]byte(id), []byte(at.UTC().Format(time.RFC3339)+" "+why)); err != nil {
				return fmt.Errorf("id %s: %w", id, err)
			}
			t.Dropped++
		}
		return writeTotals(tx, t)
	})
}

// DroppedIDs lists what could not be kept.
func (s *Store) DroppedIDs() (ids []string, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		return tx.Bucket(droppedBucket).ForEach(func(k, _ []byte) error {
			ids = append(ids, string(k))
			return nil
		})
	})
	return ids, err
}
