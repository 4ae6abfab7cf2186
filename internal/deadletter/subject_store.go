package deadletter

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// newestIn gives what knows the topics, within a transaction.
func (s *Store) newestIn(on subjectStorage) *Newest {
	known := s.section.Load()
	if known == nil {
		known = &Section{}
	}
	return &Newest{storage: on, maxSubjects: known.MaxSubjects, exclusive: known.StickySubjects, settlingTime: seconds(known.SubjectSettlingTime)}
}

// TrackSubjects has the store know the newest message of each topic for the classes of a section whose subjects are read. anew
// says that messages may have been delivered of which the store was not informed.
func (s *Store) TrackSubjects(section *Section, anew bool, now time.Time) error {
	s.section.Store(section)
	subjects := section.Subjects
	reading := map[string]string{}
	for i := range subjects {
		raw, err := json.Marshal(subjects[i])
		if err != nil {
			return fmt.Errorf("undelivered: subject of class %s: %w", subjects[i].Class, err)
		}
		reading[subjects[i].Class] = string(raw)
	}
	return s.update(func(tx *bbolt.Tx) error {
		on := newBoltSubjects(tx)
		// A class whose subjects are no longer read begins anew when they are again.
		var gone [][]byte
		err := tx.Bucket(epochsBucket).ForEach(func(class, _ []byte) error {
			if reading[string(class)] == "" {
				gone = append(gone, append([]byte{}, class...))
			}
			return nil
		})
		for _, class := range gone {
			e := on.epoch(string(class))
			if e != nil && e.Definition != "" {
				on.setEpoch(string(class), &trackingEpoch{Version: e.Version + 1})
			}
		}
		s.newestIn(on).Begin(reading, anew, now)
		return errors.Join(err, on.commit())
	})
}

// Delivery is a message that was delivered, and is about something.
type Delivery struct {
	ID string
	Topic
	Order Order
}

// RecordDelivered notes messages of a topic that were delivered. One that is noted again changes nothing.
func (s *Store) RecordDelivered(notes []Delivery) error {
	return s.update(func(tx *bbolt.Tx) error {
		on := newBoltSubjects(tx)
		n := s.newestIn(on)
		for i := range notes {
			n.Delivered(notes[i].ID, notes[i].Topic, notes[i].Order)
		}
		return on.commit()
	})
}

// Newer tells which message of the same topic has overtaken one, delivered or waiting here too. What can't be read can't
// be told.
func (s *Store) Newer(r *Record) (by string, known bool) {
	err := s.view(func(tx *bbolt.Tx) error {
		on := newBoltSubjects(tx)
		by, known = s.newestIn(on).NewerThan(r)
		return on.err
	})
	if err != nil {
		return "", false
	}
	return by, known
}

// updateSubject keeps what is known of a record's topic as the record comes, ends or leaves.
func (s *Store) updateSubject(tx *bbolt.Tx, r *Record, n uint64, was, is bool) error {
	on := newBoltSubjects(tx)
	if r.Subject == "" || r.Order == nil {
		// Whatever it is about, it may have been delivered.
		if !was && r.Order != nil && r.MayHaveExecuted() != nil {
			s.newestIn(on).Delivered(r.ID, r.topic(), *r.Order)
		}
		return on.commit()
	}
	waiting, k := tx.Bucket(waitingBucket), append(topicKey(r.topic()), recordKey(n)...)
	switch {
	case !was && is:
		l := newestMessage{ID: r.ID, Order: *r.Order}
		if e := on.epoch(r.Class); e != nil {
			l.Version = e.Version
		}
		on.recordError(waiting.Put(k, on.encode(l)))
	case was && !is:
		on.recordError(waiting.Delete(k))
		if r.State == Delivered || r.MayHaveExecuted() != nil {
			s.newestIn(on).Delivered(r.ID, r.topic(), *r.Order)
		}
	}
	return on.commit()
}
