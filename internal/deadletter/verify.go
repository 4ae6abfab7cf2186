package deadletter

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"

	"frostlink/internal/boltfile"
)

// Fault is an unreadable part of the store.
type Fault struct {
	Where string `json:"where"`
	What  string `json:"what"`
}

// Verify reads the whole store and continues after damaged parts. It returns the number of readable messages, and the
// damaged parts.
func (s *Store) Verify() (good int, faults []Fault) {
	add := func(where string, err error) { faults = append(faults, Fault{where, err.Error()}) }
	for from := uint64(0); ; {
		last, next, err := s.verifyFrom(from, &good, add)
		if err != nil {
			// A page could not be read: continue with the first readable record after the page.
			add(fmt.Sprintf("a page behind record %d", last), err)
			readable, found := s.nextReadable(last)
			if !found {
				return good, faults
			}
			next = readable
		}
		if next == 0 {
			return good, faults
		}
		from = next
	}
}

// verifyBatch is how many records one transaction of Verify reads.
const verifyBatch = 1000

// verifyFrom reads one batch of records, beginning at a number. It returns the number of the last record that it reached,
// and the number at which the next batch begins; 0 means that there is no next batch.
func (s *Store) verifyFrom(from uint64, good *int, add func(string, error)) (last, next uint64, err error) {
	last = from
	err = s.view(func(tx *bbolt.Tx) error {
		records, bodies := tx.Bucket(recordsBucket), tx.Bucket(bodiesBucket)
		cursor := records.Cursor()
		read := 0
		for key, _ := cursor.Seek(recordKey(from)); key != nil; key, _ = cursor.Next() {
			number := binary.BigEndian.Uint64(key)
			if read++; read > verifyBatch {
				next = number
				return nil
			}
			last = number
			releaseAfter(tx, read)
			if _, err := readRecord(records, key); err != nil {
				add(fmt.Sprintf("record %d", number), err)
				continue
			}
			if err := verifyBody(bodies, key); err != nil {
				add(fmt.Sprintf("body of record %d", number), err)
				continue
			}
			*good++
		}
		return nil
	})
	return last, next, err
}

// verifyBody checks the body stored under a key. An unreadable page becomes an error of this body, and does not end the
// batch.
func verifyBody(bodies *bbolt.Bucket, key []byte) (err error) {
	defer boltfile.Guard(&err)
	_, err = verifyChecksum(bodies.Get(key))
	return err
}

// nextReadable returns the number of the first readable record after a record whose page is damaged. It probes at doubling
// distances until it finds a readable record, and then finds the end of the damaged pages by binary search.
func (s *Store) nextReadable(after uint64) (number uint64, ok bool) {
	highest, err := s.highestNumber()
	if err != nil {
		return 0, false
	}
	for distance := uint64(1); after+distance <= highest; distance *= 2 {
		found := s.firstFrom(after + distance)
		if found == 0 {
			continue
		}
		for unreadable, readable := after+distance/2, after+distance; unreadable+1 < readable; {
			middle := (unreadable + readable) / 2
			if first := s.firstFrom(middle); first > 0 {
				readable, found = middle, first
			} else {
				unreadable = middle
			}
		}
		return found, true
	}
	return 0, false
}

// highestNumber returns the highest number that a record has ever been stored under.
func (s *Store) highestNumber() (number uint64, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		number = tx.Bucket(recordsBucket).Sequence()
		return nil
	})
	return number, err
}

// firstFrom returns the number of the first record whose number is at least from, or 0 if there is none or its page can't
// be read.
func (s *Store) firstFrom(from uint64) (number uint64) {
	_ = s.view(func(tx *bbolt.Tx) error { // after an error the number is 0
		if key, _ := tx.Bucket(recordsBucket).Cursor().Seek(recordKey(from)); key != nil {
			number = binary.BigEndian.Uint64(key)
		}
		return nil
	})
	return number
}
