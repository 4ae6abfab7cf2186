package policy

import "time"

// Event is something that happened to a dispatcher. The set is closed: all events are in this file.
type Event interface{ event() }

// Arrived submits a message. Its dispatcher gives it exactly one terminal outcome.
type Arrived struct {
	ID          string
	Class       int
	Destination int
	TimeLeft    time.Duration // until its deadline
	OrderKey    string        // of ordered classes, or empty
	// Terms are those of its class at its acceptance, where they may have changed since; nil: as in
	// the settings.
	Terms *Class
	// Recovered says that an earlier process of this relay accepted the message: it does not pass
	// admission again. PriorAttempts are that process's attempts, which count like this one's.
	Recovered     bool
	PriorAttempts []PriorAttempt
	// OutcomeDecided says of a recovered message that its outcome was given and is not acknowledged
	// yet: Acknowledged will follow.
	OutcomeDecided bool
	// Background says that the message waited elsewhere until nothing else needed the capacity, and
	// can go on waiting there: it is rejected unless it can be sent at once, and after one attempt
	// that did not deliver it.
	Background bool
}

// PriorAttempt is an attempt made by an earlier process of this relay.
type PriorAttempt struct {
	Endpoint    string
	SentAt      time.Duration
	NotExecuted bool // proved not to have executed
	// InFlight says that the attempt has no outcome yet, and that an AttemptEnded will follow: this
	// process took over the connections of the earlier one. Only the last attempt of a message can
	// be in flight.
	InFlight bool
}

// Outcome says how one attempt ended.
type Outcome int

// The outcomes of an attempt. Rejected, ConnectError and NotSent prove that it did not execute.
const (
	Succeeded       Outcome = iota // delivered
	Failed                         // answered with an error
	Rejected                       // rejected: above the rate limit, queue full, unavailable or draining
	TimedOut                       // no answer in time
	ConnectError                   // no connection
	ConnectionReset                // the connection broke while the attempt was in flight
	Canceled                       // cancelled by this dispatcher
	NotSent                        // never sent: no slot, no time or no attempts left
)

// LoadReport is a destination's report of its own load.
type LoadReport struct {
	Remaining float64 // share of the rate limit's allowance that is left
	RateLimit float64 // calls per second; 0 where there is no limit
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	ID                string
	Endpoint          string
	Attempt           int
	Outcome           Outcome
	RetryAfter        time.Duration // time for which the destination asked not to be called
	Latency           time.Duration
	Final             bool        // the message has its terminal outcome
	AttemptsExhausted bool        // the message has had all its attempts
	OutcomeUnknown    bool        // it may have executed, whatever Outcome otherwise proves
	LoadReport        *LoadReport // or nil
}

// DeadlineExceeded says that a message's deadline passed while an attempt is in flight: its
// terminal outcome is due, and that of the attempt still follows.
type DeadlineExceeded struct{ ID string }

// Acknowledged says that the terminal outcome of a message has reached the party it was owed to.
type Acknowledged struct{ ID string }

// MessageCanceled says that nobody wants a message any more; no outcome is owed.
type MessageCanceled struct{ ID string }

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int
	Zone        int
	Weight      float64 // see Weights
	Draining    bool    // takes no new calls
	Removed     bool    // has left the list
}

// EndpointsChanged changes the endpoint list, or replaces it when Full.
type EndpointsChanged struct {
	Full      bool
	Endpoints []Endpoint
}

// WatchFailed says that a watch of the endpoint list failed or was dropped.
type WatchFailed struct{}

// HealthRecovered carries the health of a listed endpoint that an earlier process of this relay
// recorded.
type HealthRecovered PersistHealth

// SnapshotRestored carries what the preceding process had learned, whose place this one takes. It
// comes after the endpoint list and before messages.
type SnapshotRestored struct{ Snapshot *Snapshot }

// SettingsChanged replaces the settings. Their classes must come from MergeClasses: those that were
// there keep their numbers. Messages accepted before keep the terms of their class, and what
// stricter idempotency forbids is forbidden too.
type SettingsChanged struct{ Settings Settings }

// Quiesced says that this process is about to end: nothing more is sent until Resumed.
type Quiesced struct{}

// Resumed takes Quiesced back.
type Resumed struct{}

// TimerFired says that a timer fell due. It carries nothing: each batch decides by the clock.
type TimerFired struct{}

func (Arrived) event()          {}
func (AttemptEnded) event()     {}
func (DeadlineExceeded) event() {}
func (Acknowledged) event()     {}
func (MessageCanceled) event()  {}
func (EndpointsChanged) event() {}
func (WatchFailed) event()      {}
func (HealthRecovered) event()  {}
func (SnapshotRestored) event() {}
func (SettingsChanged) event()  {}
func (Quiesced) event()         {}
func (Resumed) event()          {}
func (TimerFired) event()       {}
