package policy

import "time"

// Event is an input of a Dispatcher. The set is closed: all events are declared in this file.
type Event interface{ event() }

// Arrived submits a message. The Dispatcher gives each message exactly one terminal outcome.
type Arrived struct {
	ID          string
	Class       int
	Destination int
	TimeLeft    time.Duration // until its deadline
	OrderKey    string        // for ordered classes; may be empty
	// Terms are the terms of the message's class at the time of its acceptance. They are set if the
	// terms may have changed since; nil means the terms in the settings.
	Terms *Class
	// Recovered says that an earlier process of this relay accepted the message, so that admission
	// is not repeated. PriorAttempts are the attempts made by earlier processes. They count like
	// attempts of this process.
	Recovered     bool
	PriorAttempts []PriorAttempt
	// OutcomeDecided says that a recovered message already has its terminal outcome, which is not
	// acknowledged yet. An Acknowledged event will follow.
	OutcomeDecided bool
	// Background says that the message is stored elsewhere, waits there for spare capacity, and can
	// wait longer. It is rejected if it is not sent in the batch of its arrival, and it gets only one
	// attempt.
	Background bool
	// EarlierAttempts are the attempts that the same message had under other IDs, the oldest first.
	// For MaxAttempts and for the idempotency of the class they count like attempts of this message.
	EarlierAttempts []PriorAttempt
	// KeyMargin is how long before the end of KeyTTL an attempt must be sent if an earlier attempt
	// may have executed, in addition to the margin that all messages have.
	KeyMargin time.Duration
}

// PriorAttempt is an attempt made by an earlier process of this relay, or under another ID of the
// message.
type PriorAttempt struct {
	Endpoint    string
	SentAt      time.Duration
	NotExecuted bool // the attempt provably did not execute
	// InFlight says that the attempt has no outcome yet and that an AttemptEnded will follow,
	// because this process has taken over the connections of the earlier one. Only the last attempt
	// of a message can be in flight.
	InFlight bool
}

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes of an attempt. Rejected, ConnectError and NotSent prove that the attempt did not
// execute.
const (
	Succeeded       Outcome = iota // delivered
	Failed                         // the destination answered with an error
	Rejected                       // the destination rejected it: rate limit, full queue, unavailable or draining
	TimedOut                       // no answer in time
	ConnectError                   // no connection was established
	ConnectionReset                // the connection broke while the attempt was in flight
	Canceled                       // cancelled by this Dispatcher
	NotSent                        // never sent: no slot, no time or no attempts left
)

// LoadReport is the report of a destination about its own load.
type LoadReport struct {
	Remaining float64 // share of the rate limit allowance that is left
	RateLimit float64 // calls per second; 0 if there is no limit
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	ID                string
	Endpoint          string
	Attempt           int
	Outcome           Outcome
	RetryAfter        time.Duration // from the destination; 0 if it sent none
	Latency           time.Duration
	Final             bool        // the message has its terminal outcome
	AttemptsExhausted bool        // the message may have no further attempts
	OutcomeUnknown    bool        // the attempt may have executed, even if Outcome otherwise proves that it did not
	LoadReport        *LoadReport // or nil
}

// Response returns what the response to the attempt means for its message.
func (e *AttemptEnded) Response() Response {
	return Response{
		Outcome: e.Outcome, RetryAfter: e.RetryAfter, Final: e.Final, AttemptsExhausted: e.AttemptsExhausted, OutcomeUnknown: e.OutcomeUnknown,
	}
}

// SetResponse sets what the response to the attempt means for its message.
func (e *AttemptEnded) SetResponse(r Response) {
	e.Outcome, e.RetryAfter, e.Final = r.Outcome, r.RetryAfter, r.Final
	e.AttemptsExhausted, e.OutcomeUnknown = r.AttemptsExhausted, r.OutcomeUnknown
}

// ResponseUnconfirmed reports a response that may belong to an earlier request on its connection. The destination has answered a call,
// whichever it was, so the call's slot is free and its rejections and waits count. What the response means for its message stays open
// until the AttemptEnded of the attempt, which follows.
type ResponseUnconfirmed AttemptEnded

// DeadlineExceeded says that a message's deadline passed while an attempt is in flight. The message
// gets its terminal outcome now; the outcome of the attempt still follows.
type DeadlineExceeded struct{ ID string }

// Acknowledged says that the recipient of a message's terminal outcome has acknowledged it.
type Acknowledged struct{ ID string }

// MessageCanceled says that a message was cancelled. It needs no terminal outcome.
type MessageCanceled struct{ ID string }

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int
	Zone        int
	Weight      float64 // meaning: see Weights
	Draining    bool    // accepts no new calls
	Removed     bool    // no longer listed
	// Replaced says that the entry names another process than the one that was listed under the ID before.
	Replaced bool
}

// EndpointsChanged updates the endpoint list, or replaces it if Full is set.
type EndpointsChanged struct {
	Full      bool
	Endpoints []Endpoint
}

// WatchFailed says that a watch of the endpoint list failed or was dropped.
type WatchFailed struct{}

// HealthRecovered is the health of an endpoint as recorded by an earlier process of this relay. It
// is ignored if the endpoint is not listed.
type HealthRecovered PersistHealth

// SnapshotRestored carries the snapshot of this process's predecessor. It must follow the endpoint
// list and precede all messages.
type SnapshotRestored struct{ Snapshot *Snapshot }

// SettingsChanged replaces the settings. Their classes must be a result of MergeClasses, so that
// existing classes keep their numbers. Messages accepted earlier keep the terms of their class; if
// the new terms have stricter idempotency, that applies to these messages too.
type SettingsChanged struct{ Settings Settings }

// Quiesced says that this process is about to end. No calls are sent until a Resumed event.
type Quiesced struct{}

// Resumed cancels the effect of Quiesced.
type Resumed struct{}

// TimerFired says that a timer fired. It has no fields, because every batch checks which times have
// passed.
type TimerFired struct{}

func (Arrived) event()             {}
func (AttemptEnded) event()        {}
func (ResponseUnconfirmed) event() {}
func (DeadlineExceeded) event()    {}
func (Acknowledged) event()        {}
func (MessageCanceled) event()     {}
func (EndpointsChanged) event()    {}
func (WatchFailed) event()         {}
func (HealthRecovered) event()     {}
func (SnapshotRestored) event()    {}
func (SettingsChanged) event()     {}
func (Quiesced) event()            {}
func (Resumed) event()             {}
func (TimerFired) event()          {}
