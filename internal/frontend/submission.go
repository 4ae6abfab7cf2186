package frontend

import (
	"time"

	"frostlink/internal/journal"
)

// Submission is a request that a client submits.
type Submission struct {
	Entry      *journal.Entry // without its times, which are of the relay's timeline
	ReceivedAt time.Time      // when this process had read its head
	TimeLeft   time.Duration  // from ReceivedAt until its deadline
	Response   chan Response  // buffered, for one response
	// ClientRetry is what the client says of an earlier submission of the request; empty if it says
	// nothing. It is for the trace alone.
	ClientRetry string
	// Quiet reports whether the client has sent nothing after the request, and whether it is still
	// connected.
	Quiet func() (quiet, there bool)
}

// Response is what a client is answered.
type Response struct {
	Status     int           // 0 where the client is gone and nothing is written
	RetryAfter time.Duration // when the client may submit again; 0 if it has no header for that
	Close      bool          // the connection takes no further request
}

// RejectMalformed returns the response to a request that breaks the protocol. It is the last on its
// connection, since what follows cannot be distinguished from a part of the malformed request.
func RejectMalformed(status int) Response { return Response{Status: status, Close: true} }
