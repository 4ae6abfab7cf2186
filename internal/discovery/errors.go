package discovery

import (
	"errors"
	"fmt"
)

// The errors that end a watch.
var (
	// ErrSilentWatch: no byte arrived for maxSilence. A broken link does not close the connection.
	ErrSilentWatch = errors.New("no data received within the silence timeout")
	// ErrStaleList: a list has a lower sequence number than the one before it.
	ErrStaleList = errors.New("received list is older than the current one")
	// ErrListTooLarge: a list is larger than maxListSize.
	ErrListTooLarge = fmt.Errorf("list larger than %d bytes", maxListSize)
	// ErrTooManyEndpoints: a list has more endpoints than the relay has memory for.
	ErrTooManyEndpoints = errors.New("list has more endpoints than this relay may hold")
	// ErrWatchClosed: discovery ended the response.
	ErrWatchClosed = errors.New("discovery closed the watch")
)

// StatusError is the error for a response of discovery with a status other than 200.
type StatusError struct {
	Status string // such as "503 Service Unavailable"
}

func (e *StatusError) Error() string { return "discovery responded with status " + e.Status }

// UnreadableListError is the error for a list that cannot be decoded. Later changes do not repeat the
// content of that list, so the whole list has to be requested.
type UnreadableListError struct{ Err error }

func (e *UnreadableListError) Error() string { return "unreadable list: " + e.Err.Error() }

func (e *UnreadableListError) Unwrap() error { return e.Err }
