package policy

import "time"

// Action is an instruction of a Dispatcher to its caller. The set is closed: all actions are
// declared in this file.
type Action interface{ action() }

// Send starts the next attempt of a message. With a Timeout of 0 the attempt stays in flight until
// the message's deadline. If WriteWithin is not 0, the attempt's last byte must be sent within that
// time, because the destination may forget the idempotency key of an earlier attempt afterwards. An
// attempt that cannot be written in time ends as NotSent.
type Send struct {
	ID          string
	Endpoint    string
	Timeout     time.Duration
	WriteWithin time.Duration
}

// Reject ends a message that was not delivered. The client may safely submit it again after
// RetryAfter.
type Reject struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a message with a failure, which does not tell the client whether the message executed.
type Fail struct{ ID string }

// CancelAttempt cancels an attempt that is in flight.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// CancelBeforeSend cancels an attempt if no byte of it has been sent yet, for example while its
// connection is being established. It is emitted when the destination answers another call with
// Retry-After, when the endpoint starts draining or is removed, and when new settings make the terms
// of a repeat stricter. A cancelled attempt ends as NotSent; an attempt that has sent a byte
// continues.
type CancelBeforeSend struct {
	ID      string
	Attempt int
}

// CloseIdleConns closes the idle connections of this relay to an endpoint.
type CloseIdleConns struct{ Endpoint string }

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct{ After time.Duration }

// WatchEndpoints requests a watch of the endpoint list.
type WatchEndpoints struct{}

// PersistHealth records for later processes of this relay that an endpoint became unhealthy, or
// that it recovered, and when.
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
