package deadletter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"go.etcd.io/bbolt"
)

// Offsets of the parts of a key in the bucket due, in bytes.
const (
	dueTimeOffset   = 4
	dueNumberOffset = 12
)

// dueKey returns the key of a record in the bucket due. The key begins with the destination, so that the long backlog of
// a destination that is down is not read before the few records of another.
func dueKey(destination int, at time.Time, number uint64) []byte {
	key := binary.BigEndian.AppendUint32(nil, uint32(destination))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(key, uint64(at.UnixMilli())), number)
}

// updateDue moves a record from one due time to another; the zero time means never.
func updateDue(tx *bbolt.Tx, destination int, number uint64, from, to time.Time) error {
	bucket := tx.Bucket(dueBucket)
	if !from.IsZero() {
		if err := bucket.Delete(dueKey(destination, from, number)); err != nil {
			return fmt.Errorf("due time: %w", err)
		}
	}
	if to.IsZero() {
		return nil
	}
	if err := bucket.Put(dueKey(destination, to, number), nil); err != nil {
		return fmt.Errorf("due time: %w", err)
	}
	return nil
}

// Due returns messages that are due at a given time. For each destination it returns at most limit(destination) messages,
// those with the earliest due times.
func (s *Store) Due(at time.Time, limit func(destination int) int) (due []*Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(dueBucket).Cursor()
		for key, _ := cursor.First(); key != nil; {
			destination := binary.BigEndian.Uint32(key)
			due = append(due, dueOf(tx, cursor, key, at, limit(int(destination)))...)
			if destination == math.MaxUint32 {
				return nil
			}
			key, _ = cursor.Seek(binary.BigEndian.AppendUint32(nil, destination+1))
		}
		return nil
	})
	return due, err
}

// dueOf returns at most limit due messages of one destination, beginning at key, which is the cursor's current key.
func dueOf(tx *bbolt.Tx, cursor *bbolt.Cursor, key []byte, at time.Time, limit int) (due []*Record) {
	destination := binary.BigEndian.Uint32(key)
	for ; key != nil && len(due) < limit && binary.BigEndian.Uint32(key) == destination; key, _ = cursor.Next() {
		if time.UnixMilli(int64(binary.BigEndian.Uint64(key[dueTimeOffset:]))).After(at) {
			break
		}
		r, err := readRecord(tx.Bucket(recordsBucket), key[dueNumberOffset:])
		if err != nil {
			continue // Verify reports the damaged record
		}
		due = append(due, r)
	}
	return due
}
