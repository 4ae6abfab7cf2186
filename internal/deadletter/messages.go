package deadletter

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Message is a message as it is handed over.
type Message struct {
	Record
	Body []byte
}

// recordKey is a record's key.
func recordKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Put keeps messages. One whose id is there already changes nothing: after a crash the journal hands it over again.
// Where there is no room for all, none is kept, and the error is ErrFull.
func (s *Store) Put(messages []Message) error {
	return s.update(func(tx *bbolt.Tx) error {
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		for i := range messages {
			if err := s.putMessage(tx, t, &messages[i]); err != nil {
				return err
			}
		}
		return writeTotals(tx, t)
	})
}

// putMessage stores one message.
func (s *Store) putMessage(tx *bbolt.Tx, t *Totals, m *Message) error {
	if stored, err := s.replaceRejected(tx, t, m); stored || err != nil {
		return err
	}
	if s.maxMessages > 0 && t.Messages >= s.maxMessages || s.maxBytes > 0 && s.bytesUsed(tx)+int64(len(m.Body)) > s.maxBytes {
		return ErrFull
	}
	records := tx.Bucket(recordsBucket)
	n, err := records.NextSequence()
	if err != nil {
		return fmt.Errorf("record number: %w", err)
	}
	m.Version, m.BodySize = Version, len(m.Body)
	if err := writeRecord(records, n, &m.Record); err != nil {
		return err
	}
	if err := tx.Bucket(bodiesBucket).Put(recordKey(n), addChecksum(m.Body)); err != nil {
		return fmt.Errorf("body of %s: %w", m.ID, err)
	}
	if err := indexIDs(tx, n, m.Incarnations); err != nil {
		return err
	}
	if err := updateDue(tx, m.Destination, n, time.Time{}, m.Due); err != nil {
		return err
	}
	if err := s.updateSubject(tx, &m.Record, n, false, !m.State.Ended() && !m.neverAccepted()); err != nil {
		return err
	}
	t.count(m.State, 1)
	t.Messages++
	t.Bytes += int64(len(m.Body))
	return changeGroup(tx, m.Class, m.Tenant, 1, int64(len(m.Body)))
}

// replaceRejected looks for a message that is stored under one of the ids already, and reports true if it stays. One that was
// rejected at its arrival, and was accepted later under its old id, makes room.
func (s *Store) replaceRejected(tx *bbolt.Tx, t *Totals, m *Message) (stored bool, err error) {
	for _, life := range m.Incarnations {
		k := tx.Bucket(idsBucket).Get([]byte(life.ID))
		if k == nil {
			continue
		}
		old, err := readRecord(tx.Bucket(recordsBucket), k)
		if err != nil || !old.neverAccepted() || m.neverAccepted() {
			return true, nil // a record that can't be read stays, for Verify to report
		}
		if err := s.deleteRecord(tx, t, append([]byte{}, k...), old); err != nil {
			return false, err
		}
	}
	return false, nil
}

// indexIDs has a record found by the ids of its incarnations.
func indexIDs(tx *bbolt.Tx, n uint64, lives []Incarnation) error {
	ids := tx.Bucket(idsBucket)
	for _, life := range lives {
		if err := ids.Put([]byte(life.ID), recordKey(n)); err != nil {
			return fmt.Errorf("id %s: %w", life.ID, err)
		}
	}
	return nil
}

// writeRecord writes a record under its number.
func writeRecord(b *bbolt.Bucket, n uint64, r *Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("record %s: %w", r.ID, err)
	}
	if err := b.Put(recordKey(n), addChecksum(raw)); err != nil {
		return fmt.Errorf("record %s: %w", r.ID, err)
	}
	return nil
}

// readRecord reads a record and verifies its checksum.
func readRecord(b *bbolt.Bucket, k []byte) (*Record, error) {
	raw, err := verifyChecksum(b.Get(k))
	if err != nil {
		return nil, err
	}
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return r, nil
}

// findKey gives the key of a message by the id of any of its incarnations.
func findKey(tx *bbolt.Tx, id string) ([]byte, error) {
	k := tx.Bucket(idsBucket).Get([]byte(id))
	if k == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, id)
	}
	return k, nil
}

// Get gives a message by the id of any of its incarnations.
func (s *Store) Get(id string) (r *Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		k, err := findKey(tx, id)
		if err != nil {
			return err
		}
		if r, err = readRecord(tx.Bucket(recordsBucket), k); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		return nil
	})
	return r, err
}

// Body gives a message's body.
func (s *Store) Body(id string) (body []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		k, err := findKey(tx, id)
		if err != nil {
			return err
		}
		raw, err := verifyChecksum(tx.Bucket(bodiesBucket).Get(k))
		if err != nil {
			return fmt.Errorf("body of %s: %w", id, err)
		}
		body = append([]byte{}, raw...)
		return nil
	})
	return body, err
}

// Change changes a message in one transaction; due is when to look at it again by itself, zero for never. Where do
// gives an error nothing is changed.
func (s *Store) Change(id string, do func(r *Record) (due time.Time, err error)) error {
	return s.update(func(tx *bbolt.Tx) error {
		k, err := findKey(tx, id)
		if err != nil {
			return err
		}
		r, err := readRecord(tx.Bucket(recordsBucket), k)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		before := *r
		due, err := do(r)
		if err != nil {
			return err
		}
		r.Due = due
		return s.rewriteRecord(tx, binary.BigEndian.Uint64(k), &before, r)
	})
}

// rewriteRecord writes a record that was changed, and what follows from the change: its ids, when it is due, its subject and
// the totals.
func (s *Store) rewriteRecord(tx *bbolt.Tx, n uint64, before, r *Record) error {
	if err := writeRecord(tx.Bucket(recordsBucket), n, r); err != nil {
		return err
	}
	if err := indexIDs(tx, n, r.Incarnations[min(len(before.Incarnations), len(r.Incarnations)):]); err != nil {
		return err
	}
	if err := updateDue(tx, r.Destination, n, before.Due, r.Due); err != nil {
		return err
	}
	if before.State == r.State {
		return nil
	}
	if err := s.updateSubject(tx, r, n, !before.State.Ended(), !r.State.Ended()); err != nil {
		return err
	}
	t, err := readTotals(tx)
	if err != nil {
		return err
	}
	t.count(before.State, -1)
	t.count(r.State, 1)
	return writeTotals(tx, t)
}
