package deadletter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Remove deletes messages that exceed a bound, and counts them in Totals.RemovedByBound. It ignores unknown ids.
func (s *Store) Remove(ids []string) error {
	return s.update(func(tx *bbolt.Tx) error {
		totals, err := readTotals(tx)
		if err != nil {
			return err
		}
		for _, id := range ids {
			key, err := findKey(tx, id)
			if errors.Is(err, ErrUnknown) {
				continue
			}
			if err != nil {
				return err
			}
			if err := s.removeCounted(tx, totals, append([]byte{}, key...)); err != nil {
				return err
			}
		}
		return writeTotals(tx, totals)
	})
}

// removeCounted deletes a record, and counts it in Totals.RemovedByBound.
func (s *Store) removeCounted(tx *bbolt.Tx, totals *Totals, key []byte) error {
	r, err := readRecord(tx.Bucket(recordsBucket), key)
	if err != nil {
		return err
	}
	if totals.RemovedByBound == nil {
		totals.RemovedByBound = map[string]int{}
	}
	CountGroup(totals.RemovedByBound, r.Class+" of "+r.Tenant, 1)
	return s.deleteRecord(tx, totals, key, r)
}

// deleteRecord deletes a record with its body and index entries, and subtracts it from the totals.
func (s *Store) deleteRecord(tx *bbolt.Tx, totals *Totals, key []byte, r *Record) error {
	number := binary.BigEndian.Uint64(key)
	if err := s.updateSubject(tx, r, number, !r.State.Ended(), false); err != nil {
		return err
	}
	if err := updateDue(tx, r.Destination, number, r.Due, time.Time{}); err != nil {
		return err
	}
	for _, incarnation := range r.Incarnations {
		if err := tx.Bucket(idsBucket).Delete([]byte(incarnation.ID)); err != nil {
			return fmt.Errorf("id %s: %w", incarnation.ID, err)
		}
	}
	if err := errors.Join(tx.Bucket(recordsBucket).Delete(key), tx.Bucket(bodiesBucket).Delete(key)); err != nil {
		return err
	}
	totals.count(r.State, -1)
	totals.Messages--
	totals.Bytes -= int64(r.BodySize)
	return changeGroup(tx, r.Class, r.Tenant, -1, -int64(r.BodySize))
}

// MarkDropped records the ids of messages that could not be stored, with the reason and the time.
func (s *Store) MarkDropped(ids []string, reason string, at time.Time) error {
	return s.update(func(tx *bbolt.Tx) error {
		totals, err := readTotals(tx)
		if err != nil {
			return err
		}
		dropped := tx.Bucket(droppedBucket)
		for _, id := range ids {
			if dropped.Get([]byte(id)) != nil {
				continue
			}
			if err := dropped.Put([]byte(id), []byte(at.UTC().Format(time.RFC3339)+" "+reason)); err != nil {
				return fmt.Errorf("id %s: %w", id, err)
			}
			totals.Dropped++
		}
		return writeTotals(tx, totals)
	})
}

// DroppedIDs returns the ids of messages that could not be stored.
func (s *Store) DroppedIDs() (ids []string, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		return tx.Bucket(droppedBucket).ForEach(func(k, _ []byte) error {
			ids = append(ids, string(k))
			return nil
		})
	})
	return ids, err
}
