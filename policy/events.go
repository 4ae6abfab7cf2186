package policy

import (
	"time"
)

// Event is something that happened to a dispatcher.
type Event interface{ event() }

// Outcome says how one attempt ended.
type Outcome int

// The outcomes of an attempt. QueueFull, ConnectError and Ignored prove that it never ran.
const (
	Succeeded       Outcome = iota // delivered
	Failed                         // answered with an error
	Rejected                       // turned away: above the limit, queue full, shut or draining
	TimedOut                       // no answer in time
	ConnectError                   // no connection
	ConnectionReset                // the connection broke while the attempt was out
	Canceled                       // called off by this dispatcher
	NotSent                        // never sent: no slot, no time or no attempts left
)

// Endpoint is one entry of the list of endpoints.
type Endpoint struct {
	ID          string
	Destination int
	Kind        int
	Zone        int
	Weight      float64
	Draining    bool // send nothing new
	Removed     bool // removed
}

// LoadReport is a load report of a destination.
type LoadReport struct {
	Remaining float64 // share of the allowance that is left
	RateLimit float64 // calls a second; 0 where there is no limit
}

// PriorAttempt is an attempt that an earlier process of this relay made.
type PriorAttempt struct {
	Endpoint    string
	SentAt      time.Duration
	NotExecuted bool // proved never to have run
	// InFlight says that the attempt is still out, and that its end will be told: the process took the place of another that
	// handed it its connections. Only the last attempt of a message can be.
	InFlight bool
}

// The events.
type (
	// Arrived hands in a message. It has to end exactly once.
	Arrived struct {
		ID          string
		Class       int
		Destination int
		TimeLeft    time.Duration // until it is given up
		OrderKey    string        // of ordered classes, or empty
		// Terms are those of its class as it was taken on, where that may have changed since; nil: as in the settings.
		Terms *Class
		// Recovered says that an earlier process of this relay took the message on: it is not up for
		// admission again. Tried are that process's attempts, which count as this one's.
		Recovered     bool
		PriorAttempts []PriorAttempt
		// OutcomeDecided, of a resumed one, says that its end is given and still to be known where it is owed: Settled tells.
		OutcomeDecided bool
		// Background says that it waited elsewhere until nothing else was wanted there, and can do so again: it is
		// refused unless it can go at once, and after one attempt that did not deliver it.
		Background bool
	}
	// AttemptEnded reports how an attempt ended.
	AttemptEnded struct {
		ID                string
		Endpoint          string
		Attempt           int
		Outcome           Outcome
		RetryAfter        time.Duration // told to wait
		Latency           time.Duration
		Final             bool        // the message has its final answer
		AttemptsExhausted bool        // the message has had all its attempts
		OutcomeUnknown    bool        // it may have run, whatever the outcome proves elsewhere
		LoadReport        *LoadReport // or nil
	}
	// DeadlineExceeded says that a message's time is up while it is out: its end is due, and that of its attempt is still to be told.
	DeadlineExceeded struct{ ID string }
	// Acknowledged says that the end which was given a message is known where it was owed.
	Acknowledged struct{ ID string }
	// Cancelled says that nobody wants a message any more; no answer is owed.
	Cancelled struct{ ID string }
	// EndpointsChanged changes the list of endpoints, or replaces it when Whole.
	EndpointsChanged struct {
		Full      bool
		Endpoints []Endpoint
	}
	// WatchFailed says that a subscription failed or was dropped.
	WatchFailed struct{}
	// HealthRecovered tells what an earlier process of this relay remembered of a listed endpoint.
	HealthRecovered PersistHealth
	// SnapshotRestored tells what the process before had learned, whose place this one takes. It comes after the list and before
	// messages.
	SnapshotRestored struct{ Snapshot *Snapshot }
	// SettingsChanged replaces the settings. Their classes must come from Merge: those that were there keep their numbers.
	// Messages taken on before keep the terms of their class, and what a stricter effect forbids is forbidden too.
	SettingsChanged struct{ Settings Settings }
	// Quiesced says that this process is about to end: nothing more is sent. Serving takes that back.
	Quiesced struct{}
	Resumed  struct{}
	// TimerFired says that a timer fell due.
	TimerFired struct{}
)

func (Arrived) event()          {}
func (AttemptEnded) event()     {}
func (DeadlineExceeded) event() {}
func (Acknowledged) event()     {}
func (Cancelled) event()        {}
func (EndpointsChanged) event() {}
func (WatchFailed) event()      {}
func (HealthRecovered) event()  {}
func (SnapshotRestored) event() {}
func (SettingsChanged) event()  {}
func (Quiesced) event()         {}
func (Resumed) event()          {}
func (TimerFired) event()       {}
