package deadletter

import (
	"encoding/binary"

	"go.etcd.io/bbolt"
)

// Page returns the messages that a filter matches, limit at most, from a record's number on, and the number from which the
// next page goes on; 0 at the end. It scans maxScan records at most, so that a filter that few match does not hold up
// others. Damaged records are skipped and counted.
func (s *Store) Page(from uint64, limit, maxScan int, matches func(r *Record) bool) (page []*Record, next uint64, damaged int, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		cursor := records.Cursor()
		scanned := 0
		for key, _ := cursor.Seek(recordKey(from)); key != nil; key, _ = cursor.Next() {
			if len(page) == limit || scanned == maxScan {
				next = binary.BigEndian.Uint64(key)
				return nil
			}
			scanned++
			r, err := readRecord(records, key)
			if err != nil {
				damaged++
				continue
			}
			if matches == nil || matches(r) {
				page = append(page, r)
			}
		}
		return nil
	})
	return page, next, damaged, err
}

// Slice returns records from a number on, limit at most, and the number after the last one that was read. Damaged records
// are skipped.
func (s *Store) Slice(from uint64, limit int) (list []*Record, next uint64, err error) {
	next = from
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		cursor := records.Cursor()
		for key, _ := cursor.Seek(recordKey(from)); key != nil && len(list) < limit; key, _ = cursor.Next() {
			next = binary.BigEndian.Uint64(key) + 1
			if r, err := readRecord(records, key); err == nil {
				list = append(list, r)
			}
		}
		return nil
	})
	return list, next, err
}
