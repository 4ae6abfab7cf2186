package destination

import "time"

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes.
const (
	OutcomeDelivered   Outcome = iota // 200
	OutcomeError                      // 500; it may have been executed
	OutcomeUnavailable                // 503
	OutcomeRetryAfter                 // 429 with Retry-After
	OutcomeReset                      // the connection is reset after the request body; it was executed
)

// Attempt is an attempt whose last byte has arrived. It belongs to the model from Arrive on.
type Attempt struct {
	ID                  string
	Relay               int
	Key                 string        // idempotency key, or ""
	KeyTTL              time.Duration // how long the key is remembered
	ServiceTime         time.Duration // at a destination with service time factor 1
	Draw                float64       // 0 to 1: decides whether it meets what a share of attempts meets
	NewConnection       bool          // the first attempt on its connection
	OverConnectionLimit bool          // its connection exceeds the endpoint's limit
	Probe               bool          // a health check

	endpoint  int
	outcome   Outcome
	duplicate bool          // its key is remembered, so that it has no effect
	work      time.Duration // that is left as of workAt, in time at full speed
	workAt    time.Duration
}

// Completion is the end of an attempt that gets a response.
type Completion struct {
	Attempt    *Attempt
	At         time.Duration
	Outcome    Outcome
	RetryAfter time.Duration // of OutcomeRetryAfter
	Executed   bool          // the attempt had its effect
	LoadReport *LoadReport   // nil: none is sent
}

// ModeChange is a change of an endpoint's mode by an overload, or by recovery from one.
type ModeChange struct {
	Endpoint int
	Mode     Mode
	At       time.Duration
}

// Action is something that the caller has to do. One of its fields is set.
type Action struct {
	Completion *Completion
	ModeChange *ModeChange
}
