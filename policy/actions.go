package policy

import "time"

// Action is something that a dispatcher wants done. The set is closed: all actions are in this
// file.
type Action interface{ action() }

// Send starts the next attempt of a message. With Timeout 0 it stays in flight until the message's
// deadline. Where WriteWithin is not 0, its last byte may leave within that time only: later the
// destination may have forgotten the idempotency key of an earlier attempt. An attempt that can't
// is NotSent.
type Send struct {
	ID          string
	Endpoint    string
	Timeout     time.Duration
	WriteWithin time.Duration
}

// Reject ends a message undelivered; the client may safely submit it again after RetryAfter.
type Reject struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a message; whether it executed is unknown to the client.
type Fail struct{ ID string }

// CancelAttempt ends the wait for an attempt's outcome.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// CancelBeforeSend cancels an attempt if nothing of it has left yet, as while its connection is
// made: its destination asked not to be called, or its endpoint drains or was removed. The attempt
// ends as NotSent then; one that has left goes on.
type CancelBeforeSend struct {
	ID      string
	Attempt int
}

// CloseIdleConns closes the idle connections of this relay to an endpoint.
type CloseIdleConns struct{ Endpoint string }

// SetTimer asks for a TimerFired.
type SetTimer struct{ After time.Duration }

// WatchEndpoints asks for changes of the endpoint list.
type WatchEndpoints struct{}

// PersistHealth is what a later process of this relay has to know of an endpoint: that it is
// unhealthy, or when it recovered.
type PersistHealth struct {
	Endpoint  string
	Unhealthy bool
	At        time.Duration
}

func (Send) action()             {}
func (Reject) action()           {}
func (Fail) action()             {}
func (CancelAttempt) action()    {}
func (CancelBeforeSend) action() {}
func (CloseIdleConns) action()   {}
func (SetTimer) action()         {}
func (WatchEndpoints) action()   {}
func (PersistHealth) action()    {}
