package deadletter

import (
	"errors"

	"frostlink/internal/boltfile"
)

// The errors that callers test for.
var (
	ErrInUse   = errors.New("the store is in use by another process")
	ErrUnknown = errors.New("no such message in the store")
	ErrFull    = errors.New("the store is full")
	ErrDamaged = boltfile.ErrDamaged
	ErrNewer   = errors.New("the store was written by a newer version")

	// errNoVersion is the error for a file that has no version, because it was just created.
	errNoVersion = errors.New("the store has no version")
)
