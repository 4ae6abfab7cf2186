package deadletter

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"frostlink/internal/boltfile"
)

// The store is one bbolt file with these buckets, and those of subjects.go:
//
//	meta      "version" -> 4 bytes; "totals" -> Totals as JSON; "rules" -> a digest of the rules last used
//	records   number (8 bytes, big endian, rising) -> checksum (4 bytes, CRC-32C of the rest) + Record as JSON
//	bodies    number -> checksum + body
//	ids       id of any life -> number
//	due       partner (4 bytes) + time (8 bytes, Unix milliseconds) + number -> nothing: when to look at a record again
//	groups    class 0x00 tenant -> Group as JSON
//	unkept    id -> why and when, of what could not be kept or left by a bound without an export
//
// Nothing is synced: what was written outlasts the process, also SIGKILL, as the journal's records do.
const (
	fileName     = "undelivered.db"
	storeVersion = 2 // 1: without topics
	// growthSize is by how much the file grows at once, in bytes: a small quota is not to be overshot by much.
	growthSize = 128 << 10
)

var (
	metaBucket, recordsBucket, bodiesBucket = []byte("meta"), []byte("records"), []byte("bodies")
	idsBucket, dueBucket, groupsBucket      = []byte("ids"), []byte("due"), []byte("groups")
	droppedBucket                  = []byte("unkept")
	buckets                  = [][]byte{metaBucket, recordsBucket, bodiesBucket, idsBucket, dueBucket, groupsBucket, droppedBucket, newestBucket, insertionBucket, waitingBucket, epochsBucket}
	versionKey, totalsKey        = []byte("version"), []byte("totals")
	rulesKey                   = []byte("rules")
)

// The errors that callers tell apart.
var (
	ErrInUse    = errors.New("the store is in use by another process")
	ErrUnknown  = errors.New("no such message in the store")
	ErrFull     = errors.New("the store is full")
	ErrDamaged  = boltfile.ErrDamaged
	ErrNewer    = errors.New("the store was written by a newer version")
	errNoRecord = errors.New("no record")
)

// Store keeps undelivered messages in a folder. It is safe for concurrent use.
type Store struct {
	db    *boltfile.File
	path  string
	maxBytes int64 // bytes of the file; 0: none
	maxMessages  int   // messages; 0: any number

	section atomic.Pointer[Section] // how topics are known; nil where they are not
}

// Kept is a message as it is handed over.
type Kept struct {
	Record
	Body []byte
}

// Open opens the store in a folder, which it makes if need be. A second process gets ErrInUse.
func Open(dir string, limit int64, most int) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	return open(dir, limit, most, false)
}

// OpenToRead opens the store of a relay that is not running, and changes nothing.
func OpenToRead(dir string) (*Store, error) {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return nil, fmt.Errorf("undelivered: no store: %w", err)
	}
	return open(dir, 0, 0, true)
}

func open(dir string, limit int64, most int, readOnly bool) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := boltfile.Open(path, boltfile.Options{ReadOnly: readOnly, NoSync: true})
	switch {
	case errors.Is(err, boltfile.ErrInUse):
		return nil, fmt.Errorf("undelivered: %s: %w", path, ErrInUse)
	case err != nil:
		return nil, fmt.Errorf("undelivered: %s: %w", path, err)
	}
	db.AllocSize = growthSize
	s := &Store{db: db, path: path, maxBytes: limit, maxMessages: most}
	if err := s.prepare(readOnly); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("undelivered: %s: %w", path, err)
	}
	return s, nil
}

// prepare checks the version, and makes the buckets that a new file or one of an earlier version lacks.
func (s *Store) prepare(readOnly bool) error {
	older := false
	check := func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			return errNoRecord
		}
		v := meta.Get(versionKey)
		if len(v) != 4 {
			return fmt.Errorf("its version: %w", ErrDamaged)
		}
		if n := binary.BigEndian.Uint32(v); n > storeVersion {
			return fmt.Errorf("%w: %d, this program knows %d", ErrNewer, n, storeVersion)
		} else {
			older = n < storeVersion
		}
		return nil
	}
	if err := s.db.View(check); err != nil && !errors.Is(err, errNoRecord) || err == nil && !older || readOnly {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return errors.Join(tx.Bucket(metaBucket).Put(storeIDKey, newStoreID()),
			tx.Bucket(metaBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, storeVersion)))
	})
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Size is the file's size in bytes.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// recordKey is a record's key.
func recordKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// addChecksum puts a checksum before a value.
func addChecksum(v []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, len(v)+4), boltfile.Sum(v)), v...)
}

// verifyChecksum checks a value and gives it without its checksum. It is valid within its transaction only.
func verifyChecksum(v []byte) ([]byte, error) {
	if len(v) < 4 || boltfile.Sum(v[4:]) != binary.BigEndian.Uint32(v) {
		return nil, ErrDamaged
	}
	return v[4:], nil
}

