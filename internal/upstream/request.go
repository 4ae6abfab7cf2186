package upstream

import (
	"sync/atomic"
	"time"
)

// Target is an endpoint and its address. Both are needed to identify it, since another endpoint may
// use the same address later.
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
	// OnDeadline, if set, is called if Deadline passes while a response is still awaited: the
	// outcome of the request is due then, whatever response follows.
	OnDeadline func()
	// OnUnconfirmed, if set, is called with the result that a response stands for if it may belong to an earlier request on its
	// connection. The attempt goes on until that is certain, or as certain as it can be.
	OnUnconfirmed func(Result)
	// WriteBy, if set, is the latest time at which the request's last byte may be written. If it is
	// written later, an endpoint whose record of the idempotency key has expired may execute the
	// request a second time.
	WriteBy time.Time
	// Retryable reports that the request may be sent again even if it has executed. A rejection that may belong to an earlier
	// request then ends the attempt at once.
	Retryable bool
	// CancelBeforeSend cancels the request once it is true, unless the request has been written. It
	// may be nil.
	CancelBeforeSend *atomic.Bool
}

// SendCanceled reports whether the request must no longer be written, because WriteBy has passed or
// CancelBeforeSend is true.
func (r *Request) SendCanceled() bool {
	expired := !r.WriteBy.IsZero() && !time.Now().Before(r.WriteBy)
	return expired || r.CancelBeforeSend != nil && r.CancelBeforeSend.Load()
}
