package deadletter

import (
	"fmt"
	"time"
)

// Idempotency says what a second execution of a message would do, as in the settings.
type Idempotency int

// The effects of a class.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NotIdempotent
)

// Class is what the rules need to know of a class of message.
type Class struct {
	Name            string        `json:"Name"`
	Idempotency     Idempotency   `json:"Effect"`
	KeyTTL          time.Duration `json:"Memory"`   // keyed: how long destinations drop a repeat
	MaxAttempts     int           `json:"Attempts"` // allowed, over the whole lineage
	ClientsResubmit bool          `json:"Returns"`  // clients come again with what was handed back to them, to this relay or another
	HasSubject      bool          `json:"Subject"`  // its messages have a subject, and the newest of one is not to be overwritten
}

// keyMargin of a key's memory is not used: the attempt that begins now reaches the destination later, and clocks differ.
const keyMargin = 2 * time.Second

// Permission says whether a message may be sent again.
type Permission struct {
	Allowed     bool
	Superseded  string       // by this newer one; then it is over
	Attestation *Attestation // the one that is used up by the redelivery; nil: none is needed
	Reason      string       // in plain words
	RetryAt     time.Time    // not allowed: when to look at it again; zero: time alone changes nothing
}

// Newer tells which message of the same topic has overtaken one, or "", and whether an empty answer can be relied on.
type Newer func(r *Record) (by string, known bool)

// denied is the verdict that a message may not be sent again, with the reason.
func denied(format string, args ...any) Permission {
	return Permission{Reason: fmt.Sprintf(format, args...)}
}

// Allowed decides whether a message may be sent again at a time. Nothing else does.
func Allowed(c *Class, r *Record, newer Newer, now time.Time) Permission {
	switch {
	case c == nil:
		return denied("its class %q is not in the relay's settings", r.Class)
	case r.State.Ended():
		return denied("it is %s already", r.State)
	case r.State == Redelivering:
		return denied("it is being resent at this moment")
	case len(r.Incarnations) == 0:
		return denied("its record has no history")
	case now.Before(r.latest()):
		// Guards against a clock that was set back: how long ago an attempt was is not known.
		v := denied("the clock stands before the last that is known of it, %s", r.latest().Format(time.RFC3339))
		v.RetryAt = r.latest()
		return v
	case r.Attempts() >= c.MaxAttempts:
		return denied("it has had %d attempts, and its class is allowed %d", r.Attempts(), c.MaxAttempts)
	}
	if c.HasSubject {
		switch by, known := newer(r); {
		case by != "":
			return Permission{Superseded: by, Reason: fmt.Sprintf("a newer message of %q, %s, has overtaken it", r.Subject, by)}
		case r.Subject == "":
			return denied("its subject can't be read from it, and a newer message of it may have been delivered")
		case !known:
			return denied("whether a newer message of %q was delivered can't be told", r.Subject)
		}
	}
	return allowedByEffect(c, r, now)
}

// allowedByEffect decides by what a second execution of a message would do, and by what is known of its attempts.
func allowedByEffect(c *Class, r *Record, now time.Time) Permission {
	ran := r.MayHaveExecuted()
	switch {
	case c.Idempotency == Idempotent:
		return Permission{Allowed: true, Reason: "its class is safe to repeat"}
	case c.ClientsResubmit && r.wasReturnedToClient():
		// Guards against an effect under two ids: the client may have submitted it anew, and had it delivered by any relay.
	case ran == nil:
		return Permission{Allowed: true, Reason: "no attempt can have run"}
	case c.Idempotency == IdempotentByKey && ran.Execution != Executed && now.Add(keyMargin).Before(ran.StartedAt.Add(c.KeyTTL)):
		return Permission{Allowed: true, Reason: "its partner still remembers its key"}
	}
	if a := r.unusedAttestation(); a != nil {
		return Permission{Allowed: true, Attestation: a, Reason: fmt.Sprintf("%s attests that the partner does not have it", a.By)}
	}
	if c.ClientsResubmit && r.wasReturnedToClient() {
		return denied("its client was told that it may come again with it, and may have done so")
	}
	if c.Idempotency == IdempotentByKey {
		return denied("an attempt at %s may have run, and its key is remembered for %v only", ran.StartedAt.Format(time.RFC3339), c.KeyTTL)
	}
	return denied("an attempt at %s may have run, and its class may not be repeated", ran.StartedAt.Format(time.RFC3339))
}
