package frontend

import "fmt"

// RejectionReason is why a request is rejected before it reaches the relay's decisions.
type RejectionReason string

// The reasons. The first group is of HTTP/1.1's framing, the second of the submission.
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

// RejectionError is a request that is rejected since it breaks the protocol.
type RejectionError struct {
	Status int // what the client gets
	Reason RejectionReason
	Err    error // what is wrong, for logs
}

func (e *RejectionError) Error() string { return e.Err.Error() }

func (e *RejectionError) Unwrap() error { return e.Err }

// Reject returns a rejection whose message is a format with its arguments.
func Reject(status int, reason RejectionReason, format string, args ...any) *RejectionError {
	return &RejectionError{Status: status, Reason: reason, Err: fmt.Errorf(format, args...)}
}
