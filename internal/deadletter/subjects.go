package deadletter

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// What is known of topics is in these buckets of the store; a topic stands there as a part of its hash:
//
//	newest   topic (16 bytes) -> number (8 bytes) + class + 0x00 + latest as JSON
//	young    number (8 bytes, rising) -> topic: the one that was put longest ago comes first
//	waiting  topic + number of the record -> latest as JSON
//	eras     class -> era as JSON
var (
	newestBucket, insertionBucket  = []byte("newest"), []byte("young")
	waitingBucket, epochsBucket  = []byte("waiting"), []byte("eras")
	storeIDKey, subjectCountKey = []byte("id"), []byte("topics")
)

// topicKeySize is how much of a topic's hash is its key: two of a million topics agree in it once in 1e26 stores.
const topicKeySize = 16

func topicKey(t Topic) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s", t.Class, t.Partner, t.Subject))
	return sum[:topicKeySize]
}

// boltSubjects is a shelf within one transaction. Its first error ends what it was used for.
type boltSubjects struct {
	tx   *bbolt.Tx
	epochs map[string]*trackingEpoch
	count    int // topics; -1: not read yet
	err  error
}

func newBoltSubjects(tx *bbolt.Tx) *boltSubjects { return &boltSubjects{tx: tx, epochs: map[string]*trackingEpoch{}, count: -1} }

func (s *boltSubjects) recordError(err error) {
	if err != nil && s.err == nil {
		s.err = err
	}
}

// decode reads a value, and reports whether it was there and readable.
func (s *boltSubjects) decode(raw []byte, into any) bool {
	if raw == nil {
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil {
		s.recordError(fmt.Errorf("its topics: %w", ErrDamaged))
		return false
	}
	return true
}

func (s *boltSubjects) encode(v any) []byte {
	raw, err := json.Marshal(v)
	s.recordError(err)
	return raw
}

func (s *boltSubjects) epoch(class string) *trackingEpoch {
	if e, ok := s.epochs[class]; ok {
		return e
	}
	e := &trackingEpoch{}
	// The store of an earlier version that was opened to read has no such bucket.
	if b := s.tx.Bucket(epochsBucket); b == nil || !s.decode(b.Get([]byte(class)), e) {
		e = nil
	}
	s.epochs[class] = e
	return e
}

func (s *boltSubjects) setEpoch(class string, e *trackingEpoch) {
	s.epochs[class] = e
	s.recordError(s.tx.Bucket(epochsBucket).Put([]byte(class), s.encode(e)))
}

func (s *boltSubjects) newest(t Topic) *newestMessage {
	raw := s.tx.Bucket(newestBucket).Get(topicKey(t))
	l := &newestMessage{}
	if len(raw) < 9+len(t.Class) || !s.decode(raw[9+len(t.Class):], l) {
		return nil
	}
	return l
}

func (s *boltSubjects) put(t Topic, l newestMessage) {
	newest, young := s.tx.Bucket(newestBucket), s.tx.Bucket(insertionBucket)
	k := topicKey(t)
	if was := newest.Get(k); len(was) >= 8 {
		s.recordError(young.Delete(append([]byte{}, was[:8]...)))
	} else {
		s.count = s.size() + 1
	}
	n, err := young.NextSequence()
	s.recordError(err)
	s.recordError(young.Put(recordKey(n), k))
	s.recordError(newest.Put(k, append(append(append(recordKey(n), t.Class...), 0), s.encode(l)...)))
}

func (s *boltSubjects) evictOldest() (class string, l *newestMessage) {
	newest, young := s.tx.Bucket(newestBucket), s.tx.Bucket(insertionBucket)
	number, k := young.Cursor().First()
	if number == nil {
		return "", nil
	}
	number, k = append([]byte{}, number...), append([]byte{}, k...)
	raw := newest.Get(k)
	for i := 8; i < len(raw); i++ {
		if raw[i] == 0 {
			class, l = string(raw[8:i]), &newestMessage{}
			s.decode(raw[i+1:], l)
			break
		}
	}
	s.recordError(errors.Join(young.Delete(number), newest.Delete(k)))
	s.count = s.size() - 1
	return class, l
}

func (s *boltSubjects) size() int {
	if s.count < 0 {
		s.count = 0
		if raw := s.tx.Bucket(metaBucket).Get(subjectCountKey); len(raw) == 8 {
			s.count = int(binary.BigEndian.Uint64(raw))
		}
	}
	return s.count
}

func (s *boltSubjects) waiting(t Topic, version int) (best *newestMessage) {
	k := topicKey(t)
	c := s.tx.Bucket(waitingBucket).Cursor()
	for at, raw := c.Seek(k); len(at) == topicKeySize+8 && string(at[:topicKeySize]) == string(k); at, raw = c.Next() {
		l := &newestMessage{}
		if s.decode(raw, l) && l.Version == version && (best == nil || l.Order.compare(best.Order) > 0) {
			best = l
		}
	}
	return best
}

// commit writes what was counted, and gives the first error.
func (s *boltSubjects) commit() error {
	if s.count >= 0 {
		s.recordError(s.tx.Bucket(metaBucket).Put(subjectCountKey, binary.BigEndian.AppendUint64(nil, uint64(s.count))))
	}
	return s.err
}

// newestIn gives what knows the topics, within a transaction.
func (s *Store) newestIn(on subjectStorage) *Newest {
	known := s.section.Load()
	if known == nil {
		known = &Section{}
	}
	return &Newest{storage: on, maxSubjects: known.SubjectsMost, exclusive: known.SubjectsStick, settlingTime: seconds(known.SubjectsSettle)}
}

// Topics has the store know the newest message of each topic for the classes of a section whose subjects are read. anew
// says that messages may have been delivered of which the store was not told.
func (s *Store) Topics(section *Section, anew bool, now time.Time) error {
	s.section.Store(section)
	subjects := section.Subjects
	reading := map[string]string{}
	for i := range subjects {
		raw, err := json.Marshal(subjects[i])
		if err != nil {
			return err
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

// Note is a message that was delivered, and is about something.
type Note struct {
	ID string
	Topic
	Order Order
}

// Delivered notes messages of a topic that were delivered. One that is noted again changes nothing.
func (s *Store) Delivered(notes []Note) error {
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
		by, known = s.newestIn(on).After(r)
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
		if !was && r.Order != nil && r.MayHaveRun() != nil {
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
		if r.State == Delivered || r.MayHaveRun() != nil {
			s.newestIn(on).Delivered(r.ID, r.topic(), *r.Order)
		}
	}
	return on.commit()
}

// ID names the store: another folder has another.
func (s *Store) ID() (id string, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		id = string(tx.Bucket(metaBucket).Get(storeIDKey))
		return nil
	})
	return id, err
}

// newStoreID makes a name that no other store has.
func newStoreID() []byte {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return []byte(hex.EncodeToString(b[:]))
}
