package deadletter

import (
	"fmt"
	"time"
)

// Idempotency says whether the messages of a class may be executed a second time. The settings define it for each class.
type Idempotency int

// The values of Idempotency.
const (
	Idempotent      Idempotency = iota // a second execution does no harm
	IdempotentByKey                    // destinations drop a repeated message while its key's TTL lasts
	NotIdempotent                      // a message must not be executed twice
)

// Class is the part of a class's settings on which redelivery depends.
type Class struct {
	Name            string        `json:"Name"`
	Idempotency     Idempotency   `json:"Effect"`
	KeyTTL          time.Duration `json:"Memory"`   // for IdempotentByKey: how long destinations remember an idempotency key
	MaxAttempts     int           `json:"Attempts"` // limit over all incarnations of a message
	ClientsResubmit bool          `json:"Returns"`  // clients submit rejected messages again, to this relay or another
	HasSubject      bool          `json:"Subject"`  // its messages have a subject, and an older one must not overwrite a newer one
}

// KeyMargin is how long before the end of a key's TTL redeliveries stop, because an attempt reaches the destination some
// time after it begins, and because clocks differ.
const KeyMargin = 2 * time.Second

// Permission is the decision whether a message may be sent again.
type Permission struct {
	Allowed     bool
	Superseded  string       // id of a newer message that supersedes the message, or ""
	Attestation *Attestation // the attestation that the redelivery uses up; nil: it needs none
	Reason      string       // in words for operators
	RetryAt     time.Time    // if not allowed: when to decide again; zero: time alone does not change the decision
}

// Newer looks up a newer message of the same topic. It returns the id of that message, or "" if it finds none. known is
// false if it finds none but there may be one.
type Newer func(r *Record) (id string, known bool)

// denied returns the decision that a message may not be sent again, with the reason.
func denied(format string, args ...any) Permission {
	return Permission{Reason: fmt.Sprintf(format, args...)}
}

// Allowed decides whether a message may be sent again at a given time. Every redelivery requires its permission, including a
// redelivery that an operator asks for. The permission holds at that time only. The relay checks it again when it sends, against
// Record.EarlierAttempts and KeyMargin.
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
		// The clock was set back, so the time since the last attempt is unknown.
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

// allowedByIdempotency decides by the idempotency of the message's class, and by whether an attempt may have been executed.
func allowedByIdempotency(c *Class, r *Record, now time.Time) Permission {
	attempt := r.MayHaveExecuted()
	switch {
	case c.Idempotency == Idempotent:
		return Permission{Allowed: true, Reason: "its class is safe to repeat"}
	case c.ClientsResubmit && r.wasReturnedToClient():
		// The client may have submitted the message again under another id, and any relay may have delivered that submission.
	case attempt == nil:
		return Permission{Allowed: true, Reason: "no attempt can have run"}
	case c.Idempotency == IdempotentByKey && attempt.Execution != Executed && now.Add(KeyMargin).Before(attempt.StartedAt.Add(c.KeyTTL)):
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
