package deadletter

import "time"

// Version is the version of the format in which records are written. Records of earlier versions can still be read.
const Version = 1

// Execution says whether the destination executed the message of an attempt, as far as the relay can tell.
type Execution string

// The values of Execution. An attempt without a value may have been executed too.
const (
	NotExecuted      Execution = "never"
	ExecutionUnknown Execution = "may"
	Executed         Execution = "did"
)

// Reason is why a message was not delivered.
type Reason string

// The values of Reason.
const (
	ShedAfterAcceptance Reason = "refused-late"     // shed after it had been accepted
	DeadlineExceeded    Reason = "out-of-time"      // its deadline passed
	AttemptsExhausted   Reason = "attempts-spent"   // it had all attempts that its class allows
	OutcomeUnknown      Reason = "may-have-run"     // it may have been executed, and messages of its class must not be executed twice
	SettingsChanged     Reason = "settings-changed" // the settings no longer contain its class or destination
	ProcessEnded        Reason = "process-ended"    // its deadline had passed when a later process read it from the journal, or its redelivery was lost
	OvertakenByNewer    Reason = "overtaken"        // a newer message was accepted before its redelivery was sent, or while the redelivery was in flight
	RejectedOnArrival   Reason = "refused"          // it was never accepted
)

// reasons lists all values of Reason.
var reasons = []Reason{ShedAfterAcceptance, DeadlineExceeded, AttemptsExhausted, OutcomeUnknown, SettingsChanged, ProcessEnded, OvertakenByNewer, RejectedOnArrival}

// Attempt is one attempt to deliver a message to an endpoint.
type Attempt struct {
	Endpoint  string    `json:"host"`
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended,omitzero"`
	Outcome   string    `json:"outcome,omitempty"`
	Execution Execution `json:"ran"`
}

// Incarnation is a message under one id: as the client submitted it, or as it was redelivered.
type Incarnation struct {
	ID          string       `json:"id"`
	Relay       string       `json:"relay"`
	AcceptedAt  time.Time    `json:"taken"`
	Deadline    time.Time    `json:"expires"` // the client's deadline, or the redelivery's
	CompletedAt time.Time    `json:"over"`
	Reason      Reason       `json:"reason"`
	Status      string       `json:"status"` // status in the notice sent to the platform
	Attempts    []Attempt    `json:"attempts"`
	Attestation *Attestation `json:"attest,omitempty"` // the attestation that allowed this redelivery, if it needed one
}

// Attestation is an operator's statement that the destination does not have a message. It allows one redelivery.
type Attestation struct {
	By       string    `json:"by"`
	Evidence string    `json:"evidence"`
	At       time.Time `json:"at"`
	Used     bool      `json:"used"`
}

// State is the state of a stored message.
type State string

// The states. Delivered, Superseded and Discarded are final.
const (
	Held         State = "held"
	Due          State = "due" // waits for a redelivery that a rule or an operator asks for
	Redelivering State = "out" // a redelivery is in flight
	Delivered    State = "delivered"
	Superseded   State = "superseded"
	Discarded    State = "discarded"
)

// states lists all values of State.
var states = []State{Held, Due, Redelivering, Delivered, Superseded, Discarded}

// Ended reports whether a state is final.
func (s State) Ended() bool { return s == Delivered || s == Superseded || s == Discarded }

// Record is everything that is stored of a message except its body. Its id is the id of its first incarnation.
type Record struct {
	Version             int           `json:"version"`
	ID                  string        `json:"id"`
	Class               string        `json:"class"`
	Tenant              string        `json:"tenant,omitempty"`
	Destination         int           `json:"partner"`
	IdempotencyKey      string        `json:"key,omitempty"`
	OrderKey            string        `json:"item,omitempty"`    // in a class with ordered delivery, messages with the same key are delivered in order
	Subject             string        `json:"subject,omitempty"` // empty unless the operator's file defines how to read it for the class
	Order               *Order        `json:"order,omitempty"`
	Incarnations        []Incarnation `json:"lives"`
	State               State         `json:"state"`
	Reason              string        `json:"why,omitempty"`   // why it is in its state, in words for operators
	Since               time.Time     `json:"since"`           // when it entered its state
	Due                 time.Time     `json:"due,omitzero"`    // when to decide on it next; zero: not until something else makes it due
	RequestedByOperator bool          `json:"asked,omitempty"` // an operator asked for its redelivery
	HeldByOperator      bool          `json:"kept,omitempty"`  // an operator holds it, and rules do not apply
	Attestations        []Attestation `json:"attests,omitempty"`
	BodySize            int           `json:"body_size"`
}

// topic returns the topic of a message.
func (r *Record) topic() Topic { return Topic{r.Class, r.Destination, r.Subject} }

// Last returns the latest incarnation.
func (r *Record) Last() *Incarnation { return &r.Incarnations[len(r.Incarnations)-1] }

// Attempts counts the attempts of all incarnations.
func (r *Record) Attempts() (n int) {
	for i := range r.Incarnations {
		n += len(r.Incarnations[i].Attempts)
	}
	return n
}

// MayHaveExecuted returns the first attempt of all incarnations that may have been executed, or nil if there is none. It
// ignores attempts before a redelivery that used an attestation: an operator has stated that the destination does not have
// the message from them.
func (r *Record) MayHaveExecuted() *Attempt {
	for i := r.lastAttested(); i < len(r.Incarnations); i++ {
		for j := range r.Incarnations[i].Attempts {
			if a := &r.Incarnations[i].Attempts[j]; a.Execution != NotExecuted {
				return a
			}
		}
	}
	return nil
}

// EarlierAttempts returns the attempts of all incarnations, the oldest first. Those before a redelivery that used an attestation
// are returned as not executed, because an operator has stated that the destination does not have the message from them.
func (r *Record) EarlierAttempts() (attempts []Attempt) {
	attested := r.lastAttested()
	for i := range r.Incarnations {
		for _, a := range r.Incarnations[i].Attempts {
			if i < attested {
				a.Execution = NotExecuted
			}
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// lastAttested returns the index of the latest incarnation that used an attestation, or 0 if there is none.
func (r *Record) lastAttested() int {
	for i := len(r.Incarnations) - 1; i > 0; i-- {
		if r.Incarnations[i].Attestation != nil {
			return i
		}
	}
	return 0
}

// deferred is the status of a notice after which the client may submit the message again.
const deferred = "deferred"

// wasReturnedToClient reports whether the client was notified that it may submit the message again, and no redelivery has
// used an attestation since.
func (r *Record) wasReturnedToClient() bool {
	if r.Incarnations[0].Status != deferred && r.Incarnations[0].Reason != RejectedOnArrival {
		return false
	}
	for i := range r.Incarnations {
		if r.Incarnations[i].Attestation != nil {
			return false
		}
	}
	return true
}

// neverAccepted reports whether a message was never accepted.
func (r *Record) neverAccepted() bool {
	return len(r.Incarnations) == 1 && r.Incarnations[0].Reason == RejectedOnArrival
}

// latest returns the time of the latest change that a record lists.
func (r *Record) latest() time.Time {
	latest := r.Since
	for i := range r.Incarnations {
		if completedAt := r.Incarnations[i].CompletedAt; completedAt.After(latest) {
			latest = completedAt
		}
	}
	return latest
}

// unusedAttestation returns an attestation that no redelivery has used yet, or nil.
func (r *Record) unusedAttestation() *Attestation {
	for i := range r.Attestations {
		if !r.Attestations[i].Used {
			return &r.Attestations[i]
		}
	}
	return nil
}
