package policy

import "time"

// Idempotency says what a second execution of a message would do.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // the destination drops a repeat while it remembers the key
	NotIdempotent                      // must never run twice
)

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

// Weights says what an endpoint's weight holds.
type Weights int

// The meanings of a weight.
const (
	WeightsOff     Weights = iota // nothing
	WeightsNominal                // calls a second the destination (or route) takes from all relays
	WeightsRough                  // the same, up to half too high or too low
)

// Class is one class of message.
type Class struct {
	Name             string        `json:"Name"`
	LatencyObjective time.Duration `json:"Aim"`      // full worth up to here
	Deadline         time.Duration `json:"Deadline"` // given up after this
	PriorityWeight   float64       `json:"Worth"`
	LateFraction     float64       `json:"LateShare"` // share of the worth left at the deadline
	ExponentialDecay bool          `json:"Halving"`   // the worth halves with each further Aim instead of falling evenly
	Idempotency      Idempotency   `json:"Effect"`
	KeyPerZone       bool          `json:"ByZone"`  // Keyed: only endpoints of one zone share the memory of a key
	KeyTTL           time.Duration `json:"Memory"`  // Keyed: how long a key is remembered
	Ordered          bool          `json:"Ordered"` // messages with one key go one at a time, in order
	// Retired: the settings have it no more. It keeps its number for messages that were taken on under it.
	Retired bool `json:"Retired"`
}

// DestinationKind is one kind of destination.
type DestinationKind struct {
	SeparateRoutes bool // its endpoints are routes apart, each with its own limit, pace and outages
	MaxBatch       int  // messages in one call at most
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Instances        int // relays that share the traffic, this one included
	Zone             int // of this relay, as in Endpoint
	Classes          []Class
	Kinds            []DestinationKind
	ZoneCost         []float64 // by zone: points of the result for all messages sent by such routes
	MaxInFlight      int       // calls out at once
	MaxQueued        int       // messages held, sent or not
	MaxAttempts      int
	Hedging          bool // two attempts of a message may be out at once
	CanCancel        bool
	WatchEndpoints   bool // list changes come only after Subscribe
	Weights          Weights
	BatchInterval    time.Duration // least time between batches
	MaxRetryAfter    time.Duration // longest hold-off that a client honours
	ColdCapacity     float64       // share of its capacity that a destination has after an outage
	SlowStartTime    time.Duration // and all of it after this
	OverloadFactor   float64       // sent more than this multiple of its present capacity
	OverloadWindow   time.Duration // for this long, a cold destination falls over
	IdleConnTimeout  time.Duration // idle connections close by themselves after this; 0 for never
	OrderKeyCooldown time.Duration // rest of a key after an attempt that may still run
	// AwaitAcknowledgement says that ends take a while to be known where they are owed, and that Settled tells when they are: until then
	// the next message of the key waits.
	AwaitAcknowledgement bool
}

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

// Event is something that happened to a dispatcher.
type Event interface{ event() }

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

// Action is something that a dispatcher wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts the next attempt of a message; Timeout 0 leaves it out until the deadline. Where Within is not 0, its
	// last byte may leave within that time only: later, an earlier attempt's effect is not remembered any more. One that
	// can't is Ignored.
	Send struct {
		ID          string
		Endpoint    string
		Timeout     time.Duration
		WriteWithin time.Duration
	}
	// Reject ends a message undelivered; the client may safely come again.
	Reject struct {
		ID         string
		RetryAfter time.Duration
	}
	// Fail ends a message; the client is told nothing of its effect.
	Fail struct{ ID string }
	// CancelAttempt ends the wait on an attempt.
	CancelAttempt struct {
		ID      string
		Attempt int
	}
	// CancelBeforeSend takes an attempt back if nothing of it has left, as while its connection is made: its destination has told to
	// wait, or its endpoint drains or is gone. It ends as Ignored then; one that has left goes on.
	CancelBeforeSend struct {
		ID      string
		Attempt int
	}
	// CloseIdleConns closes the idle connections of this relay to an endpoint.
	CloseIdleConns struct{ Endpoint string }
	// SetTimer asks for Woken.
	SetTimer struct{ After time.Duration }
	// WatchEndpoints asks for changes of the list.
	WatchEndpoints struct{}
	// PersistHealth is what a later process of this relay has to know of an endpoint: that it is out, or when
	// it came back.
	PersistHealth struct {
		Endpoint  string
		Unhealthy bool
		At        time.Duration
	}
)

func (Send) action()             {}
func (Reject) action()           {}
func (Fail) action()             {}
func (CancelAttempt) action()    {}
func (CancelBeforeSend) action() {}
func (CloseIdleConns) action()   {}
func (SetTimer) action()         {}
func (WatchEndpoints) action()   {}
func (PersistHealth) action()    {}
