package api

import (
	"errors"
	"fmt"
)

// The errors that callers tell apart. With any other the outcome of a command is unknown.
var (
	ErrNotLeader = errors.New("the member does not lead")
	ErrRejected  = errors.New("refused") // nothing was done, and a retry does not help
	// ErrNoLeader says that no member was found to lead.
	ErrNoLeader = errors.New("no member leads, or none that leads can be reached")
)

// StatusError is an answer with a status that no other error stands for.
type StatusError struct {
	Address string
	Status  int
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Address, e.Status, e.Message)
}

// CallError says that a call has failed without an answer. Its text is the cause's, which names the
// address.
type CallError struct {
	Address string
	Err     error
}

func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
