package deadletter

import "time"

// Version is the form of records as they are written; older ones are still read.
const Version = 1

// Execution says what is known of whether an attempt had its effect.
type Execution string

// What may be known. An attempt of which nothing is known may have run.
const (
	NotExecuted      Execution = "never"
	ExecutionUnknown Execution = "may"
	Executed         Execution = "did"
)

// Reason says why a message was not delivered.
type Reason string

// The reasons.
const (
	ShedAfterAcceptance Reason = "refused-late"     // handed back after it had been accepted
	DeadlineExceeded    Reason = "out-of-time"      // its time was up
	AttemptsExhausted   Reason = "attempts-spent"   // it had all its attempts
	OutcomeUnknown      Reason = "may-have-run"     // it may have run, and may not be repeated
	SettingsChanged     Reason = "settings-changed" // its class or destination is no longer known
	ProcessEnded        Reason = "process-ended"    // it was over when a later process took it up
	OvertakenByNewer    Reason = "overtaken"        // a newer message came before its redelivery, or while that was out
	RejectedOnArrival   Reason = "refused"          // never accepted: rejected on arrival
)

// reasons are all of them, as rules may name them.
var reasons = []Reason{ShedAfterAcceptance, DeadlineExceeded, AttemptsExhausted, OutcomeUnknown, SettingsChanged, ProcessEnded, OvertakenByNewer, RejectedOnArrival}

// Attempt is one call that was made for a message.
type Attempt struct {
	Endpoint  string    `json:"host"`
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended,omitzero"`
	Outcome   string    `json:"outcome,omitempty"`
	Execution Execution `json:"ran"`
}

// Incarnation is one time that a message was accepted, from the first to the last redelivery.
type Incarnation struct {
	ID          string       `json:"id"`
	Relay       string       `json:"relay"`
	AcceptedAt  time.Time    `json:"taken"`
	Deadline    time.Time    `json:"expires"` // the client's deadline, or the redelivery's
	CompletedAt time.Time    `json:"over"`
	Reason      Reason       `json:"reason"`
	Status      string       `json:"status"` // of the notice
	Attempts    []Attempt    `json:"attempts"`
	Attestation *Attestation `json:"attest,omitempty"` // on which it was redelivered
}

// Attestation is a named operator's word that a destination does not have a message. It serves for one redelivery.
type Attestation struct {
	By       string    `json:"by"`
	Evidence string    `json:"evidence"`
	At       time.Time `json:"at"`
	Used     bool      `json:"used"`
}

// State is where a kept message stands.
type State string

// The states. Held, Due and Out are open; the rest are ends.
const (
	Held         State = "held"
	Due          State = "due" // by a rule, or because an operator asked
	Redelivering State = "out" // being redelivered
	Delivered    State = "delivered"
	Superseded   State = "superseded"
	Discarded    State = "discarded"
)

// Ended tells whether nothing more will be done for a message.
func (s State) Ended() bool { return s == Delivered || s == Superseded || s == Discarded }

// Record is a message as it is kept. The first incarnation's id is its name for good.
type Record struct {
	Version             int           `json:"version"`
	ID                  string        `json:"id"`
	Class               string        `json:"class"`
	Tenant              string        `json:"tenant,omitempty"`
	Destination         int           `json:"partner"`
	IdempotencyKey      string        `json:"key,omitempty"`
	OrderKey            string        `json:"item,omitempty"`    // what its class keeps order by
	Subject             string        `json:"subject,omitempty"` // what it is about, where the operator names that
	Order               *Order        `json:"order,omitempty"`
	Incarnations        []Incarnation `json:"lives"`
	State               State         `json:"state"`
	Reason              string        `json:"why,omitempty"`   // of its state, in words
	Since               time.Time     `json:"since"`           // of its state
	Due                 time.Time     `json:"due,omitzero"`    // when to look at it again by itself
	RequestedByOperator bool          `json:"asked,omitempty"` // an operator wants it redelivered
	HeldByOperator      bool          `json:"kept,omitempty"`  // by an operator: no rule redelivers it
	Attestations        []Attestation `json:"attests,omitempty"`
	BodySize            int           `json:"body_size"`
}

// topic is what a message is about.
func (r *Record) topic() Topic { return Topic{r.Class, r.Destination, r.Subject} }

// Last is the latest incarnation.
func (r *Record) Last() *Incarnation { return &r.Incarnations[len(r.Incarnations)-1] }

// Attempts counts the attempts of the whole lineage.
func (r *Record) Attempts() (n int) {
	for i := range r.Incarnations {
		n += len(r.Incarnations[i].Attempts)
	}
	return n
}

// MayHaveExecuted gives the first attempt of the whole lineage that may have had its effect, or nil. An attempt before a
// incarnation that was redelivered on an attest does not count: a person has said that the destination does not have it.
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

// wasReturnedToClient tells whether the client was told to retry the message, and no operator has attested since
// that it did not.
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

// neverAccepted tells whether a message was never accepted.
func (r *Record) neverAccepted() bool {
	return len(r.Incarnations) == 1 && r.Incarnations[0].Reason == RejectedOnArrival
}

// deferred is the status of a notice that hands a message back.
const deferred = "deferred"

// latest is the last time that the record knows of.
func (r *Record) latest() time.Time {
	t := r.Since
	for i := range r.Incarnations {
		if l := &r.Incarnations[i]; l.CompletedAt.After(t) {
			t = l.CompletedAt
		}
	}
	return t
}

// unusedAttestation gives an attest that was not used yet, or nil.
func (r *Record) unusedAttestation() *Attestation {
	for i := range r.Attestations {
		if !r.Attestations[i].Used {
			return &r.Attestations[i]
		}
	}
	return nil
}
