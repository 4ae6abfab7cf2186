package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"frostlink/internal/boltfile"
	"frostlink/internal/coord/replica"
)

// The files of a folder.
const (
	fileName = "coord.db"
	nextName = "coord.db.next"
	lockName = "lock"
)

// Identity identifies the member to which a folder belongs. It does not change after the folder is
// created.
type Identity struct {
	Cluster       string   `json:"cluster"`
	ID            uint64   `json:"id"`
	Address       string   `json:"address"`         // listen address of the member
	Peers         []uint64 `json:"peers,omitempty"` // if the member joined an existing cluster: ids of the voters at that time
	PeerAddresses []string `json:"via,omitempty"`   // addresses of Peers, in the same order
}

// Store is a folder that is open for writing.
type Store struct {
	db   *boltfile.File
	path string
	lock *os.File
}

// Create creates the folder of a new member. It returns an error, and changes nothing, if the
// folder contains a member's data already.
func Create(dir string, id Identity, state replica.PersistentState) error {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: contains a member's data already", path)
	} else if !errors.Is(err, fs.ErrNotExist) {
		return &FolderError{Err: err}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return &FolderError{Err: err}
	}
	return replaceStore(dir, id, state)
}

// Open opens a member's folder and returns its contents. It first copies the contents into a new
// store: only values whose checksum is right are trusted, not bbolt's own pages.
func Open(dir string) (s *Store, id Identity, state replica.PersistentState, err error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, id, state, err
	}
	defer func() {
		if err != nil {
			_ = lock.Close()
		}
	}()
	if id, state, err = Read(dir); err != nil {
		return nil, id, state, err
	}
	if err = replaceStore(dir, id, state); err != nil {
		return nil, id, state, err
	}
	path := filepath.Join(dir, fileName)
	db, err := boltfile.Open(path, boltfile.Options{})
	if err != nil {
		return nil, id, state, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db, path, lock}, id, state, nil
}

// Save writes a batch. Once it returns without an error, the whole batch is durable.
func (s *Store) Save(b replica.WriteBatch) error {
	if err := s.db.Update(func(tx *bbolt.Tx) error { return writeBatch(tx, b) }); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// Close closes the store and unlocks the folder.
func (s *Store) Close() error { return errors.Join(s.db.Close(), s.lock.Close()) }

// lockFolder locks a folder against other processes until the returned file is closed.
func lockFolder(dir string) (*os.File, error) {
	if err := hasStore(dir); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &FolderError{Err: err}
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", dir, boltfile.ErrInUse)
	}
	return f, nil
}

// replaceStore writes a new store and renames it over the existing one, if any.
func replaceStore(dir string, id Identity, state replica.PersistentState) error {
	path, next := filepath.Join(dir, fileName), filepath.Join(dir, nextName)
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &FolderError{Err: err}
	}
	db, err := boltfile.Open(next, boltfile.Options{})
	if err != nil {
		return fmt.Errorf("%s: %w", next, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error { return writeStore(tx, id, state) })
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", next, err)
	}
	if err := os.Rename(next, path); err != nil {
		return &FolderError{Err: err}
	}
	return syncFolder(dir)
}

// writeStore writes the contents of a new store.
func writeStore(tx *bbolt.Tx, id Identity, state replica.PersistentState) error {
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return fmt.Errorf("buckets: %w", err)
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return fmt.Errorf("buckets: %w", err)
	}
	if err := putJSON(meta, identityKey, id); err != nil {
		return err
	}
	if err := writeBatch(tx, replica.WriteBatch{
		Incarnations: state.Incarnations, PeerIncarnations: state.PeerIncarnations, HardState: state.HardState,
		Snapshot: state.Snapshot, Entries: state.Entries,
	}); err != nil {
		return err
	}
	return put(meta, versionKey, binary.BigEndian.AppendUint32(nil, formatVersion))
}

// syncFolder makes the renaming of a file durable.
func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return &FolderError{Err: err}
	}
	return errors.Join(folder.Sync(), folder.Close())
}
