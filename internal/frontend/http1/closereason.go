package http1

// CloseReason is why the server closes a connection. Its values are in the trace.
type CloseReason string

// The reasons.
const (
	// CloseForRoom: it is evicted for another connection, or at shutdown.
	CloseForRoom CloseReason = "room for others"
	// CloseTooManyIdle: there are more idle connections than the server allows.
	CloseTooManyIdle CloseReason = "clients keep more than they use"
	// CloseDraining: the relay is in standby, and clients are to connect elsewhere.
	CloseDraining CloseReason = "clients are sent away"
	// CloseNoRequest: no request came in time, or the client has closed.
	CloseNoRequest CloseReason = "no request in time, or its client has left"
	// CloseClientGone: the client does not await a response any more.
	CloseClientGone CloseReason = "nobody waits for an answer"
	// CloseWriteFailed: the response could not be written.
	CloseWriteFailed CloseReason = "the answer can't be written"
	// CloseLastResponse: the response said that it is the last one.
	CloseLastResponse CloseReason = "the last answer"
	// CloseConcurrent: another goroutine has closed it. No trace shows this one.
	CloseConcurrent CloseReason = "closed meanwhile"
)
