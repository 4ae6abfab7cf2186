package disk

import (
	"errors"
	"fmt"
)

var (
	errMissing  = errors.New("missing")
	errChecksum = errors.New("checksum mismatch")
)

// VersionError reports a folder whose format version this program does not read.
type VersionError struct{ Version uint32 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("version: %d; this program reads version %d", e.Version, formatVersion)
}

// EntryError reports a damaged or missing entry of the log.
type EntryError struct {
	Index uint64 // from the entry's key
	Err   error
}

func (e *EntryError) Error() string { return fmt.Sprintf("log: entry %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

func entryErrorf(index uint64, format string, args ...any) *EntryError {
	return &EntryError{Index: index, Err: fmt.Errorf(format, args...)}
}

// FolderError reports a file of the folder that can't be opened, created or replaced. Its text is
// the text of the cause, which names the file.
type FolderError struct{ Err error }

func (e *FolderError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }
