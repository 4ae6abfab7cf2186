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

// lockTimeout is how long another process may have the file open: one that is about to end is waited
// for.
const lockTimeout = 300 * time.Millisecond

// File is an open file. Its transactions return ErrDamaged where bbolt panics.
type File struct{ *bbolt.DB }

// Options says how a file is opened.
type Options struct {
	ReadOnly bool
	// NoSync: what was written survives the process, but not a crash of the machine.
	NoSync bool
}

// Open opens a file, and creates it where there is none. It returns ErrInUse where another process has
// it open.
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
			return file, err //nolint:wrapcheck // for bbolt, and wrapped below
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

// unlock closes a file that could not be opened as a database. bbolt leaves it mapped into memory then,
// and with it its lock in place.
func unlock(file *os.File) {
	_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN) // the error before is the one that matters
	_ = file.Close()
}

// Update runs a read-write transaction.
func (f *File) Update(transact func(tx *bbolt.Tx) error) (err error) {
	defer panicOnFault()()
	defer Guard(&err)
	return f.DB.Update(transact) //nolint:wrapcheck // mostly transact's own error, which says what failed
}

// View runs a read-only transaction.
func (f *File) View(transact func(tx *bbolt.Tx) error) (err error) {
	defer panicOnFault()()
	defer Guard(&err)
	return f.DB.View(transact) //nolint:wrapcheck // mostly transact's own error, which says what failed
}
