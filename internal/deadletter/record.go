// Package deadletter keeps messages that were taken on and not delivered, and decides which of them may be sent
// again. Its decisions (Allowed, Rules, Newest) know neither the clock nor a file: times come in as arguments.
package deadletter

import "time"

// Version is the form of records as they are written; older ones are still read.
const Version = 1

// Ran says what is known of whether an attempt had its effect.
type Ran string

// What may be known. An attempt of which nothing is known may have run.
const (
	Never Ran = "never"
	May   Ran = "may"
	Did   Ran = "did"
)

// Reason says why a message was not delivered.
type Reason string

// The reasons.
const (
	RefusedLate  Reason = "refused-late"     // handed back after it had been taken on
	OutOfTime    Reason = "out-of-time"      // its time was up
	Spent        Reason = "attempts-spent"   // it had all its attempts
	Doubtful     Reason = "may-have-run"     // it may have run, and may not be repeated
	Settings     Reason = "settings-changed" // its class or partner is no longer known
	ProcessEnded Reason = "process-ended"    // it was over when a later process took it up
	Overtaken    Reason = "overtaken"        // a newer message came before its resend, or while that was out
	AtArrival    Reason = "refused"          // never taken on: refused at its arrival
)

// reasons are all of them, as rules may name them.
var reasons = []Reason{RefusedLate, OutOfTime, Spent, Doubtful, Settings, ProcessEnded, Overtaken, AtArrival}

// Attempt is one call that was made for a message.
type Attempt struct {
	Host    string    `json:"host"`
	Begun   time.Time `json:"begun"`
	Ended   time.Time `json:"ended,omitzero"`
	Outcome string    `json:"outcome,omitempty"`
	Ran     Ran       `json:"ran"`
}

// Life is one time that a message was taken on, from the first to the last resend.
type Life struct {
	ID       string    `json:"id"`
	Relay    string    `json:"relay"`
	Taken    time.Time `json:"taken"`
	Expires  time.Time `json:"expires"` // the client's deadline, or the resend's
	Over     time.Time `json:"over"`
	Reason   Reason    `json:"reason"`
	Status   string    `json:"status"` // of the notice
	Attempts []Attempt `json:"attempts"`
	Attest   *Attest   `json:"attest,omitempty"` // on which it was resent
}

// Attest is a named operator's word that a partner does not have a message. It serves for one resend.
type Attest struct {
	By       string    `json:"by"`
	Evidence string    `json:"evidence"`
	At       time.Time `json:"at"`
	Used     bool      `json:"used"`
}

// State is where a kept message stands.
type State string

// The states. Held, Due and Out are open; the rest are ends.
const (
	Held       State = "held"
	Due        State = "due" // by a rule, or because an operator asked
	Out        State = "out" // being resent
	Delivered  State = "delivered"
	Superseded State = "superseded"
	Discarded  State = "discarded"
)

// Ended tells whether nothing more will be done for a message.
func (s State) Ended() bool { return s == Delivered || s == Superseded || s == Discarded }

// Record is a message as it is kept. The first life's id is its name for good.
type Record struct {
	Version  int       `json:"version"`
	ID       string    `json:"id"`
	Class    string    `json:"class"`
	Tenant   string    `json:"tenant,omitempty"`
	Partner  int       `json:"partner"`
	Key      string    `json:"key,omitempty"`
	Item     string    `json:"item,omitempty"`    // what its class keeps order by
	Subject  string    `json:"subject,omitempty"` // what it is about, where the operator names that
	Order    *Order    `json:"order,omitempty"`
	Lives    []Life    `json:"lives"`
	State    State     `json:"state"`
	Why      string    `json:"why,omitempty"`   // of its state, in words
	Since    time.Time `json:"since"`           // of its state
	Due      time.Time `json:"due,omitzero"`    // when to look at it again by itself
	Asked    bool      `json:"asked,omitempty"` // an operator wants it resent
	Kept     bool      `json:"kept,omitempty"`  // by an operator: no rule resends it
	Attests  []Attest  `json:"attests,omitempty"`
	BodySize int       `json:"body_size"`
}

// topic is what a message is about.
func (r *Record) topic() Topic { return Topic{r.Class, r.Partner, r.Subject} }

// Last is the latest life.
func (r *Record) Last() *Life { return &r.Lives[len(r.Lives)-1] }

// Attempts counts the attempts of the whole lineage.
func (r *Record) Attempts() (n int) {
	for i := range r.Lives {
		n += len(r.Lives[i].Attempts)
	}
	return n
}

// MayHaveRun gives the first attempt of the whole lineage that may have had its effect, or nil. An attempt before a
// life that was resent on an attest does not count: a person has said that the partner does not have it.
func (r *Record) MayHaveRun() *Attempt {
	from := 0
	for i := range r.Lives {
		if r.Lives[i].Attest != nil {
			from = i
		}
	}
	for i := from; i < len(r.Lives); i++ {
		for j := range r.Lives[i].Attempts {
			if a := &r.Lives[i].Attempts[j]; a.Ran != Never {
				return a
			}
		}
	}
	return nil
}

// wasReturnedToClient tells whether the client was told that it may come again with the message, and nobody has vouched since
// that it did not.
func (r *Record) wasReturnedToClient() bool {
	if r.Lives[0].Status != deferred && r.Lives[0].Reason != AtArrival {
		return false
	}
	for i := range r.Lives {
		if r.Lives[i].Attest != nil {
			return false
		}
	}
	return true
}

// neverAccepted tells whether a message was never taken on.
func (r *Record) neverAccepted() bool { return len(r.Lives) == 1 && r.Lives[0].Reason == AtArrival }

// deferred is the status of a notice that hands a message back.
const deferred = "deferred"

// latest is the last time that the record knows of.
func (r *Record) latest() time.Time {
	t := r.Since
	for i := range r.Lives {
		if l := &r.Lives[i]; l.Over.After(t) {
			t = l.Over
		}
	}
	return t
}

// unusedAttestation gives an attest that was not used yet, or nil.
func (r *Record) unusedAttestation() *Attest {
	for i := range r.Attests {
		if !r.Attests[i].Used {
			return &r.Attests[i]
		}
	}
	return nil
}
