package deadletter

import (
	"encoding/binary"

	"go.etcd.io/bbolt"
)

// Page gives up to so many messages that pass a filter, from a number on, and the number to go on from; 0 at the end.
// What is damaged is passed over and counted. It looks at so many at most, so that a filter that few pass does not
// hold up others.
func (s *Store) Page(from uint64, most, look int, pass func(r *Record) bool) (page []*Record, next uint64, damaged int, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		c := records.Cursor()
		for k, _ := c.Seek(recordKey(from)); k != nil; k, _ = c.Next() {
			n := binary.BigEndian.Uint64(k)
			if len(page) == most || look == 0 {
				next = n
				return nil
			}
			look--
			r, err := readRecord(records, k)
			if err != nil {
				damaged++
				continue
			}
			if pass == nil || pass(r) {
				page = append(page, r)
			}
		}
		return nil
	})
	return page, next, damaged, err
}

// Slice gives up to so many records from a number on, and the number behind the last one that was looked at. What is
// damaged is passed over.
func (s *Store) Slice(from uint64, most int) (list []*Record, to uint64, err error) {
	to = from
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		c := records.Cursor()
		for k, _ := c.Seek(recordKey(from)); k != nil && len(list) < most; k, _ = c.Next() {
			to = binary.BigEndian.Uint64(k) + 1
			if r, err := readRecord(records, k); err == nil {
				list = append(list, r)
			}
		}
		return nil
	})
	return list, to, err
}
