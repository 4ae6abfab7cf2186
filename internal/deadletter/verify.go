package deadletter

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"

	"frostlink/internal/boltfile"
)

// Fault is something that Verify found.
type Fault struct {
	Where string `json:"where"`
	What  string `json:"what"`
}

// Verify reads all there is, past what is damaged, and tells what can't be read.
func (s *Store) Verify() (good int, faults []Fault) {
	add := func(where string, err error) { faults = append(faults, Fault{where, err.Error()}) }
	for from := uint64(0); ; {
		n, next, err := s.verifyFrom(from, &good, add)
		if err != nil {
			// A page could not be read: go on behind it.
			add(fmt.Sprintf("a page behind record %d", n), err)
			behind, found := s.nextReadable(n)
			if !found {
				return good, faults
			}
			next = behind
		}
		if next == 0 {
			return good, faults
		}
		from = next
	}
}

// verifyStep is how many records one transaction of Verify reads.
const verifyStep = 1000

// verifyFrom reads records from a number on; last is the last one that could be reached.
func (s *Store) verifyFrom(from uint64, good *int, add func(string, error)) (last, next uint64, err error) {
	last = from
	err = s.view(func(tx *bbolt.Tx) error {
		records, bodies := tx.Bucket(recordsBucket), tx.Bucket(bodiesBucket)
		c := records.Cursor()
		steps := 0
		for k, _ := c.Seek(recordKey(from)); k != nil; k, _ = c.Next() {
			n := binary.BigEndian.Uint64(k)
			if steps++; steps > verifyStep {
				next = n
				return nil
			}
			last = n
			if _, err := readRecord(records, k); err != nil {
				add(fmt.Sprintf("record %d", n), err)
				continue
			}
			if err := verifyBody(bodies, k); err != nil {
				add(fmt.Sprintf("body of record %d", n), err)
				continue
			}
			*good++
		}
		return nil
	})
	return last, next, err
}

// verifyBody checks a body; a damaged page under it is a fault of this body alone.
func verifyBody(b *bbolt.Bucket, k []byte) (err error) {
	defer boltfile.Guard(&err)
	_, err = verifyChecksum(b.Get(k))
	return err
}

// nextReadable finds the next record that can be reached behind one at which a page could not be read: the damaged stretch is
// first overleapt in growing steps, and then its end is searched for by halves.
func (s *Store) nextReadable(n uint64) (behind uint64, ok bool) {
	top := uint64(0)
	if s.view(func(tx *bbolt.Tx) error { top = tx.Bucket(recordsBucket).Sequence(); return nil }) != nil {
		return 0, false
	}
	reach := func(from uint64) (found uint64) {
		_ = s.view(func(tx *bbolt.Tx) error {
			if k, _ := tx.Bucket(recordsBucket).Cursor().Seek(recordKey(from)); k != nil {
				found = binary.BigEndian.Uint64(k)
			}
			return nil
		})
		return found
	}
	for step := uint64(1); n+step <= top; step *= 2 {
		if behind = reach(n + step); behind == 0 {
			continue
		}
		for lost, there := n+step/2, n+step; lost+1 < there; {
			middle := (lost + there) / 2
			if at := reach(middle); at > 0 {
				there, behind = middle, at
			} else {
				lost = middle
			}
		}
		return behind, true
	}
	return 0, false
}
