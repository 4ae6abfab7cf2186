// Package invariant checks at run time what has to hold of every accepted message, apart from the code that decides: whether an
// attempt may be sent or repeated, a message ended, taken up by a later process, and a client's connection closed.
//
// A check that fails is a violation: it is counted by kind, logged with the message's id, and the effect that was asked for is
// not carried out. The checks rest on the journal's entry alone, never on the decision module's state.
package invariant

import (
	"log/slog"
	"sync/atomic"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// Kind says which invariant is violated.
type Kind int

// The kinds of violation.
const (
	SendAfterCompletion      Kind = iota // an attempt of a message whose terminal outcome is decided
	SendAfterDeadline                    // an attempt of a message whose time is up
	SendUnrecorded                       // an attempt whose record a later process would not find
	SecondAttempt                        // an attempt while another is out
	NonIdempotentRepeat                  // an attempt of an unsafe message that may have run
	ExpiredKeyRepeat                     // an attempt of a keyed message that may have run, when its key is not remembered any more
	CompletedTwice                       // a second terminal outcome
	CompletionOverdue                    // no terminal outcome when the message's time is up
	CompletionUnrecorded                 // an outcome told early whose record a later process would not find
	RecoveredAfterCompletion             // a message taken up by a later process though it was over
	ClosedUnanswered                     // a client's connection closed with a request that was read and not answered
	MixedClocks                          // a span taken from two kinds of clock
	kinds                                // their number
)

var names = [kinds]string{
	"send_after_end", "send_after_deadline", "send_unrecorded", "second_attempt", "unsafe_repeat",
	"expired_key_repeat", "end_twice", "end_overdue", "end_unrecorded", "resumed_after_end", "closed_unanswered", "mixed_clocks",
}

func (k Kind) String() string { return names[k] }

// LogMessage is the message under which violations are logged, whose attribute "kind" names the invariant.
const LogMessage = "invariant violated"

// Counts are the violations of a process by kind. It is safe for concurrent use.
type Counts struct{ of [kinds]atomic.Int64 }

// Record counts and logs a violation. args are further attributes of the log line, as slog takes them.
func (c *Counts) Record(k Kind, id string, args ...any) {
	c.of[k].Add(1)
	slog.Error(LogMessage, append([]any{"kind", k.String(), "request_id", id}, args...)...)
}

// ByKind gives the counts under the kinds' names, zeros too.
func (c *Counts) ByKind() map[string]int64 {
	by := make(map[string]int64, kinds)
	for k, name := range names {
		by[name] = c.of[k].Load()
	}
	return by
}

// Message is what the checks have to know of an accepted message.
type Message struct {
	*journal.Entry               // its attempts are those before the one that is asked for
	Terms          *policy.Class // of its class, as it was accepted; nil: not known
	Completed      bool          // its terminal outcome is decided
	InFlight       bool          // an attempt of this process is out
}

// CheckSend tells whether a further attempt of a message may be sent now, or which invariant that would violate.
func CheckSend(m Message, now clock.Instant) (k Kind, ok bool) {
	switch {
	case m.Completed:
		return SendAfterCompletion, false
	case m.InFlight:
		return SecondAttempt, false
	case now >= m.Deadline:
		return SendAfterDeadline, false
	case m.Terms == nil || m.Terms.Idempotency == policy.Idempotent:
		return 0, true
	}
	first, doubtful := firstDoubtful(m.Attempts)
	switch {
	case !doubtful:
		return 0, true
	case m.Terms.Idempotency == policy.NotIdempotent:
		return NonIdempotentRepeat, false
	case now.Sub(first) > m.Terms.KeyTTL:
		return ExpiredKeyRepeat, false
	}
	return 0, true
}

// firstDoubtful is when the first attempt began that may have run, if there is one.
func firstDoubtful(attempts []journal.Attempt) (begun clock.Instant, doubtful bool) {
	for _, a := range attempts {
		if !a.Ended || !a.NotExecuted {
			return a.StartedAt, true
		}
	}
	return 0, false
}

// endSlack is how long after its time a message's terminal outcome may be decided: the protocol allows 300 ms until it is told.
const endSlack = 200 * time.Millisecond

// heldUp is how much later than due it is asked for what is overdue by a process that was held up, as by a machine that stood still.
const heldUp = 100 * time.Millisecond

// Deadlines finds accepted messages that are not ended in time. The zero value holds none; it is not safe for concurrent use.
type Deadlines struct{ queue deadlineQueue }

// Add has a message watched until it is ended.
func (d *Deadlines) Add(id string, expires clock.Instant) {
	d.queue.push(deadline{id, expires.Add(endSlack)})
}

// Next is when a deadline is due that is not looked at yet; zero: there is none.
func (d *Deadlines) Next() clock.Instant {
	if len(d.queue) == 0 {
		return 0
	}
	return d.queue[0].at
}

// Overdue gives the messages whose outcome is due by now and, as open tells, not decided. Where it is asked late the process was held
// up: what was to end the message was too, and gets as long again.
func (d *Deadlines) Overdue(now clock.Instant, open func(id string) bool) (overdue []string) {
	for len(d.queue) > 0 && d.queue[0].at <= now {
		due := d.queue.pop()
		switch {
		case !open(due.id):
		case now.Sub(due.at) > heldUp:
			d.queue.push(deadline{due.id, now.Add(endSlack)})
		default:
			overdue = append(overdue, due.id)
		}
	}
	return overdue
}
