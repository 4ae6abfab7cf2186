package coord

import "time"

// Code is the outcome of a command.
type Code string

// The codes. A command with any code but CodeOK and CodeQueued has changed no lease and no value. It
// has renewed its session if the command is valid and the session exists.
const (
	CodeOK            Code = "done"
	CodeQueued        Code = "waiting"    // the session is in the lease's queue
	CodeNoSession     Code = "no session" // the session has ended, or never existed
	CodeStale         Code = "late"       // a later command of the session has been applied already
	CodeNotHeld       Code = "not held"   // the session does not hold the lease under that token
	CodeConflict      Code = "conflict"   // the value has another revision, or the target of the transfer is not queued
	CodeLimitExceeded Code = "full"       // a limit is reached; Detail names it
	CodeInvalid       Code = "invalid"    // the command is malformed; Detail names the field
)

// Grant is a lease that a session holds.
type Grant struct {
	Lease       string `json:"lease"`
	Token       uint64 `json:"token"`
	QueueLength int    `json:"wait,omitempty"` // sessions that are queued for the lease
}

// Result is the result of a command.
type Result struct {
	Code         Code   `json:"code"`
	Detail       string `json:"why,omitempty"`
	CommandIndex uint64 `json:"stamp"` // number of the command among all commands applied: of two results, the one with the higher number is newer
	Session      uint64 `json:"session,omitempty"`
	Token        uint64 `json:"token,omitempty"`   // OpAcquire: token of the grant
	ModRevision  uint64 `json:"version,omitempty"` // CodeOK: revision of the write; CodeConflict: of the current value, 0 if there is none

	// The session's time to live, leases and queued requests, as of this result.
	TTL     time.Duration `json:"ttl,omitempty"`
	Held    []Grant       `json:"held,omitempty"`
	Revoked []Grant       `json:"revoked,omitempty"` // the session must release these at once
	Queued  []string      `json:"queued,omitempty"`
}

// limitExceeded returns the result of a command that would exceed a limit.
func limitExceeded(detail string) Result { return Result{Code: CodeLimitExceeded, Detail: detail} }
