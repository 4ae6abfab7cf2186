package deadletter

import "time"

// Version is the version of the form in which records are written; older ones are still read.
const Version = 1

// Execution is what is known of whether an attempt was executed.
type Execution string

// What may be known. An attempt of which nothing is known may have been executed.
const (
	NotExecuted      Execution = "never"
	ExecutionUnknown Execution = "may"
	Executed         Execution = "did"
)

// Reason is why a message was not delivered.
type Reason string

// The reasons.
const (
	ShedAfterAcceptance Reason = "refused-late"     // shed after it had been accepted
	DeadlineExceeded    Reason = "out-of-time"      // its deadline passed
	AttemptsExhausted   Reason = "attempts-spent"   // it had all attempts that its class allows
	OutcomeUnknown      Reason = "may-have-run"     // it may have been executed, and must not be repeated
	SettingsChanged     Reason = "settings-changed" // its class or destination is no longer known
	ProcessEnded        Reason = "process-ended"    // its deadline had passed when a later process read it from the journal
	OvertakenByNewer    Reason = "overtaken"        // a newer message came before its redelivery, or while that was in flight
	RejectedOnArrival   Reason = "refused"          // never accepted: rejected on arrival
)

// reasons are all reasons.
var reasons = []Reason{ShedAfterAcceptance, DeadlineExceeded, AttemptsExhausted, OutcomeUnknown, SettingsChanged, ProcessEnded, OvertakenByNewer, RejectedOnArrival}

// Attempt is one attempt to deliver a message to an endpoint.
type Attempt struct {
	Endpoint  string    `json:"host"`
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended,omitzero"`
	Outcome   string    `json:"outcome,omitempty"`
	Execution Execution `json:"ran"`
}

// Incarnation is a message under one id: as the client submitted it, or as one redelivery.
type Incarnation struct {
	ID          string       `json:"id"`
	Relay       string       `json:"relay"`
	AcceptedAt  time.Time    `json:"taken"`
	Deadline    time.Time    `json:"expires"` // the client's deadline, or the redelivery's
	CompletedAt time.Time    `json:"over"`
	Reason      Reason       `json:"reason"`
	Status      string       `json:"status"` // of the notice that the platform got
	Attempts    []Attempt    `json:"attempts"`
	Attestation *Attestation `json:"attest,omitempty"` // the one that its redelivery used
}

// Attestation is an operator's statement that a destination does not have a message. It allows one redelivery.
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
	Due          State = "due" // by a rule, or because an operator asked
	Redelivering State = "out" // being redelivered
	Delivered    State = "delivered"
	Superseded   State = "superseded"
	Discarded    State = "discarded"
)

// states are all states.
var states = []State{Held, Due, Redelivering, Delivered, Superseded, Discarded}

// Ended reports whether a state is final.
func (s State) Ended() bool { return s == Delivered || s == Superseded || s == Discarded }

// Record is what is stored of a message beside its body. Its id is that of its first incarnation.
type Record struct {
	Version             int           `json:"version"`
	ID                  string        `json:"id"`
	Class               string        `json:"class"`
	Tenant              string        `json:"tenant,omitempty"`
	Destination         int           `json:"partner"`
	IdempotencyKey      string        `json:"key,omitempty"`
	OrderKey            string        `json:"item,omitempty"`    // messages with one key are delivered in order, where its class asks for that
	Subject             string        `json:"subject,omitempty"` // what it is about, where the operator's file says how to read that
	Order               *Order        `json:"order,omitempty"`
	Incarnations        []Incarnation `json:"lives"`
	State               State         `json:"state"`
	Reason              string        `json:"why,omitempty"`   // of its state, for people
	Since               time.Time     `json:"since"`           // of its state
	Due                 time.Time     `json:"due,omitzero"`    // when to decide on it next; zero: not by itself
	RequestedByOperator bool          `json:"asked,omitempty"` // an operator asked for its redelivery
	HeldByOperator      bool          `json:"kept,omitempty"`  // an operator holds it: no rule applies
	Attestations        []Attestation `json:"attests,omitempty"`
	BodySize            int           `json:"body_size"`
}

// topic is the topic of a message.
func (r *Record) topic() Topic { return Topic{r.Class, r.Destination, r.Subject} }

// Last is the latest incarnation.
func (r *Record) Last() *Incarnation { return &r.Incarnations[len(r.Incarnations)-1] }

// Attempts counts the attempts of all incarnations.
func (r *Record) Attempts() (n int) {
	for i := range r.Incarnations {
		n += len(r.Incarnations[i].Attempts)
	}
	return n
}

// MayHaveExecuted returns the first attempt of all incarnations that may have been executed, or nil. Attempts before a
// redelivery that used an attestation do not count: an operator has stated that the destination does not have the message.
func (r *Record) MayHaveExecuted() *Attempt {
	from := 0
	for i := range r.Incarnations {
		if r.Incarnations[i].Attestation != nil {
			from = i
		}
	}
	for i := from; i < len(r.Incarnations); i++ {
		for j := range r.Incarnations[i].Attempts {
			if a := &r.Incarnations[i].Attempts[j]; a.Execution != NotExecuted {
				return a
			}
		}
	}
	return nil
}

// deferred is the status of a notice that lets the client submit a message again.
const deferred = "deferred"

// wasReturnedToClient reports whether the client was notified that it may submit the message again, and no operator has
// attested since that it did not.
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

// latest is the latest time in a record at which something happened to the message.
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
