// Package boltfile opens bbolt files that may be damaged. bbolt panics on a page that it can't make sense of, and
// reads a file that was cut short through memory that is not there; both are errors here, and never a process's end.
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
)

// openWithin is how long another process may hold the file: one that just ends is waited for.
const openWithin = 300 * time.Millisecond

// The errors that callers tell apart.
var (
	ErrDamaged = errors.New("damaged")
	ErrInUse   = errors.New("in use by another process")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum is the checksum of what a record holds: CRC-32C.
func Sum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// File is an open file. Its transactions give ErrDamaged where bbolt panics.
type File struct{ *bbolt.DB }

// Options says how a file is opened.
type Options struct {
	ReadOnly bool
	NoSync   bool // what was written outlasts the process, and not the machine
}

// Open opens a file, which it makes if need be.
func Open(path string, o Options) (f *File, err error) {
	var file *os.File
	defer func() {
		if f == nil && err != nil && file != nil {
			// The file is still mapped into memory, so that its lock outlives it.
			_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN)
			_ = file.Close()
		}
	}()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer Guard(&err)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{
		Timeout: openWithin, NoSync: o.NoSync, NoGrowSync: o.NoSync,
		FreelistType: bbolt.FreelistMapType, ReadOnly: o.ReadOnly,
		OpenFile: func(name string, flag int, mode os.FileMode) (f *os.File, err error) {
			file, err = os.OpenFile(name, flag, mode)
			return file, err
		},
	})
	switch {
	case errors.Is(err, bbolt.ErrTimeout):
		return nil, ErrInUse
	case err != nil:
		return nil, err
	}
	return &File{db}, nil
}

// Update runs a transaction that writes.
func (f *File) Update(do func(tx *bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer Guard(&err)
	return f.DB.Update(do)
}

// View runs a transaction that reads.
func (f *File) View(do func(tx *bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer Guard(&err)
	return f.DB.View(do)
}

// Guard, deferred, turns a panic into ErrDamaged.
func Guard(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}

// The file's two meta pages, as bbolt v1 lays them out: behind a page's head (16 bytes) magic, version, page size and
// flags (4 bytes each), the root (16), the free list (8), the end of the file (8), the transaction's number (8), and
// the checksum of all these (8, FNV-1a), all little endian.
const (
	pageHead  = 16
	metaSize  = 56
	metaMagic = 0xED0CDAED
)

// Whole checks that both meta pages can be read. bbolt takes the older one where the newer can't be: a file that has
// lost its last transaction then looks like one that never had it, which matters where that transaction was answered
// for. A page that was torn while the machine lost its power can't be told from one that was damaged later.
func Whole(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	size := int64(0)
	for page := range int64(2) {
		raw := make([]byte, pageHead+metaSize+8)
		if _, err := f.ReadAt(raw, page*size); err != nil {
			return fmt.Errorf("meta page %d: %w", page, err)
		}
		meta := raw[pageHead:]
		sum := fnv.New64a()
		_, _ = sum.Write(meta[:metaSize])
		if binary.LittleEndian.Uint32(meta) != metaMagic || binary.LittleEndian.Uint64(meta[metaSize:]) != sum.Sum64() {
			return fmt.Errorf("meta page %d: %w", page, ErrDamaged)
		}
		size = int64(binary.LittleEndian.Uint32(meta[8:]))
		if pages := int64(binary.LittleEndian.Uint64(meta[40:])); pages > info.Size()/max(size, 1) {
			return fmt.Errorf("%w: cut short: %d bytes, of %d pages of %d", ErrDamaged, info.Size(), pages, size)
		}
	}
	return nil
}
