package boltfile

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is how long Open waits for another process to close the file. It allows for a process that is just ending.
const lockTimeout = 300 * time.Millisecond

// File is an open file. Its transactions return ErrDamaged if bbolt panics.
type File struct{ *bbolt.DB }

// Options defines how a file is opened.
type Options struct {
	ReadOnly bool
	// NoSync omits the sync of each write: written data survives a crash of the process, but not a crash of the machine.
	NoSync bool
}

// Open opens a file, and creates it if it does not exist. It returns ErrInUse if another process has the file open.
func Open(path string, o Options) (f *File, err error) {
	var file *os.File
	defer func() {
		if f == nil && err != nil && file != nil {
			unlock(file)
		}
	}()
	defer panicOnFault()()
	defer Guard(&err)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{
		Timeout:      lockTimeout,
		NoSync:       o.NoSync,
		NoGrowSync:   o.NoSync,
		FreelistType: bbolt.FreelistMapType,
		ReadOnly:     o.ReadOnly,
		OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
			var err error
			file, err = os.OpenFile(name, flag, mode)
			return file, err //nolint:wrapcheck // bbolt returns it to the code below, which wraps it
		},
	})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, ErrInUse
	case err != nil:
		return nil, fmt.Errorf("open: %w", err)
	}
	return &File{db}, nil
}

// unlock unlocks and closes a file that could not be opened as a database. bbolt leaves such a file mapped into memory,
// which also keeps its lock.
func unlock(file *os.File) {
	_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN) // Open returns its own error instead
	_ = file.Close()
}

// Update runs a read-write transaction.
func (f *File) Update(transact func(tx *bbolt.Tx) error) (err error) {
	defer panicOnFault()()
	defer Guard(&err)
	return f.DB.Update(transact) //nolint:wrapcheck // mostly the error of transact, which says what failed
}

// View runs a read-only transaction.
func (f *File) View(transact func(tx *bbolt.Tx) error) (err error) {
	defer panicOnFault()()
	defer Guard(&err)
	return f.DB.View(transact) //nolint:wrapcheck // mostly the error of transact, which says what failed
}
