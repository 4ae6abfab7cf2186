package deadletter

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// Message is a message to be stored: its record and its body.
type Message struct {
	Record
	Body []byte
}

// recordKeySize is the length of a record's key, in bytes.
const recordKeySize = 8

// recordKey returns the key under which the record with a number is stored.
func recordKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// Put stores messages. A message whose id is in the store already is skipped, because the journal submits messages again
// after a crash. If the store has no capacity for all of them, Put stores none and returns ErrFull.
func (s *Store) Put(messages []Message) error {
	return s.update(func(tx *bbolt.Tx) error {
		totals, err := readTotals(tx)
		if err != nil {
			return err
		}
		for i := range messages {
			if err := s.putMessage(tx, totals, &messages[i]); err != nil {
				return err
			}
		}
		return writeTotals(tx, totals)
	})
}

// putMessage stores one message with its index entries, and counts it in the totals.
func (s *Store) putMessage(tx *bbolt.Tx, totals *Totals, m *Message) error {
	if stored, err := s.replaceRejected(tx, totals, m); stored || err != nil {
		return err
	}
	if s.maxMessages > 0 && totals.Messages >= s.maxMessages || s.maxBytes > 0 && s.bytesUsed(tx)+int64(len(m.Body)) > s.maxBytes {
		return ErrFull
	}
	records := tx.Bucket(recordsBucket)
	number, err := records.NextSequence()
	if err != nil {
		return fmt.Errorf("record number: %w", err)
	}
	m.Version, m.BodySize = Version, len(m.Body)
	if err := writeRecord(records, number, &m.Record); err != nil {
		return err
	}
	if err := tx.Bucket(bodiesBucket).Put(recordKey(number), addChecksum(m.Body)); err != nil {
		return fmt.Errorf("body of %s: %w", m.ID, err)
	}
	if err := indexIDs(tx, number, m.Incarnations); err != nil {
		return err
	}
	if err := updateDue(tx, m.Destination, number, time.Time{}, m.Due); err != nil {
		return err
	}
	if err := s.updateSubject(tx, &m.Record, number, false, !m.State.Ended() && !m.neverAccepted()); err != nil {
		return err
	}
	totals.count(m.State, 1)
	totals.Messages++
	totals.Bytes += int64(len(m.Body))
	return changeGroup(tx, m.Class, m.Tenant, 1, int64(len(m.Body)))
}

// replaceRejected reports whether a message is stored already under one of its ids. If the stored message was rejected on
// arrival and m was accepted under the same id, replaceRejected deletes the stored one instead, so that m can be stored.
func (s *Store) replaceRejected(tx *bbolt.Tx, totals *Totals, m *Message) (stored bool, err error) {
	for _, incarnation := range m.Incarnations {
		key := tx.Bucket(idsBucket).Get([]byte(incarnation.ID))
		if key == nil {
			continue
		}
		old, err := readRecord(tx.Bucket(recordsBucket), key)
		if err != nil || !old.neverAccepted() || m.neverAccepted() {
			return true, nil // an unreadable record stays in place; Verify reports it
		}
		if err := s.deleteRecord(tx, totals, append([]byte{}, key...), old); err != nil {
			return false, err
		}
	}
	return false, nil
}

// indexIDs adds the ids of incarnations to the index of a record.
func indexIDs(tx *bbolt.Tx, number uint64, incarnations []Incarnation) error {
	ids := tx.Bucket(idsBucket)
	for _, incarnation := range incarnations {
		if err := ids.Put([]byte(incarnation.ID), recordKey(number)); err != nil {
			return fmt.Errorf("id %s: %w", incarnation.ID, err)
		}
	}
	return nil
}

// writeRecord writes a record under its number.
func writeRecord(records *bbolt.Bucket, number uint64, r *Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("record %s: %w", r.ID, err)
	}
	if err := records.Put(recordKey(number), addChecksum(raw)); err != nil {
		return fmt.Errorf("record %s: %w", r.ID, err)
	}
	return nil
}

// readRecord reads a record and verifies its checksum.
func readRecord(records *bbolt.Bucket, key []byte) (*Record, error) {
	raw, err := verifyChecksum(records.Get(key))
	if err != nil {
		return nil, err
	}
	r := &Record{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return r, nil
}

// findKey returns the key of the record that has an incarnation with an id.
func findKey(tx *bbolt.Tx, id string) ([]byte, error) {
	key := tx.Bucket(idsBucket).Get([]byte(id))
	if key == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, id)
	}
	return key, nil
}

// Get returns a message by the id of any of its incarnations.
func (s *Store) Get(id string) (r *Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		key, err := findKey(tx, id)
		if err != nil {
			return err
		}
		if r, err = readRecord(tx.Bucket(recordsBucket), key); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		return nil
	})
	return r, err
}

// Body returns a message's body, by the id of any of its incarnations.
func (s *Store) Body(id string) (body []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		key, err := findKey(tx, id)
		if err != nil {
			return err
		}
		raw, err := verifyChecksum(tx.Bucket(bodiesBucket).Get(key))
		if err != nil {
			return fmt.Errorf("body of %s: %w", id, err)
		}
		body = append([]byte{}, raw...)
		return nil
	})
	return body, err
}

// Change changes a message in one transaction. edit modifies the record and returns the time at which the message is due
// for the next decision; the zero time means never. If edit returns an error, nothing is stored.
func (s *Store) Change(id string, edit func(r *Record) (due time.Time, err error)) error {
	return s.update(func(tx *bbolt.Tx) error {
		key, err := findKey(tx, id)
		if err != nil {
			return err
		}
		r, err := readRecord(tx.Bucket(recordsBucket), key)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		before := *r
		due, err := edit(r)
		if err != nil {
			return err
		}
		r.Due = due
		return s.rewriteRecord(tx, binary.BigEndian.Uint64(key), &before, r)
	})
}

// rewriteRecord writes a changed record and updates the index of ids, the due time, the newest message of its topic and
// the totals.
func (s *Store) rewriteRecord(tx *bbolt.Tx, number uint64, before, r *Record) error {
	if err := writeRecord(tx.Bucket(recordsBucket), number, r); err != nil {
		return err
	}
	if err := indexIDs(tx, number, r.Incarnations[min(len(before.Incarnations), len(r.Incarnations)):]); err != nil {
		return err
	}
	if err := updateDue(tx, r.Destination, number, before.Due, r.Due); err != nil {
		return err
	}
	if before.State == r.State {
		return nil
	}
	if err := s.updateSubject(tx, r, number, !before.State.Ended(), !r.State.Ended()); err != nil {
		return err
	}
	totals, err := readTotals(tx)
	if err != nil {
		return err
	}
	totals.count(before.State, -1)
	totals.count(r.State, 1)
	return writeTotals(tx, totals)
}
