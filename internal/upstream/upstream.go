// Package upstream has the terms in which calls to hosts are made, whatever their protocol.
package upstream

import (
	"net"
	"sync/atomic"
	"time"

	"frostlink/policy"
)

// Target is a host at an address: another host may come to the same address.
type Target struct{ Host, Addr string }

// Request is one call to a host.
type Request struct {
	Target
	ID, Key string
	Body    []byte
	Timeout time.Duration
	// Expires is when the message's time is up; zero: when Timeout is over. Where TimeUp is set, it is called then if an answer
	// is still listened to.
	Expires time.Time
	TimeUp  func()
	// WriteBy, where it is set, is when its last byte must have left: written later it may run a second time.
	WriteBy time.Time
	// Unsend, once it holds true, says that it is not to be written any more. May be nil.
	Unsend *atomic.Bool
}

// Late tells whether a request may not be written any more.
func (r *Request) Late() bool {
	return !r.WriteBy.IsZero() && !time.Now().Before(r.WriteBy) || r.Unsend != nil && r.Unsend.Load()
}

// Result is how a call ended.
type Result struct {
	Outcome  policy.Outcome
	Wait     time.Duration
	Over     bool
	Spent    bool
	Doubtful bool // it may have run, whatever the outcome says
	Report   *policy.Report
	Fresh    bool // a connection was made for it, or tried to be
	// Parked is the connection of a call that has no end yet: its answer is to be waited for by another process, or by this
	// one later on. All else means nothing then.
	Parked *net.TCPConn
}

// Unrun tells whether a call is known never to have run.
func (r Result) Unrun() bool {
	return !r.Doubtful && (r.Outcome == policy.QueueFull || r.Outcome == policy.ConnectError || r.Outcome == policy.Ignored)
}
