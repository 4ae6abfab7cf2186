package deadletter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// What is known of topics is in these buckets of the store; a topic stands there as a part of its hash:
//
//	newest   topic (16 bytes) -> number (8 bytes) + class + 0x00 + latest as JSON
//	young    number (8 bytes, rising) -> topic: the one that was put longest ago comes first
//	waiting  topic + number of the record -> latest as JSON
//	eras     class -> era as JSON
var (
	newestBucket, insertionBucket = []byte("newest"), []byte("young")
	waitingBucket, epochsBucket   = []byte("waiting"), []byte("eras")
	storeIDKey, subjectCountKey   = []byte("id"), []byte("topics")
)

// topicKeySize is how much of a topic's hash is its key: two of a million topics agree in it once in 1e26 stores.
const topicKeySize = 16

func topicKey(t Topic) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%d\x00%s", t.Class, t.Destination, t.Subject))
	return sum[:topicKeySize]
}

// boltSubjects is a subjectStorage within one transaction. Its first error ends what it was used for.
type boltSubjects struct {
	tx     *bbolt.Tx
	epochs map[string]*trackingEpoch
	count  int // topics; -1: not read yet
	err    error
}

func newBoltSubjects(tx *bbolt.Tx) *boltSubjects {
	return &boltSubjects{tx: tx, epochs: map[string]*trackingEpoch{}, count: -1}
}

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
