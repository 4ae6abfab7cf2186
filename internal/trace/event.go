package trace

import (
	"crypto/sha256"
	"encoding/hex"
)

// Version is the version of the line format that this program writes and reads.
const Version = 1

// Kind says what happened. The package comment has a table of the kinds and the keys that each uses.
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
	ExtraResponse      Kind = "extra"
)

// The values of Event.Outcome for the terminal outcome of a request. For an attempt, Event.Outcome is Delivered or the relay's
// name for another outcome of an attempt in package policy, such as "timed out".
const (
	Delivered     = "delivered"
	Deferred      = "deferred"
	Undeliverable = "undeliverable"
	Withdrawn     = "withdrawn" // an endpoint responded that the request is withdrawn; the platform gets no notification
)

// The values of Event.Idempotency: whether a second execution of the request is harmless, harmless while destinations
// remember its key, or harmful.
const (
	Idempotent      = "safe"
	IdempotentByKey = "keyed"
	NotIdempotent   = "unsafe"
)

// Event is one line of a trace.
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
	RemainingFraction float64 `json:"left,omitempty"`    // unused fraction of the destination's rate limit, from its load report
	RateLimit         float64 `json:"limit,omitempty"`   // the rate limit in requests per second, from its load report
	NewConn           bool    `json:"fresh,omitempty"`   // a connection was opened, or could not be opened, for the attempt
	Full              bool    `json:"whole,omitempty"`   // the event has the complete endpoint list, not a change of it
	Late              bool    `json:"late,omitempty"`    // the outcome came after the latency objective of the request's class
	RetryAfterMs      float64 `json:"wait_ms,omitempty"` // with AttemptEnded: the Retry-After of the response
	TimeLeftMs        float64 `json:"left_ms,omitempty"` // with AttemptStarted, and as a term: the time until the request's deadline
	Reason            string  `json:"why,omitempty"`     // with Rejected, Completed, ConnClosed and ExtraResponse, and with AttemptEnded if the response may belong to an earlier request

	// The terms of a request, with Accepted, Rejected and Recovered.

	Key         string  `json:"key,omitempty"`       // digest of its idempotency key
	Retry       string  `json:"retry,omitempty"`     // the client's statement about earlier submissions; also with Resubmitted
	Deadline    float64 `json:"due,omitempty"`       // Unix time in milliseconds
	Idempotency string  `json:"effect,omitempty"`    // idempotency of its class
	KeyTTLMs    float64 `json:"memory_ms,omitempty"` // how long destinations remember its key
}

// digestBytes is how many bytes of a key's SHA-256 form its digest: enough to make a collision in one trace improbable.
const digestBytes = 8

// Digest returns the digest that represents an idempotency key in a trace. Equal keys have equal digests, and a key can't be
// derived from its digest.
func Digest(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:digestBytes])
}
