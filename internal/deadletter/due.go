package deadletter

import (
	"encoding/binary"
	"math"
	"time"

	"go.etcd.io/bbolt"
)

// dueKey is when to look at a record again. The partner comes first: the many of one that is down are not to stand
// before the few of another.
func dueKey(partner int, at time.Time, n uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(partner))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, uint64(at.UnixMilli())), n)
}

func updateDue(tx *bbolt.Tx, partner int, n uint64, from, to time.Time) error {
	b := tx.Bucket(dueBucket)
	if !from.IsZero() {
		if err := b.Delete(dueKey(partner, from, n)); err != nil {
			return err
		}
	}
	if to.IsZero() {
		return nil
	}
	return b.Put(dueKey(partner, to, n), nil)
}

// Due gives messages that are to be looked at by a time: of each partner the first so many as most says for it.
func (s *Store) Due(at time.Time, most func(partner int) int) (due []*Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		c, records := tx.Bucket(dueBucket).Cursor(), tx.Bucket(recordsBucket)
		for k, _ := c.First(); k != nil; {
			partner := binary.BigEndian.Uint32(k)
			left := most(int(partner))
			for ; k != nil && left > 0 && binary.BigEndian.Uint32(k) == partner; k, _ = c.Next() {
				if time.UnixMilli(int64(binary.BigEndian.Uint64(k[4:]))).After(at) {
					break
				}
				r, err := readRecord(records, k[12:])
				if err != nil {
					continue // verify tells of it
				}
				due = append(due, r)
				left--
			}
			if partner == math.MaxUint32 {
				return nil
			}
			k, _ = c.Seek(binary.BigEndian.AppendUint32(nil, partner+1))
		}
		return nil
	})
	return due, err
}
