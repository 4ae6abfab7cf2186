package frontend

import "fmt"

// RejectionReason is why a request is rejected before the relay decides on it.
type RejectionReason string

// The reasons. The first group concerns HTTP/1.1 framing, the second the submission itself.
const (
	RejectProtocol         RejectionReason = "protocol"
	RejectTransferEncoding RejectionReason = "transfer encoding"
	RejectNoHost           RejectionReason = "no host"
	RejectBodyTooLarge     RejectionReason = "body too large"
	RejectNoLength         RejectionReason = "no length"

	RejectMethod         RejectionReason = "method"
	RejectUnknownClass   RejectionReason = "unknown class"
	RejectHeader         RejectionReason = "header"
	RejectUnknownTenant  RejectionReason = "unknown tenant"
	RejectNoID           RejectionReason = "no id"
	RejectNoKey          RejectionReason = "no idempotency key"
	RejectNoDestination  RejectionReason = "no destination"
	RejectDestination    RejectionReason = "destination"
	RejectTimeout        RejectionReason = "timeout"
	RejectOrderingCookie RejectionReason = "ordering cookie"
)

// RejectionError is the error for a request that is rejected because it violates the protocol.
type RejectionError struct {
	Status int // HTTP status code for the client
	Reason RejectionReason
	Err    error // details, for logs
}

func (e *RejectionError) Error() string { return e.Err.Error() }

func (e *RejectionError) Unwrap() error { return e.Err }

// Reject returns a rejection whose error is formatted as by [fmt.Errorf].
func Reject(status int, reason RejectionReason, format string, args ...any) *RejectionError {
	return &RejectionError{Status: status, Reason: reason, Err: fmt.Errorf(format, args...)}
}
