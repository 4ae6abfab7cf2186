package deadletter

import (
	"encoding/json"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// newestIn returns a Newest that has the store's settings and uses a storage.
func (s *Store) newestIn(storage subjectStorage) *Newest {
	section := s.section.Load()
	if section == nil {
		section = &Section{}
	}
	return &Newest{
		storage: storage, maxSubjects: section.MaxSubjects, exclusive: section.StickySubjects,
		settlingTime: seconds(section.SubjectSettlingTime),
	}
}

// TrackSubjects makes the store track the newest message of each topic, for the classes whose subjects a section defines.
// missed is set if messages may have been delivered that the store did not record.
func (s *Store) TrackSubjects(section *Section, missed bool, now time.Time) error {
	s.section.Store(section)
	definitions := map[string]string{}
	for i := range section.Subjects {
		subject := &section.Subjects[i]
		raw, err := json.Marshal(subject)
		if err != nil {
			return fmt.Errorf("undelivered: subject of class %s: %w", subject.Class, err)
		}
		definitions[subject.Class] = string(raw)
	}
	return s.update(func(tx *bbolt.Tx) error {
		storage := newBoltSubjects(tx)
		storage.endEpochs(definitions)
		s.newestIn(storage).Begin(definitions, missed, now)
		return storage.commit()
	})
}

// endEpochs ends the epochs of classes for which no definition of subjects is left.
func (s *boltSubjects) endEpochs(definitions map[string]string) {
	var untracked []string
	s.recordError(s.tx.Bucket(epochsBucket).ForEach(func(class, _ []byte) error {
		if definitions[string(class)] == "" {
			untracked = append(untracked, string(class))
		}
		return nil
	}))
	for _, class := range untracked {
		if e := s.epoch(class); e.active() {
			s.setEpoch(class, &trackingEpoch{Version: e.Version + 1})
		}
	}
}

// Delivery is a delivered message with its topic.
type Delivery struct {
	ID string
	Topic
	Order Order
}

// RecordDelivered records deliveries. Recording the same delivery again changes nothing.
func (s *Store) RecordDelivered(deliveries []Delivery) error {
	return s.update(func(tx *bbolt.Tx) error {
		storage := newBoltSubjects(tx)
		newest := s.newestIn(storage)
		for _, d := range deliveries {
			newest.Delivered(d.ID, d.Topic, d.Order)
		}
		return storage.commit()
	})
}

// Newer returns the id of a newer message of the same topic that was delivered or waits in the store, or "" if it finds
// none. known is false if it finds none but there may be one.
func (s *Store) Newer(r *Record) (id string, known bool) {
	err := s.view(func(tx *bbolt.Tx) error {
		storage := newBoltSubjects(tx)
		id, known = s.newestIn(storage).NewerThan(r)
		return storage.err
	})
	if err != nil {
		return "", false
	}
	return id, known
}

// updateSubject updates the newest and waiting messages of a record's topic when the record is stored, reaches a final
// state or is deleted. wasWaiting and isWaiting say whether the record waits for a delivery before and after that change.
func (s *Store) updateSubject(tx *bbolt.Tx, r *Record, number uint64, wasWaiting, isWaiting bool) error {
	storage := newBoltSubjects(tx)
	if r.Subject == "" || r.Order == nil {
		// A message without a subject that may have been executed may be newer than any other message of its class and
		// destination.
		if !wasWaiting && r.Order != nil && r.MayHaveExecuted() != nil {
			s.newestIn(storage).Delivered(r.ID, r.topic(), *r.Order)
		}
		return storage.commit()
	}
	waiting, key := tx.Bucket(waitingBucket), append(topicKey(r.topic()), recordKey(number)...)
	switch {
	case !wasWaiting && isWaiting:
		m := newestMessage{ID: r.ID, Order: *r.Order}
		if e := storage.epoch(r.Class); e != nil {
			m.Version = e.Version
		}
		storage.recordError(waiting.Put(key, storage.encode(m)))
	case wasWaiting && !isWaiting:
		storage.recordError(waiting.Delete(key))
		if r.State == Delivered || r.MayHaveExecuted() != nil {
			s.newestIn(storage).Delivered(r.ID, r.topic(), *r.Order)
		}
	}
	return storage.commit()
}
