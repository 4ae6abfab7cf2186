package deadletter

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"go.etcd.io/bbolt"

	"frostlink/internal/boltfile"
)

// The store is one bbolt file with these buckets, and those of subjects.go:
//
//	meta      "version" -> 4 bytes; "totals" -> Totals as JSON; "rules" -> a digest of the rules last used
//	records   number (8 bytes, big endian, rising) -> checksum (4 bytes, CRC-32C of the rest) + Record as JSON
//	bodies    number -> checksum + body
//	ids       id of any incarnation -> number
//	due       destination (4 bytes) + time (8 bytes, Unix milliseconds) + number -> nothing: when to look at a record again
//	groups    class 0x00 tenant -> Group as JSON
//	unkept    id -> why and when, of what could not be kept or left by a bound without an export
//
// Nothing is synced: what was written outlasts the process, also SIGKILL, as the journal's records do.
const (
	fileName     = "undelivered.db"
	storeVersion = 2 // 1: without subjects
	versionSize  = 4 // bytes
	// growthSize is by how much the file grows at once, in bytes: a small quota is not to be overshot by much.
	growthSize = 128 << 10
)

var (
	metaBucket, recordsBucket, bodiesBucket = []byte("meta"), []byte("records"), []byte("bodies")
	idsBucket, dueBucket, groupsBucket      = []byte("ids"), []byte("due"), []byte("groups")
	droppedBucket                           = []byte("unkept")
	buckets                                 = [][]byte{metaBucket, recordsBucket, bodiesBucket, idsBucket, dueBucket, groupsBucket, droppedBucket, newestBucket, insertionBucket, waitingBucket, epochsBucket}
	versionKey, totalsKey                   = []byte("version"), []byte("totals")
	rulesKey                                = []byte("rules")
)

// Store keeps undelivered messages in a folder. It is safe for concurrent use.
type Store struct {
	db          *boltfile.File
	path        string
	maxBytes    int64 // bytes of the file; 0: none
	maxMessages int   // messages; 0: any number

	section atomic.Pointer[Section] // how topics are known; nil where they are not
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

// prepare checks the version, and upgrades a new file or one of an earlier version, unless the store is read only.
func (s *Store) prepare(readOnly bool) error {
	version := 0
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		version, err = readVersion(tx)
		return err
	})
	switch {
	case errors.Is(err, errNoRecord) && !readOnly:
	case err != nil || readOnly || version == storeVersion:
		return err
	}
	return s.db.Update(upgrade)
}

// readVersion returns the version of a store's format, or errNoRecord for a new file.
func readVersion(tx *bbolt.Tx) (version int, err error) {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return 0, errNoRecord
	}
	raw := meta.Get(versionKey)
	if len(raw) != versionSize {
		return 0, fmt.Errorf("its version: %w", ErrDamaged)
	}
	version = int(binary.BigEndian.Uint32(raw))
	if version > storeVersion {
		return 0, fmt.Errorf("%w: %d, this program knows %d", ErrNewer, version, storeVersion)
	}
	return version, nil
}

// upgrade makes the buckets that a new file or one of an earlier version lacks, and gives the store a new name: what was
// delivered while an earlier program ran is not known.
func upgrade(tx *bbolt.Tx) error {
	for _, name := range buckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return fmt.Errorf("bucket %s: %w", name, err)
		}
	}
	return errors.Join(tx.Bucket(metaBucket).Put(storeIDKey, newStoreID()),
		tx.Bucket(metaBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, storeVersion)))
}

// Close closes the file.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// Size is the file's size in bytes.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// bytesUsed is how much of the file is in use: what was removed leaves pages that are used again.
func (s *Store) bytesUsed(tx *bbolt.Tx) int64 {
	st := s.db.Stats()
	return tx.Size() - int64(st.FreePageN+st.PendingPageN)*int64(s.db.Info().PageSize)
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

// SetRules notes which rules are used, and tells whether they differ from those that were used last.
func (s *Store) SetRules(digest []byte) (changed bool, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		changed = !bytes.Equal(tx.Bucket(metaBucket).Get(rulesKey), digest)
		return tx.Bucket(metaBucket).Put(rulesKey, digest)
	})
	return changed, err
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
