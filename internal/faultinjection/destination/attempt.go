package destination

import "time"

// Outcome is the outcome of an attempt.
type Outcome int

// The outcomes.
const (
	OutcomeDelivered   Outcome = iota // 200
	OutcomeError                      // 500; the attempt may have been executed
	OutcomeUnavailable                // 503
	OutcomeRetryAfter                 // 429 with Retry-After
	OutcomeReset                      // the connection is reset after the request body; the attempt was executed
)

// Attempt is an attempt whose last byte has arrived at an endpoint. The caller must not change it after passing it to [Model.Arrive].
type Attempt struct {
	ID                  string
	Relay               int
	Key                 string        // idempotency key, or ""
	KeyTTL              time.Duration // how long the key is remembered
	ServiceTime         time.Duration // time to execute the attempt at a destination whose service time factor is 1
	Draw                float64       // random number from 0 to 1 that decides whether the attempt gets an error or a reset
	NewConnection       bool          // the attempt is the first one on its connection
	OverConnectionLimit bool          // the attempt's connection exceeds the endpoint's limit
	Probe               bool          // a health check

	endpoint  int
	outcome   Outcome
	duplicate bool          // the destination remembers the attempt's key, so that the attempt has no effect
	work      time.Duration // work that remains at workAt, as the time that it takes at full speed
	workAt    time.Duration
}

// Completion is the end of an attempt by a response or by a reset of its connection.
type Completion struct {
	Attempt    *Attempt
	At         time.Duration
	Outcome    Outcome
	RetryAfter time.Duration // set if Outcome is OutcomeRetryAfter
	Executed   bool          // the attempt had its effect
	LoadReport *LoadReport   // nil: the response has no load report
}

// ModeChange is a change of an endpoint's mode that an overload or the recovery from an overload causes.
type ModeChange struct {
	Endpoint int
	Mode     Mode
	At       time.Duration
}

// Action is something that the caller has to do. Exactly one of its fields is set.
type Action struct {
	Completion *Completion
	ModeChange *ModeChange
}
