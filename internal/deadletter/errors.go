package deadletter

import (
	"errors"

	"frostlink/internal/boltfile"
)

// The errors by which callers branch.
var (
	ErrInUse   = errors.New("the store is in use by another process")
	ErrUnknown = errors.New("no such message in the store")
	ErrFull    = errors.New("the store is full")
	ErrDamaged = boltfile.ErrDamaged
	ErrNewer   = errors.New("the store was written by a newer version")

	// errNoRecord is a file that has no version yet: it is new.
	errNoRecord = errors.New("no record")
)