// Put keeps messages. One whose id is there already changes nothing: after a crash the journal hands it over again.
// Where there is no room for all, none is kept, and the error is ErrFull.
func (s *Store) Put(messages []Kept) error {
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

// putMessage keeps one message.
func (s *Store) putMessage(tx *bbolt.Tx, t *Totals, m *Kept) error {
	ids := tx.Bucket(idsBucket)
	for _, l := range m.Lives {
		k := ids.Get([]byte(l.ID))
		if k == nil {
			continue
		}
		// One that was refused, and came again under its old id: now it was taken on.
		old, err := readRecord(tx.Bucket(recordsBucket), k)
		if err != nil || !old.neverAccepted() || m.neverAccepted() {
			return nil
		}
		if err := s.deleteRecord(tx, t, append([]byte{}, k...), old); err != nil {
			return err
		}
	}
	if s.maxMessages > 0 && t.Messages >= s.maxMessages || s.maxBytes > 0 && s.bytesUsed(tx)+int64(len(m.Body)) > s.maxBytes {
		return ErrFull
	}
	records := tx.Bucket(recordsBucket)
	n, err := records.NextSequence()
	if err != nil {
		return err
	}
	m.Version, m.BodySize = Version, len(m.Body)
	if err := writeRecord(records, n, &m.Record); err != nil {
		return err
	}
	if err := tx.Bucket(bodiesBucket).Put(recordKey(n), addChecksum(m.Body)); err != nil {
		return err
	}
	for _, l := range m.Lives {
		if err := ids.Put([]byte(l.ID), recordKey(n)); err != nil {
			return err
		}
	}
	if err := updateDue(tx, m.Partner, n, time.Time{}, m.Due); err != nil {
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

// bytesUsed is how much of the file is in use: what was removed leaves pages that are used again.
func (s *Store) bytesUsed(tx *bbolt.Tx) int64 {
	st := s.db.Stats()
	return tx.Size() - int64(st.FreePageN+st.PendingPageN)*int64(s.db.Info().PageSize)
}

func writeRecord(b *bbolt.Bucket, n uint64, r *Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return b.Put(recordKey(n), addChecksum(raw))
}

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

// update runs a transaction.
func (s *Store) update(do func(tx *bbolt.Tx) error) error {
	if err := s.db.Update(do); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

func (s *Store) view(do func(tx *bbolt.Tx) error) error {
	if err := s.db.View(do); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// findKey gives the key of a message by the id of any of its lives.
func findKey(tx *bbolt.Tx, id string) ([]byte, error) {
	k := tx.Bucket(idsBucket).Get([]byte(id))
	if k == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, id)
	}
	return k, nil
}

// Get gives a message by the id of any of its lives.
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
		records, ids := tx.Bucket(recordsBucket), tx.Bucket(idsBucket)
		r, err := readRecord(records, k)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		was, wasDue, lives := r.State, r.Due, len(r.Lives)
		due, err := do(r)
		if err != nil {
			return err
		}
		r.Due = due
		n := binary.BigEndian.Uint64(k)
		if err := writeRecord(records, n, r); err != nil {
			return err
		}
		for _, l := range r.Lives[min(lives, len(r.Lives)):] {
			if err := ids.Put([]byte(l.ID), recordKey(n)); err != nil {
				return err
			}
		}
		if err := updateDue(tx, r.Partner, n, wasDue, due); err != nil {
			return err
		}
		if was == r.State {
			return nil
		}
		if err := s.updateSubject(tx, r, n, !was.Ended(), !r.State.Ended()); err != nil {
			return err
		}
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		t.count(was, -1)
		t.count(r.State, 1)
		return writeTotals(tx, t)
	})
}

// dueKey is when to look at a record again. The partner comes first: the many of one that is down are not to stand
// before the few of another.
func dueKey(partner int, at time.Time, n uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(partner))
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, uint64(at.UnixMilli())), n)
}

func updateDue(tx *bbolt.Tx, partner int, n uint64, from, to time.Time) error {
	b := tx.Bucket(dueBucket)
	if !from.IsZero() {
		if err := b.Delete(dueKey(partner, from, n)); err != nil {
			return err
		}
	}
	if to.IsZero() {
		return nil
	}
	return b.Put(dueKey(partner, to, n), nil)
}

// Due gives messages that are to be looked at by a time: of each partner the first so many as most says for it.
func (s *Store) Due(at time.Time, most func(partner int) int) (due []*Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		c, records := tx.Bucket(dueBucket).Cursor(), tx.Bucket(recordsBucket)
		for k, _ := c.First(); k != nil; {
			partner := binary.BigEndian.Uint32(k)
			left := most(int(partner))
			for ; k != nil && left > 0 && binary.BigEndian.Uint32(k) == partner; k, _ = c.Next() {
				if time.UnixMilli(int64(binary.BigEndian.Uint64(k[4:]))).After(at) {
					break
				}
				r, err := readRecord(records, k[12:])
				if err != nil {
					continue // verify tells of it
				}
				due = append(due, r)
				left--
			}
			if partner == math.MaxUint32 {
				return nil
			}
			k, _ = c.Seek(binary.BigEndian.AppendUint32(nil, partner+1))
		}
		return nil
	})
	return due, err
}

