package deadletter

import (
	"encoding/binary"

	"go.etcd.io/bbolt"
)

// Page returns at most limit messages that a filter matches, beginning at a record's number, and the number at which the
// next page begins; 0 means that there is no next page. It scans at most maxScan records, so that a filter that matches few
// records does not keep the store busy. It skips damaged records and counts them.
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
			releaseAfter(tx, scanned)
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

// Slice returns at most limit records, beginning at a number, and the number after the last record that it read. It skips
// damaged records.
func (s *Store) Slice(from uint64, limit int) (list []*Record, next uint64, err error) {
	next = from
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		cursor := records.Cursor()
		for key, _ := cursor.Seek(recordKey(from)); key != nil && len(list) < limit; key, _ = cursor.Next() {
			next = binary.BigEndian.Uint64(key) + 1
			if r, err := readRecord(records, key); err == nil {
				list = append(list, r)
				releaseAfter(tx, len(list))
			}
		}
		return nil
	})
	return list, next, err
}
