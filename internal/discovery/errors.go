package discovery

import (
	"errors"
	"fmt"
)

// Why watches end.
var (
	// ErrSilentWatch: no byte came for maxSilence. A cut link ends no connection by itself.
	ErrSilentWatch = errors.New("no byte came for too long")
	// ErrStaleList: a list came whose sequence number is lower than that of the last one.
	ErrStaleList = errors.New("a list older than the one that is held")
	// ErrListTooLarge: a list is larger than maxListSize.
	ErrListTooLarge = fmt.Errorf("a list of over %d bytes", maxListSize)
	// ErrWatchClosed: discovery ended the response.
	ErrWatchClosed = errors.New("end of the answer")
)

// StatusError is a response of discovery that is no watch.
type StatusError struct {
	Status string // such as "503 Service Unavailable"
}

func (e *StatusError) Error() string { return "discovery answered " + e.Status }

// UnreadableListError is a list that cannot be read. What it held is lost to the changes that
// follow.
type UnreadableListError struct{ Err error }

func (e *UnreadableListError) Error() string { return "unreadable list: " + e.Err.Error() }

func (e *UnreadableListError) Unwrap() error { return e.Err }
