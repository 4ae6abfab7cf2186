package coord

import "time"

// Code says how a command completed.
type Code string

// The codes. All but CodeOK and CodeQueued leave the state as it was, except that a session's
// command renews the session.
const (
	CodeOK            Code = "done"
	CodeQueued        Code = "waiting"    // in the lease's queue
	CodeNoSession     Code = "no session" // it has ended, or never existed
	CodeStale         Code = "late"       // a later command of the session has been applied already
	CodeNotHeld       Code = "not held"   // the lease is not held by the session under that token
	CodeConflict      Code = "conflict"   // the value's revision is another, or the transfer's target is not queued
	CodeLimitExceeded Code = "full"       // a bound is reached; Detail names it
	CodeInvalid       Code = "invalid"    // the command is malformed; Detail names the field
)

// Grant is a lease that a session holds.
type Grant struct {
	Lease       string `json:"lease"`
	Token       uint64 `json:"token"`
	QueueLength int    `json:"wait,omitempty"` // sessions that are queued for the lease
}

// Result is the answer to a command.
type Result struct {
	Code         Code   `json:"code"`
	Detail       string `json:"why,omitempty"`
	CommandIndex uint64 `json:"stamp"` // of the command among all that were applied: of two results the higher one is newer
	Session      uint64 `json:"session,omitempty"`
	Token        uint64 `json:"token,omitempty"`   // OpAcquire: of the grant
	ModRevision  uint64 `json:"version,omitempty"` // OpPut: of the value written; CodeConflict: of the value that stands

	// What the session holds, as of this result.
	TTL     time.Duration `json:"ttl,omitempty"`
	Held    []Grant       `json:"held,omitempty"`
	Revoked []Grant       `json:"revoked,omitempty"` // to be released at once
	Queued  []string      `json:"queued,omitempty"`
}

// limitExceeded returns the result of a command that would exceed a bound.
func limitExceeded(detail string) Result { return Result{Code: CodeLimitExceeded, Detail: detail} }
