package upstream

import (
	"net"
	"time"

	"frostlink/policy"
)

// Result is how an attempt ended.
type Result struct {
	Outcome policy.Outcome
	// RetryAfter is how long the endpoint asked to wait before the next attempt; 0 if it did not.
	RetryAfter time.Duration
	// Final reports that the outcome is the request's terminal one: no further attempt can change
	// it.
	Final bool
	// AttemptsExhausted reports that the endpoint takes no further attempt of this request.
	AttemptsExhausted bool
	// OutcomeUnknown reports that the request may have executed, whatever Outcome says.
	OutcomeUnknown bool
	// LoadReport is the load that the endpoint reported with its response; nil if it reported none.
	LoadReport *policy.LoadReport
	// NewConn reports that a connection was established for the attempt, or that establishing one
	// was tried.
	NewConn bool
	// Detached is the connection of an attempt whose response is to be awaited by another process,
	// or by this one later on. Where it is set the attempt has not ended, and no other field has a
	// meaning.
	Detached *net.TCPConn
}

// NotExecuted reports whether it is known that the endpoint did not execute the request.
func (r Result) NotExecuted() bool {
	if r.OutcomeUnknown {
		return false
	}
	return r.Outcome == policy.Rejected || r.Outcome == policy.ConnectError || r.Outcome == policy.NotSent
}
