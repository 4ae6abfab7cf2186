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

// The store is one bbolt file with these buckets and the buckets of subject_buckets.go:
//
//	meta      "version" -> 4 bytes; "totals" -> Totals as JSON; "rules" -> digest of the rules used last; "id" -> the store's id
//	records   number (8 bytes, big endian, increasing) -> checksum (4 bytes, CRC-32C of the rest) + Record as JSON
//	bodies    number -> checksum + body
//	ids       id of any incarnation -> number
//	due       destination (4 bytes) + time (8 bytes, Unix milliseconds) + number -> empty: when the record is due for a decision
//	groups    class 0x00 tenant -> Group as JSON
//	unkept    id of a message that could not be stored -> time and reason
//
// Writes are not synced to the disk: like the journal's records, they survive a SIGKILL of the process, but not a crash of
// the machine.
const (
	fileName     = "undelivered.db"
	storeVersion = 2 // version 1 had no subjects
	versionSize  = 4 // bytes
	// growthSize is the step in which the file grows, in bytes. It is small so that the file exceeds a small quota by little.
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

// Store is a dead-letter store in a folder. It is safe for concurrent use.
type Store struct {
	db          *boltfile.File
	path        string
	maxBytes    int64 // limit of the file's size; 0: unlimited
	maxMessages int   // 0: unlimited
	resident    residentPages

	section atomic.Pointer[Section] // defines how subjects are read; nil before TrackSubjects
}

// Open opens the store in a folder. It creates the folder and the store if they do not exist. A limit of 0 means no limit.
// If another process has the store open, the error is ErrInUse.
func Open(dir string, maxBytes int64, maxMessages int) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	return open(dir, maxBytes, maxMessages, false)
}

// OpenToRead opens the store of a stopped relay read-only. It fails if the folder has no store.
func OpenToRead(dir string) (*Store, error) {
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		return nil, fmt.Errorf("undelivered: no store: %w", err)
	}
	return open(dir, 0, 0, true)
}

// open opens a store. It creates or upgrades the file unless readOnly is set.
func open(dir string, maxBytes int64, maxMessages int, readOnly bool) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := boltfile.Open(path, boltfile.Options{ReadOnly: readOnly, NoSync: true})
	switch {
	case errors.Is(err, boltfile.ErrInUse):
		return nil, fmt.Errorf("undelivered: %s: %w", path, ErrInUse)
	case err != nil:
		return nil, fmt.Errorf("undelivered: %s: %w", path, err)
	}
	db.AllocSize = growthSize
	s := &Store{db: db, path: path, maxBytes: maxBytes, maxMessages: maxMessages}
	if err := s.prepare(readOnly); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("undelivered: %s: %w", path, err)
	}
	return s, nil
}

// prepare checks the version of the file. Unless the store is read-only, it upgrades a new file or a file of an earlier
// version.
func (s *Store) prepare(readOnly bool) error {
	version := 0
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		version, err = readVersion(tx)
		return err
	})
	switch {
	case errors.Is(err, errNoVersion) && !readOnly: // a new file
	case err != nil || readOnly || version == storeVersion:
		return err
	}
	return s.db.Update(upgrade)
}

// readVersion returns the version of a store's format, or errNoVersion for a new file.
func readVersion(tx *bbolt.Tx) (version int, err error) {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return 0, errNoVersion
	}
	raw := meta.Get(versionKey)
	if len(raw) != versionSize {
		return 0, fmt.Errorf("version of the store: %w", ErrDamaged)
	}
	version = int(binary.BigEndian.Uint32(raw))
	if version > storeVersion {
		return 0, fmt.Errorf("%w: version %d, this program supports up to %d", ErrNewer, version, storeVersion)
	}
	return version, nil
}

// upgrade creates the buckets that a new file or a file of an earlier version lacks, and gives the store a new id, because
// an earlier version of the program did not record which messages were delivered.
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

// Size returns the size of the file in bytes, or 0 if the size can't be read.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// bytesUsed returns how many bytes of the file are in use. It leaves out free pages, which bbolt reuses.
func (s *Store) bytesUsed(tx *bbolt.Tx) int64 {
	stats := s.db.Stats()
	return tx.Size() - int64(stats.FreePageN+stats.PendingPageN)*int64(s.db.Info().PageSize)
}

// update runs a read-write transaction.
func (s *Store) update(run func(tx *bbolt.Tx) error) error {
	if err := s.db.Update(s.thenRelease(run)); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// view runs a read-only transaction.
func (s *Store) view(run func(tx *bbolt.Tx) error) error {
	if err := s.db.View(s.thenRelease(run)); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// thenRelease returns a transaction that releases pages at its end, if it is time to.
func (s *Store) thenRelease(run func(tx *bbolt.Tx) error) func(tx *bbolt.Tx) error {
	return func(tx *bbolt.Tx) error {
		err := run(tx)
		s.resident.afterTransaction(tx)
		return err
	}
}

// SetRules stores the digest of the rules in use, and reports whether it differs from the digest stored before.
func (s *Store) SetRules(digest []byte) (changed bool, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		changed = !bytes.Equal(tx.Bucket(metaBucket).Get(rulesKey), digest)
		return tx.Bucket(metaBucket).Put(rulesKey, digest)
	})
	return changed, err
}

// ID returns the random id that distinguishes this store from every other.
func (s *Store) ID() (id string, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		id = string(tx.Bucket(metaBucket).Get(storeIDKey))
		return nil
	})
	return id, err
}

// newStoreID returns a new random id.
func newStoreID() []byte {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return []byte(hex.EncodeToString(b[:]))
}
