package deadletter

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// The state of Newest is in these buckets of the store, where a topic is represented by a part of its hash, see topicKey:
//
//	newest   topic (16 bytes) -> number (8 bytes) + class + 0x00 + newestMessage as JSON
//	young    number (8 bytes, rising) -> topic: the one that was put longest ago comes first
//	waiting  topic + number of the record -> newestMessage as JSON
//	eras     class -> trackingEpoch as JSON
//
// and in the bucket meta "topics" -> how many topics there are (8 bytes).
var (
	newestBucket, insertionBucket = []byte("newest"), []byte("young")
	waitingBucket, epochsBucket   = []byte("waiting"), []byte("eras")
	storeIDKey, subjectCountKey   = []byte("id"), []byte("topics")
)

// topicKeySize is how many bytes of a topic's hash are its key: two of a million topics collide once in 1e26 stores.
const topicKeySize = 16

// counterSize is the size of numbers in these buckets, in bytes.
const counterSize = 8

// topicKey is the key of a topic.
func topicKey(t Topic) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s", t.Class, t.Destination, t.Subject))
	return sum[:topicKeySize]
}

// boltSubjects is a subjectStorage within one transaction. It keeps its first error, which commit returns: with it the
// transaction fails.
type boltSubjects struct {
	tx     *bbolt.Tx
	epochs map[string]*trackingEpoch // that were read or set, by class
	count  int                       // of topics; -1: not read yet
	err    error
}

// newBoltSubjects returns the storage of a transaction.
func newBoltSubjects(tx *bbolt.Tx) *boltSubjects {
	return &boltSubjects{tx: tx, epochs: map[string]*trackingEpoch{}, count: -1}
}

// recordError keeps an error if it is the first one.
func (s *boltSubjects) recordError(err error) {
	if err != nil && s.err == nil {
		s.err = err
	}
}

// decode decodes a value, and reports whether it was present and readable.
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

// encode encodes a value.
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
	// A store of an earlier version that was opened for reading has no such bucket.
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
	prefix := counterSize + len(t.Class) + 1
	m := &newestMessage{}
	if len(raw) < prefix || !s.decode(raw[prefix:], m) {
		return nil
	}
	return m
}

func (s *boltSubjects) put(t Topic, m newestMessage) {
	newest, insertions := s.tx.Bucket(newestBucket), s.tx.Bucket(insertionBucket)
	key := topicKey(t)
	if stored := newest.Get(key); len(stored) >= counterSize {
		s.recordError(insertions.Delete(append([]byte{}, stored[:counterSize]...)))
	} else {
		s.count = s.size() + 1
	}
	number, err := insertions.NextSequence()
	s.recordError(err)
	s.recordError(insertions.Put(recordKey(number), key))
	s.recordError(newest.Put(key, append(append(append(recordKey(number), t.Class...), 0), s.encode(m)...)))
}

func (s *boltSubjects) evictOldest() (class string, m *newestMessage) {
	newest, insertions := s.tx.Bucket(newestBucket), s.tx.Bucket(insertionBucket)
	number, key := insertions.Cursor().First()
	if number == nil {
		return "", nil
	}
	number, key = append([]byte{}, number...), append([]byte{}, key...)
	if raw := newest.Get(key); len(raw) > counterSize {
		if name, encoded, ok := bytes.Cut(raw[counterSize:], []byte{0}); ok {
			class, m = string(name), &newestMessage{}
			s.decode(encoded, m)
		}
	}
	s.recordError(errors.Join(insertions.Delete(number), newest.Delete(key)))
	s.count = s.size() - 1
	return class, m
}

func (s *boltSubjects) size() int {
	if s.count < 0 {
		s.count = 0
		if raw := s.tx.Bucket(metaBucket).Get(subjectCountKey); len(raw) == counterSize {
			s.count = int(binary.BigEndian.Uint64(raw))
		}
	}
	return s.count
}

func (s *boltSubjects) waiting(t Topic, version int) (newest *newestMessage) {
	prefix := topicKey(t)
	cursor := s.tx.Bucket(waitingBucket).Cursor()
	for key, raw := cursor.Seek(prefix); len(key) == topicKeySize+recordKeySize && bytes.HasPrefix(key, prefix); key, raw = cursor.Next() {
		m := &newestMessage{}
		if s.decode(raw, m) && m.Version == version && (newest == nil || m.Order.compare(newest.Order) > 0) {
			newest = m
		}
	}
	return newest
}

// commit writes the count of topics, and returns the first error.
func (s *boltSubjects) commit() error {
	if s.count >= 0 {
		s.recordError(s.tx.Bucket(metaBucket).Put(subjectCountKey, binary.BigEndian.AppendUint64(nil, uint64(s.count))))
	}
	return s.err
}