// Page gives up to so many messages that pass a filter, from a number on, and the number to go on from; 0 at the end.
// What is damaged is passed over and counted. It looks at so many at most, so that a filter that few pass does not
// hold up others.
func (s *Store) Page(from uint64, most, look int, pass func(r *Record) bool) (page []*Record, next uint64, damaged int, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		c := records.Cursor()
		for k, _ := c.Seek(recordKey(from)); k != nil; k, _ = c.Next() {
			n := binary.BigEndian.Uint64(k)
			if len(page) == most || look == 0 {
				next = n
				return nil
			}
			look--
			r, err := readRecord(records, k)
			if err != nil {
				damaged++
				continue
			}
			if pass == nil || pass(r) {
				page = append(page, r)
			}
		}
		return nil
	})
	return page, next, damaged, err
}

// Slice gives up to so many records from a number on, and the number behind the last one that was looked at. What is
// damaged is passed over.
func (s *Store) Slice(from uint64, most int) (list []*Record, to uint64, err error) {
	to = from
	err = s.view(func(tx *bbolt.Tx) error {
		records := tx.Bucket(recordsBucket)
		c := records.Cursor()
		for k, _ := c.Seek(recordKey(from)); k != nil && len(list) < most; k, _ = c.Next() {
			to = binary.BigEndian.Uint64(k) + 1
			if r, err := readRecord(records, k); err == nil {
				list = append(list, r)
			}
		}
		return nil
	})
	return list, to, err
}

// Remove takes messages that leave by a bound out of the store, and counts them by class and tenant.
func (s *Store) Remove(ids []string) error {
	return s.update(func(tx *bbolt.Tx) error {
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		for _, id := range ids {
			k, err := findKey(tx, id)
			if errors.Is(err, ErrUnknown) {
				continue
			}
			if err != nil {
				return err
			}
			if err := s.removeCounted(tx, t, append([]byte{}, k...)); err != nil {
				return err
			}
		}
		return writeTotals(tx, t)
	})
}

func (s *Store) removeCounted(tx *bbolt.Tx, t *Totals, k []byte) error {
	r, err := readRecord(tx.Bucket(recordsBucket), k)
	if err != nil {
		return err
	}
	if t.Left == nil {
		t.Left = map[string]int{}
	}
	t.Left[r.Class+" of "+r.Tenant]++
	return s.deleteRecord(tx, t, k, r)
}

// deleteRecord takes a record out.
func (s *Store) deleteRecord(tx *bbolt.Tx, t *Totals, k []byte, r *Record) error {
	if err := s.updateSubject(tx, r, binary.BigEndian.Uint64(k), !r.State.Ended(), false); err != nil {
		return err
	}
	if err := updateDue(tx, r.Partner, binary.BigEndian.Uint64(k), r.Due, time.Time{}); err != nil {
		return err
	}
	for _, l := range r.Lives {
		if err := tx.Bucket(idsBucket).Delete([]byte(l.ID)); err != nil {
			return err
		}
	}
	if err := errors.Join(tx.Bucket(recordsBucket).Delete(k), tx.Bucket(bodiesBucket).Delete(k)); err != nil {
		return err
	}
	t.count(r.State, -1)
	t.Messages--
	t.Bytes -= int64(r.BodySize)
	return changeGroup(tx, r.Class, r.Tenant, -1, -int64(r.BodySize))
}

// RulesAre notes which rules are used, and tells whether they differ from those that were used last.
func (s *Store) RulesAre(digest []byte) (changed bool, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		changed = !bytes.Equal(tx.Bucket(metaBucket).Get(rulesKey), digest)
		return tx.Bucket(metaBucket).Put(rulesKey, digest)
	})
	return changed, err
}

// Unkept lists by id what could not be kept, with the reason.
func (s *Store) Unkept(ids []string, why string, at time.Time) error {
	return s.update(func(tx *bbolt.Tx) error {
		t, err := readTotals(tx)
		if err != nil {
			return err
		}
		b := tx.Bucket(droppedBucket)
		for _, id := range ids {
			if b.Get([]byte(id)) != nil {
				continue
			}
			if err := b.Put([]byte(id), []byte(at.UTC().Format(time.RFC3339)+" "+why)); err != nil {
				return err
			}
			t.Unkept++
		}
		return writeTotals(tx, t)
	})
}

// UnkeptIDs lists what could not be kept.
func (s *Store) UnkeptIDs() (ids []string, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		return tx.Bucket(droppedBucket).ForEach(func(k, _ []byte) error {
			ids = append(ids, string(k))
			return nil
		})
	})
	return ids, err
}
