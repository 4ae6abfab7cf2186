package http1

// CloseReason is why the server closes a connection. Its values are written to the trace.
type CloseReason string

// The reasons.
const (
	// CloseEvicted: the connection is closed to admit another one, to free its descriptor, or at shutdown.
	CloseEvicted CloseReason = "room for others"
	// CloseSurplus: the connection is closed unread, since there are as many connections as the server allows.
	CloseSurplus CloseReason = "too many connections"
	// CloseForMemory: a stalled connection is closed so that its memory serves other requests.
	CloseForMemory CloseReason = "memory for others"
	// CloseTooManyIdle: there are more idle connections than the server allows.
	CloseTooManyIdle CloseReason = "clients keep more than they use"
	// CloseDraining: the relay is in standby, and clients should connect to another relay.
	CloseDraining CloseReason = "clients are sent away"
	// CloseNoRequest: no request came within the timeout, or the client closed the connection.
	CloseNoRequest CloseReason = "no request in time, or its client has left"
	// CloseClientGone: the client disconnected before its request was answered.
	CloseClientGone CloseReason = "nobody waits for an answer"
	// CloseWriteFailed: the response could not be written.
	CloseWriteFailed CloseReason = "the answer can't be written"
	// CloseLastResponse: the response announced that the connection is closed after it.
	CloseLastResponse CloseReason = "the last answer"
	// CloseConcurrent: another goroutine has already closed the connection. This reason is not in
	// the trace, since the first close reports its own.
	CloseConcurrent CloseReason = "closed meanwhile"
)
