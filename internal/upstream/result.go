package upstream

import (
	"net"
	"time"

	"frostlink/policy"
)

// Result is how an attempt ended.
type Result struct {
	Outcome policy.Outcome
	// RetryAfter is the wait before the next attempt that the endpoint asked for; 0: none.
	RetryAfter time.Duration
	// Final reports that the outcome is the request's terminal one: no further attempt can change
	// it.
	Final bool
	// AttemptsExhausted reports that the endpoint accepts no further attempt of this request.
	AttemptsExhausted bool
	// OutcomeUnknown reports that the request may have executed, whatever Outcome says.
	OutcomeUnknown bool
	// Doubt is why the response may belong to an earlier request on the connection; empty: it does not.
	Doubt Doubt
	// LikelyDelivered reports that the request most likely was delivered, but may have to be sent again: its connection failed before
	// it was certain that the response belongs to it.
	LikelyDelivered bool
	// Unconfirmed is how long the response was kept until it counted as the response to this request.
	Unconfirmed time.Duration
	// LoadReport is the load report that came with the response; nil if there was none.
	LoadReport *policy.LoadReport
	// NewConn reports that the attempt dialed a connection, successfully or not.
	NewConn bool
	// Detached is the connection of an attempt that has not ended: another process, or this one
	// later on, has to await its response. If it is set, no other field has a meaning.
	Detached *net.TCPConn
}

// Doubt is a reason for which a response may belong to an earlier request on its connection.
type Doubt string

// The reasons for doubt about a response that came early, or from an endpoint that writes responses that nobody asked for.
const (
	NoDoubt Doubt = ""
	// DoubtEarly: it ends the attempts of its request, so that no confirmation was awaited.
	DoubtEarly Doubt = "early response"
	// DoubtDistrusted: the endpoint is distrusted, and the request can be sent again.
	DoubtDistrusted Doubt = "distrusted endpoint"
	// DoubtConnFailed: the connection failed before another response could follow.
	DoubtConnFailed Doubt = "connection failed"
	// DoubtFollowed: a response that means something else followed.
	DoubtFollowed Doubt = "another response followed"
	// DoubtUndecided: the deadline of the request or a hand-over was near.
	DoubtUndecided Doubt = "no time for a confirmation"
)

// Response returns what the response to the attempt means for its request.
func (r *Result) Response() policy.Response {
	return policy.Response{
		Outcome: r.Outcome, RetryAfter: r.RetryAfter, Final: r.Final, AttemptsExhausted: r.AttemptsExhausted, OutcomeUnknown: r.OutcomeUnknown,
	}
}

// SetResponse sets what the response to the attempt means for its request.
func (r *Result) SetResponse(p policy.Response) {
	r.Outcome, r.RetryAfter, r.Final = p.Outcome, p.RetryAfter, p.Final
	r.AttemptsExhausted, r.OutcomeUnknown = p.AttemptsExhausted, p.OutcomeUnknown
}

// NotExecuted reports whether it is certain that the endpoint did not execute the request.
func (r Result) NotExecuted() bool {
	if r.OutcomeUnknown {
		return false
	}
	return r.Outcome == policy.Rejected || r.Outcome == policy.ConnectError || r.Outcome == policy.NotSent
}
