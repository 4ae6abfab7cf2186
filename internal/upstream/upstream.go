// Package upstream has the terms in which calls to hosts are made, whatever their protocol.
package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"frostlink/policy"
)

// Target is a host at an address: another host may come to the same address.
type Target struct{ Endpoint, Addr string }

// Request is one call to a host.
type Request struct {
	Target
	ID, IdempotencyKey string
	Body               []byte
	Timeout            time.Duration
	// Deadline is when the message's time is up; zero: when Timeout is over. Where TimeUp is set, it is called then if an answer
	// is still listened to.
	Deadline   time.Time
	OnDeadline func()
	// WriteBy, where it is set, is when its last byte must have left: written later it may run a second time.
	WriteBy time.Time
	// CancelBeforeSend, once it holds true, says that it is not to be written any more. May be nil.
	CancelBeforeSend *atomic.Bool
}

// TooLate tells whether a request may not be written any more.
func (r *Request) TooLate() bool {
	return !r.WriteBy.IsZero() && !time.Now().Before(r.WriteBy) || r.CancelBeforeSend != nil && r.CancelBeforeSend.Load()
}

// Result is how a call ended.
type Result struct {
	Outcome           policy.Outcome
	RetryAfter        time.Duration
	Final             bool
	AttemptsExhausted bool
	OutcomeUnknown    bool // it may have run, whatever the outcome says
	LoadReport        *policy.LoadReport
	NewConn           bool // a connection was made for it, or tried to be
	// Detached is the connection of a call that has no end yet: its answer is to be waited for by another process, or by this
	// one later on. All else means nothing then.
	Detached *net.TCPConn
}

// NotExecuted tells whether a call is known never to have run.
func (r Result) NotExecuted() bool {
	return !r.OutcomeUnknown && (r.Outcome == policy.Rejected || r.Outcome == policy.ConnectError || r.Outcome == policy.NotSent)
}
