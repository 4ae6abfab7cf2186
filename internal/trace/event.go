package trace

import (
	"crypto/sha256"
	"encoding/hex"
)

// Version is the version of the lines' form that this program writes and reads.
const Version = 1

// Kind says what happened. The package's comment has a table of the kinds and the keys that each uses.
type Kind string

// The kinds of event.
const (
	RelayStarted       Kind = "start"
	WatchRequested     Kind = "ask"
	EndpointsReceived  Kind = "told"
	WatchEnded         Kind = "lost"
	Accepted           Kind = "take"
	Rejected           Kind = "turn"
	Completed          Kind = "end"
	AttemptStarted     Kind = "send"
	AttemptEnded       Kind = "answer"
	Resubmitted        Kind = "again"
	Recovered          Kind = "resume"
	Notified           Kind = "notice"
	ShutdownRequested  Kind = "stop"
	ConnClosed         Kind = "close"
	FolderStateChanged Kind = "folder"
	ClockStepped       Kind = "step"
)

// The terminal outcomes of requests, as Event.Outcome has them. An attempt's outcome is the policy's name for it.
const (
	Delivered     = "delivered"
	Deferred      = "deferred"
	Undeliverable = "undeliverable"
	Withdrawn     = "withdrawn" // an endpoint answered that the request is withdrawn: no notification is owed
)

// The idempotency of a request, as Event.Idempotency has it: what a second execution would do.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed"
	NotIdempotent   = "unsafe"
)

// Event is one line.
type Event struct {
	Version           int     `json:"trace"`
	At                float64 `json:"at"` // Unix time in milliseconds
	Kind              Kind    `json:"ev"`
	Relay             string  `json:"relay,omitempty"`
	ID                string  `json:"id,omitempty"` // the request's
	Class             string  `json:"class,omitempty"`
	Destination       int     `json:"dest"`
	Endpoint          string  `json:"host,omitempty"`
	Outcome           string  `json:"how,omitempty"`
	Count             int     `json:"n,omitempty"`
	DurationMs        float64 `json:"ms,omitempty"`      // a duration in milliseconds; which one is in the table of kinds
	RemainingFraction float64 `json:"left,omitempty"`    // fraction of the destination's rate limit that is left, by its load report
	RateLimit         float64 `json:"limit,omitempty"`   // the rate limit in requests a second, by its load report
	NewConn           bool    `json:"fresh,omitempty"`   // a connection was opened for the attempt, or the opening of one failed
	Full              bool    `json:"whole,omitempty"`   // the endpoint list is complete, and no change of it
	Late              bool    `json:"late,omitempty"`    // after its class's latency objective
	RetryAfterMs      float64 `json:"wait_ms,omitempty"` // with AttemptEnded: the Retry-After
	TimeLeftMs        float64 `json:"left_ms,omitempty"` // with AttemptStarted, and a term: the time to the request's deadline
	Reason            string  `json:"why,omitempty"`     // with Rejected, Completed and ConnClosed

	// The terms of a request, with Accepted, Rejected and Recovered.

	Key         string  `json:"key,omitempty"`       // digest of its idempotency key
	Retry       string  `json:"retry,omitempty"`     // what its client says of earlier submissions; with Resubmitted too
	Deadline    float64 `json:"due,omitempty"`       // Unix time in milliseconds
	Idempotency string  `json:"effect,omitempty"`    // of its class
	KeyTTLMs    float64 `json:"memory_ms,omitempty"` // for how long a destination remembers its key
}

// digestBytes of a SHA-256 are enough that no two keys of a trace are taken for one.
const digestBytes = 8

// Digest returns what stands for an idempotency key in a trace: the same for equal keys, and a key can't be had from it.
func Digest(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:digestBytes])
}
