package disk

import (
	"errors"
	"fmt"
)

var (
	errMissing  = errors.New("missing")
	errChecksum = errors.New("its checksum is another")
)

// VersionError says that a folder's format is of a version that this program does not read.
type VersionError struct{ Version uint32 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("version: %d; this program reads version %d", e.Version, formatVersion)
}

// EntryError says what is wrong with an entry of the log.
type EntryError struct {
	Index uint64 // by its key
	Err   error
}

func (e *EntryError) Error() string { return fmt.Sprintf("log: entry %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

func entryErrorf(index uint64, format string, args ...any) *EntryError {
	return &EntryError{Index: index, Err: fmt.Errorf(format, args...)}
}

// FolderError says that a file of the folder can't be opened, created or replaced. Its text is the
// cause's, which names the file.
type FolderError struct{ Err error }

func (e *FolderError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }
