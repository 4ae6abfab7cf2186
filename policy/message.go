package policy

import "time"

// backgroundSeqOffset puts a background message behind all others of its queue: no process accepts
// as many.
const backgroundSeqOffset = 1 << 40

// messageState says what a message still owes and is owed. The transitions:
//
//	from            to              by
//	active          completed       delivery, cancellation, or an outcome without acknowledgement
//	active          unacknowledged  an outcome that must be acknowledged (completeWithNotice)
//	unacknowledged  completed       Acknowledged
//
// An active message is queued (queue is set) or has attempts in flight. A completed one is evicted
// once none of its attempts is in flight and its order key has cooled down.
type messageState int

const (
	messageActive         messageState = iota // has no terminal outcome yet
	messageUnacknowledged                     // its terminal outcome was given and is not acknowledged yet
	messageCompleted                          // nothing is owed any more
)

// message is a message that was accepted and is not evicted yet.
type message struct {
	Arrived
	// terms are those of its class that hold for it: as at its acceptance, or stricter by the
	// settings since.
	terms         *Class
	seq           int // order in its queue
	deadline      time.Duration
	state         messageState
	queue         *queue // where it is queued; nil while it is not
	attempts      []attempt
	openAttempts  int           // those in flight
	cooldownUntil time.Duration // its order key stays blocked until then
}

// attemptState says whether an attempt may have executed.
type attemptState int

const (
	attemptInFlight    attemptState = iota // has no outcome yet, and may execute
	attemptEnded                           // has an outcome, and may have executed
	attemptNotExecuted                     // has an outcome that proves that it did not execute
)

// attempt is one attempt of a message: its part of a call.
type attempt struct {
	call  *call
	sent  time.Duration
	state attemptState
}

// accept registers a new message. One of an unknown class, or with an ID that is in use, is
// ignored.
func (d *Dispatcher) accept(e Arrived) {
	if e.Class < 0 || e.Class >= len(d.settings.Classes) || d.messages[e.ID] != nil {
		return
	}
	d.lastSeq++
	m := &message{Arrived: e, terms: &d.settings.Classes[e.Class], seq: d.lastSeq, deadline: d.now + e.TimeLeft}
	if e.Terms != nil {
		m.terms = e.Terms.stricterTerms(m.terms)
	}
	if e.Background {
		m.seq += backgroundSeqOffset
	}
	d.messages[e.ID] = m
	d.unfinished = append(d.unfinished, m)
	if m.ordered() {
		d.orderKeys[m.OrderKey] = append(d.orderKeys[m.OrderKey], m)
	}
	if e.Recovered {
		d.recoverMessage(m)
		return
	}
	d.arrivals = append(d.arrivals, m)
}

// firstExecuted returns the first attempt that executed or may have, or nil.
func (m *message) firstExecuted() *attempt {
	for i := range m.attempts {
		if m.attempts[i].state != attemptNotExecuted {
			return &m.attempts[i]
		}
	}
	return nil
}
