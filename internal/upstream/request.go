package upstream

import (
	"sync/atomic"
	"time"
)

// Target is an endpoint at an address. Both identify it, since another endpoint may come to use the
// same address.
type Target struct{ Endpoint, Addr string }

// Request is one attempt to deliver a request to an endpoint.
type Request struct {
	Target
	ID, IdempotencyKey string
	Body               []byte
	// Timeout bounds the attempt.
	Timeout time.Duration
	// Deadline is the request's deadline over all its attempts. Zero means that the deadline is the
	// end of Timeout.
	Deadline time.Time
	// OnDeadline, where set, is called if Deadline passes while a response is still awaited: the
	// request's outcome is due then, whatever the response will be.
	OnDeadline func()
	// WriteBy, where set, is when the request's last byte must have been written. Written later, it
	// may be executed a second time by an endpoint that has forgotten its idempotency key.
	WriteBy time.Time
	// CancelBeforeSend, once it is true, cancels the request unless it has been written. It may be
	// nil.
	CancelBeforeSend *atomic.Bool
}

// SendCanceled reports whether the request must not be written any more: WriteBy has passed, or it
// was canceled.
func (r *Request) SendCanceled() bool {
	expired := !r.WriteBy.IsZero() && !time.Now().Before(r.WriteBy)
	return expired || r.CancelBeforeSend != nil && r.CancelBeforeSend.Load()
}
