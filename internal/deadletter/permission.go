package deadletter

import (
	"fmt"
	"time"
)

// Idempotency is whether a message may be executed a second time, as the settings say of its class.
type Idempotency int

// The degrees of idempotency.
const (
	Idempotent      Idempotency = iota // a second execution does no harm
	IdempotentByKey                    // destinations drop a repeat while they remember its key
	NotIdempotent                      // it must not be executed twice
)

// Class is what the rules need to know of a class of messages.
type Class struct {
	Name            string        `json:"Name"`
	Idempotency     Idempotency   `json:"Effect"`
	KeyTTL          time.Duration `json:"Memory"`   // idempotent by key: how long destinations remember one
	MaxAttempts     int           `json:"Attempts"` // over all incarnations of a message
	ClientsResubmit bool          `json:"Returns"`  // clients submit rejected messages again, to this relay or another
	HasSubject      bool          `json:"Subject"`  // its messages have a subject, and an older one must not overwrite a newer one
}

// keyMargin is the part at the end of a key's TTL that is not used: an attempt that begins now reaches the destination
// later, and clocks differ.
const keyMargin = 2 * time.Second

// Permission is the decision whether a message may be sent again.
type Permission struct {
	Allowed     bool
	Superseded  string       // id of a newer message that supersedes it, if any
	Attestation *Attestation // the one that the redelivery uses; nil: it needs none
	Reason      string       // for people
	RetryAt     time.Time    // not allowed: when to decide again; zero: time alone changes nothing
}

// Newer looks up a newer message of the same topic. It returns its id, or "" and whether that proves that there is none.
type Newer func(r *Record) (id string, known bool)

// denied is the decision that a message may not be sent again, with the reason.
func denied(format string, args ...any) Permission {
	return Permission{Reason: fmt.Sprintf(format, args...)}
}

// Allowed decides whether a message may be sent again at a time. Every redelivery goes through it.
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
		permission := denied("the clock stands before the last that is known of it, %s", r.latest().Format(time.RFC3339))
		permission.RetryAt = r.latest()
		return permission
	case r.Attempts() >= c.MaxAttempts:
		return denied("it has had %d attempts, and its class is allowed %d", r.Attempts(), c.MaxAttempts)
	}
	if c.HasSubject {
		switch id, known := newer(r); {
		case id != "":
			return Permission{Superseded: id, Reason: fmt.Sprintf("a newer message of %q, %s, has overtaken it", r.Subject, id)}
		case r.Subject == "":
			return denied("its subject can't be read from it, and a newer message of it may have been delivered")
		case !known:
			return denied("whether a newer message of %q was delivered can't be told", r.Subject)
		}
	}
	return allowedByIdempotency(c, r, now)
}

// allowedByIdempotency decides by whether a message may be executed twice, and by what is known of its attempts.
func allowedByIdempotency(c *Class, r *Record, now time.Time) Permission {
	attempt := r.MayHaveExecuted()
	switch {
	case c.Idempotency == Idempotent:
		return Permission{Allowed: true, Reason: "its class is safe to repeat"}
	case c.ClientsResubmit && r.wasReturnedToClient():
		// Guards against an execution under two ids: the client may have submitted it again, and any relay delivered that.
	case attempt == nil:
		return Permission{Allowed: true, Reason: "no attempt can have run"}
	case c.Idempotency == IdempotentByKey && attempt.Execution != Executed && now.Add(keyMargin).Before(attempt.StartedAt.Add(c.KeyTTL)):
		return Permission{Allowed: true, Reason: "its partner still remembers its key"}
	}
	if a := r.unusedAttestation(); a != nil {
		return Permission{Allowed: true, Attestation: a, Reason: fmt.Sprintf("%s attests that the partner does not have it", a.By)}
	}
	if c.ClientsResubmit && r.wasReturnedToClient() {
		return denied("its client was told that it may come again with it, and may have done so")
	}
	if c.Idempotency == IdempotentByKey {
		return denied("an attempt at %s may have run, and its key is remembered for %v only", attempt.StartedAt.Format(time.RFC3339), c.KeyTTL)
	}
	return denied("an attempt at %s may have run, and its class may not be repeated", attempt.StartedAt.Format(time.RFC3339))
}
