package deadletter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"go.etcd.io/bbolt"
)

// dueKey is when to look at a record again. The destination comes first: the many of one that is down are not to stand
// before the few of another.
func dueKey(partner int, at time.Time, n uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(partner))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, uint64(at.UnixMilli())), n)
}

// updateDue changes when a record is due; the zero time stands for never.
func updateDue(tx *bbolt.Tx, partner int, n uint64, from, to time.Time) error {
	b := tx.Bucket(dueBucket)
	if !from.IsZero() {
		if err := b.Delete(dueKey(partner, from, n)); err != nil {
			return fmt.Errorf("due time: %w", err)
		}
	}
	if to.IsZero() {
		return nil
	}
	if err := b.Put(dueKey(partner, to, n), nil); err != nil {
		return fmt.Errorf("due time: %w", err)
	}
	return nil
}

// Due gives messages that are to be looked at by a time: of each destination the first so many as most says for it.
func (s *Store) Due(at time.Time, most func(partner int) int) (due []*Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		c := tx.Bucket(dueBucket).Cursor()
		for k, _ := c.First(); k != nil; {
			partner := binary.BigEndian.Uint32(k)
			due = append(due, dueOf(tx, c, k, partner, at, most(int(partner)))...)
			if partner == math.MaxUint32 {
				return nil
			}
			k, _ = c.Seek(binary.BigEndian.AppendUint32(nil, partner+1))
		}
		return nil
	})
	return due, err
}

// dueOf returns the messages of one destination that are due, from a cursor's key on, limit at most.
func dueOf(tx *bbolt.Tx, c *bbolt.Cursor, k []byte, partner uint32, at time.Time, limit int) (due []*Record) {
	for ; k != nil && len(due) < limit && binary.BigEndian.Uint32(k) == partner; k, _ = c.Next() {
		if time.UnixMilli(int64(binary.BigEndian.Uint64(k[4:]))).After(at) {
			break
		}
		r, err := readRecord(tx.Bucket(recordsBucket), k[12:])
		if err != nil {
			continue // Verify reports it
		}
		due = append(due, r)
	}
	return due
}
