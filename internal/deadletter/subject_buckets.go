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

// These buckets of the store hold the state of Newest. The key of a topic is a part of its hash, see topicKey:
//
//	newest   topic (16 bytes) -> number (8 bytes) + class + 0x00 + newestMessage as JSON
//	young    number (8 bytes, increasing) -> topic: the topic that was put longest ago comes first
//	waiting  topic + number of the record -> newestMessage as JSON
//	eras     class -> trackingEpoch as JSON
//
// The bucket meta holds "topics" -> the number of topics (8 bytes).
var (
	newestBucket, insertionBucket = []byte("newest"), []byte("young")
	waitingBucket, epochsBucket   = []byte("waiting"), []byte("eras")
	storeIDKey, subjectCountKey   = []byte("id"), []byte("topics")
)

// topicKeySize is how many bytes of a topic's hash are its key. With a million topics, one store in 1e26 has a collision.
const topicKeySize = 16

// counterSize is the size of the numbers in these buckets, in bytes.
const counterSize = 8

// topicKey returns the key of a topic.
func topicKey(t Topic) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s", t.Class, t.Destination, t.Subject))
	return sum[:topicKeySize]
}

// boltSubjects is a subjectStorage within one transaction. It keeps its first error, which commit returns, so that the
// transaction fails.
type boltSubjects struct {
	tx     *bbolt.Tx
	epochs map[string]*trackingEpoch // cache of the epochs that were read or set, by class
	count  int                       // number of topics; -1: not read yet
	err    error
}

// newBoltSubjects returns a storage that works within a transaction.
func newBoltSubjects(tx *bbolt.Tx) *boltSubjects {
	return &boltSubjects{tx: tx, epochs: map[string]*trackingEpoch{}, count: -1}
}

// recordError keeps an error unless an earlier one is kept already.
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
		s.recordError(fmt.Errorf("read the state of the topics: %w", ErrDamaged))
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
	// A store of an earlier version that was opened read-only lacks the bucket.
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

// commit writes the number of topics, and returns the first error of all operations.
func (s *boltSubjects) commit() error {
	if s.count >= 0 {
		s.recordError(s.tx.Bucket(metaBucket).Put(subjectCountKey, binary.BigEndian.AppendUint64(nil, uint64(s.count))))
	}
	return s.err
}
