package policy

import (
	"time"
)

// Action is something that a dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message; Timeout 0 leaves it out until the deadline. Where Within is not 0, its
	// last byte may leave within that time only: later, an earlier attempt's effect is not remembered any more. One that
	// can't is Ignored.
	Send struct {
		ID          string
		Endpoint    string
		Timeout     time.Duration
		WriteWithin time.Duration
	}
	// Reject ends a message undelivered; the client may safely come again.
	Reject struct {
		ID         string
		RetryAfter time.Duration
	}
	// Fail ends a message; the client is told nothing of its effect.
	Fail struct{ ID string }
	// CancelAttempt ends the wait on an attempt.
	CancelAttempt struct {
		ID      string
		Attempt int
	}
	// CancelBeforeSend takes an attempt back if nothing of it has left, as while its connection is made: its destination has told to
	// wait, or its endpoint drains or is gone. It ends as Ignored then; one that has left goes on.
	CancelBeforeSend struct {
		ID      string
		Attempt int
	}
	// CloseIdleConns closes the idle connections of this relay to an endpoint.
	CloseIdleConns struct{ Endpoint string }
	// SetTimer asks for Woken.
	SetTimer struct{ After time.Duration }
	// WatchEndpoints asks for changes of the list.
	WatchEndpoints struct{}
	// PersistHealth is what a later process of this relay has to know of an endpoint: that it is out, or when
	// it came back.
	PersistHealth struct {
		Endpoint  string
		Unhealthy bool
		At        time.Duration
	}
)

func (Send) action()             {}
func (Reject) action()           {}
func (Fail) action()             {}
func (CancelAttempt) action()    {}
func (CancelBeforeSend) action() {}
func (CloseIdleConns) action()   {}
func (SetTimer) action()         {}
func (WatchEndpoints) action()   {}
func (PersistHealth) action()    {}
