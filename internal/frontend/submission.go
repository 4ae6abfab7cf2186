package frontend

import (
	"time"

	"frostlink/internal/journal"
)

// Submission is a request that a client submits.
type Submission struct {
	Entry      *journal.Entry // its times are unset: the relay sets them on its own timeline
	ReceivedAt time.Time      // when the request's head had arrived, as far as the kernel tells, or was read
	TimeLeft   time.Duration  // from ReceivedAt until the request's deadline
	Response   chan Response  // buffered, for one response
	// ClientRetry is the value of the Client-Retry header, in which a client describes its earlier
	// submission of the same request; empty without the header. It is only written to the trace.
	ClientRetry string
	// Quiet reports whether the client has sent nothing after the request, and whether the client
	// is still connected.
	Quiet func() (quiet, connected bool)
}

// Response is the relay's response to a client.
type Response struct {
	Status     int           // 0: the client has disconnected, and no response is written
	RetryAfter time.Duration // value of the Retry-After header; 0: the response has no such header
	Close      bool          // this is the last response on the connection
}

// RejectMalformed returns the response to a request that violates the protocol. The response closes
// the connection, since the bytes that follow may be a part of the malformed request.
func RejectMalformed(status int) Response { return Response{Status: status, Close: true} }
