package api

import (
	"errors"
	"fmt"
)

// Errors that callers distinguish. After ErrNoLeader, and after any error that is not listed here,
// the outcome of a command is unknown.
var (
	ErrNotLeader = errors.New("the member is not the leader")
	ErrRejected  = errors.New("request rejected") // nothing was done, and a retry does not help
	// ErrNoLeader is returned when no leader answered before the context ended, or the list of
	// members is empty.
	ErrNoLeader = errors.New("no leader, or the leader can't be reached")
	// ErrReplyTooLarge is returned for a reply that exceeds the caller's bounds.
	ErrReplyTooLarge = errors.New("the reply is too large")
)

// StatusError reports a response with a status that none of the other errors represents.
type StatusError struct {
	Address string
	Status  int
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Address, e.Status, e.Message)
}

// CallError reports a call that failed without a response. Its text is the text of the cause, which
// contains the address.
type CallError struct {
	Address string
	Err     error
}

func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
