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
	bNewest, bYoung  = []byte("newest"), []byte("young")
	bWaiting, bEras  = []byte("waiting"), []byte("eras")
	kStoreID, kSized = []byte("id"), []byte("topics")
)

// topicLen is how much of a topic's hash is its key: two of a million topics agree in it once in 1e26 stores.
const topicLen = 16

func topicKey(t Topic) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s", t.Class, t.Partner, t.Subject))
	return sum[:topicLen]
}

// boltShelf is a shelf within one transaction. Its first error ends what it was used for.
type boltShelf struct {
	tx   *bbolt.Tx
	eras map[string]*era
	n    int // topics; -1: not read yet
	err  error
}

func shelfOf(tx *bbolt.Tx) *boltShelf { return &boltShelf{tx: tx, eras: map[string]*era{}, n: -1} }

func (s *boltShelf) fail(err error) {
	if err != nil && s.err == nil {
		s.err = err
	}
}

// decode reads a value, and reports whether it was there and readable.
func (s *boltShelf) decode(raw []byte, into any) bool {
	if raw == nil {
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil {
		s.fail(fmt.Errorf("its topics: %w", ErrDamaged))
		return false
	}
	return true
}

func (s *boltShelf) encode(v any) []byte {
	raw, err := json.Marshal(v)
	s.fail(err)
	return raw
}

func (s *boltShelf) era(class string) *era {
	if e, ok := s.eras[class]; ok {
		return e
	}
	e := &era{}
	// The store of an earlier version that was opened to read has no such bucket.
	if b := s.tx.Bucket(bEras); b == nil || !s.decode(b.Get([]byte(class)), e) {
		e = nil
	}
	s.eras[class] = e
	return e
}

func (s *boltShelf) setEra(class string, e *era) {
	s.eras[class] = e
	s.fail(s.tx.Bucket(bEras).Put([]byte(class), s.encode(e)))
}

func (s *boltShelf) latest(t Topic) *latest {
	raw := s.tx.Bucket(bNewest).Get(topicKey(t))
	l := &latest{}
	if len(raw) < 9+len(t.Class) || !s.decode(raw[9+len(t.Class):], l) {
		return nil
	}
	return l
}

func (s *boltShelf) put(t Topic, l latest) {
	newest, young := s.tx.Bucket(bNewest), s.tx.Bucket(bYoung)
	k := topicKey(t)
	if was := newest.Get(k); len(was) >= 8 {
		s.fail(young.Delete(append([]byte{}, was[:8]...)))
	} else {
		s.n = s.size() + 1
	}
	n, err := young.NextSequence()
	s.fail(err)
	s.fail(young.Put(key(n), k))
	s.fail(newest.Put(k, append(append(append(key(n), t.Class...), 0), s.encode(l)...)))
}

func (s *boltShelf) oldest() (class string, l *latest) {
	newest, young := s.tx.Bucket(bNewest), s.tx.Bucket(bYoung)
	number, k := young.Cursor().First()
	if number == nil {
		return "", nil
	}
	number, k = append([]byte{}, number...), append([]byte{}, k...)
	raw := newest.Get(k)
	for i := 8; i < len(raw); i++ {
		if raw[i] == 0 {
			class, l = string(raw[8:i]), &latest{}
			s.decode(raw[i+1:], l)
			break
		}
	}
	s.fail(errors.Join(young.Delete(number), newest.Delete(k)))
	s.n = s.size() - 1
	return class, l
}

func (s *boltShelf) size() int {
	if s.n < 0 {
		s.n = 0
		if raw := s.tx.Bucket(bMeta).Get(kSized); len(raw) == 8 {
			s.n = int(binary.BigEndian.Uint64(raw))
		}
	}
	return s.n
}

func (s *boltShelf) waiting(t Topic, version int) (best *latest) {
	k := topicKey(t)
	c := s.tx.Bucket(bWaiting).Cursor()
	for at, raw := c.Seek(k); len(at) == topicLen+8 && string(at[:topicLen]) == string(k); at, raw = c.Next() {
		l := &latest{}
		if s.decode(raw, l) && l.Version == version && (best == nil || l.Order.compare(best.Order) > 0) {
			best = l
		}
	}
	return best
}

// done writes what was counted, and gives the first error.
func (s *boltShelf) done() error {
	if s.n >= 0 {
		s.fail(s.tx.Bucket(bMeta).Put(kSized, binary.BigEndian.AppendUint64(nil, uint64(s.n))))
	}
	return s.err
}

// newest gives what knows the topics, within a transaction.
func (s *Store) newest(on shelf) *Newest {
	known := s.known.Load()
	if known == nil {
		known = &Section{}
	}
	return &Newest{on: on, most: known.SubjectsMost, alone: known.SubjectsStick, settle: seconds(known.SubjectsSettle)}
}

// Topics has the store know the newest message of each topic for the classes of a section whose subjects are read. anew
// says that messages may have been delivered of which the store was not told.
func (s *Store) Topics(section *Section, anew bool, now time.Time) error {
	s.known.Store(section)
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
		on := shelfOf(tx)
		// A class whose subjects are no longer read begins anew when they are again.
		var gone [][]byte
		err := tx.Bucket(bEras).ForEach(func(class, _ []byte) error {
			if reading[string(class)] == "" {
				gone = append(gone, append([]byte{}, class...))
			}
			return nil
		})
		for _, class := range gone {
			e := on.era(string(class))
			if e != nil && e.Reading != "" {
				on.setEra(string(class), &era{Version: e.Version + 1})
			}
		}
		s.newest(on).Begin(reading, anew, now)
		return errors.Join(err, on.done())
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
		on := shelfOf(tx)
		n := s.newest(on)
		for i := range notes {
			n.Delivered(notes[i].ID, notes[i].Topic, notes[i].Order)
		}
		return on.done()
	})
}

// Newer tells which message of the same topic has overtaken one, delivered or waiting here too. What can't be read can't
// be told.
func (s *Store) Newer(r *Record) (by string, known bool) {
	err := s.view(func(tx *bbolt.Tx) error {
		on := shelfOf(tx)
		by, known = s.newest(on).After(r)
		return on.err
	})
	if err != nil {
		return "", false
	}
	return by, known
}

// moveTopic keeps what is known of a record's topic as the record comes, ends or leaves.
func (s *Store) moveTopic(tx *bbolt.Tx, r *Record, n uint64, was, is bool) error {
	on := shelfOf(tx)
	if r.Subject == "" || r.Order == nil {
		// Whatever it is about, it may have been delivered.
		if !was && r.Order != nil && r.MayHaveRun() != nil {
			s.newest(on).Delivered(r.ID, r.topic(), *r.Order)
		}
		return on.done()
	}
	waiting, k := tx.Bucket(bWaiting), append(topicKey(r.topic()), key(n)...)
	switch {
	case !was && is:
		l := latest{ID: r.ID, Order: *r.Order}
		if e := on.era(r.Class); e != nil {
			l.Version = e.Version
		}
		on.fail(waiting.Put(k, on.encode(l)))
	case was && !is:
		on.fail(waiting.Delete(k))
		if r.State == Delivered || r.MayHaveRun() != nil {
			s.newest(on).Delivered(r.ID, r.topic(), *r.Order)
		}
	}
	return on.done()
}

// ID names the store: another folder has another.
func (s *Store) ID() (id string, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		id = string(tx.Bucket(bMeta).Get(kStoreID))
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
