package policy

import "time"

// backgroundSeqOffset is added to the sequence number of a background message, so that the message
// is queued behind all others. It is larger than the number of messages that a process can accept.
const backgroundSeqOffset = 1 << 40

// messageState says whether a message has its terminal outcome, and whether that outcome still has
// to be acknowledged. The transitions:
//
//	from            to              on
//	active          completed       delivery, cancellation, or an outcome without acknowledgement
//	active          unacknowledged  an outcome that must be acknowledged (completeWithNotice)
//	unacknowledged  completed       Acknowledged
//
// An active message is queued (queue is set), has attempts in flight or awaits admission in the
// current batch. A completed message is evicted when none of its attempts is in flight and the
// cooldown of its order key has ended.
type messageState int

const (
	messageActive         messageState = iota // no terminal outcome yet
	messageUnacknowledged                     // terminal outcome given, but not acknowledged yet
	messageCompleted                          // terminal outcome given or message cancelled; no acknowledgement pending
)

// message is a message that has arrived and is not evicted yet.
type message struct {
	Arrived
	// terms are the class terms that apply to the message: those at its acceptance, made stricter
	// where later settings have stricter idempotency.
	terms         *Class
	seq           int // position in a queue: lower numbers first
	deadline      time.Duration
	state         messageState
	queue         *queue    // nil if the message is not queued
	earlier       []attempt // of the same message under other IDs
	attempts      []attempt
	openAttempts  int           // attempts in flight
	attemptsEnded bool          // a response forbids further attempts
	cooldownUntil time.Duration // end of the cooldown of its order key
}

// attemptState says whether an attempt has an outcome and whether it may have executed.
type attemptState int

const (
	attemptInFlight    attemptState = iota // no outcome yet; may have executed
	attemptEnded                           // has an outcome; may have executed
	attemptNotExecuted                     // has an outcome that proves that the attempt did not execute
)

// attempt is an attempt of a message, carried by a call.
type attempt struct {
	call  *call
	sent  time.Duration
	state attemptState
	// answered reports that a response has arrived and counts for the call, while it is not certain yet that it belongs to the
	// message.
	answered   bool
	retryAfter time.Duration // the wait that this response asks for
}

// accept registers a new message. A message with an unknown class or an ID in use is ignored.
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
	for _, earlier := range e.EarlierAttempts {
		m.earlier = append(m.earlier, d.endedAttempt(m, earlier))
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

// firstExecuted returns the first attempt under any ID that may have executed, or nil.
func (m *message) firstExecuted() *attempt {
	for _, attempts := range [][]attempt{m.earlier, m.attempts} {
		for i := range attempts {
			if attempts[i].state != attemptNotExecuted {
				return &attempts[i]
			}
		}
	}
	return nil
}

// attemptsExhausted reports whether a message has had all attempts that the settings allow, under
// all its IDs together.
func (d *Dispatcher) attemptsExhausted(m *message) bool {
	return m.attemptsEnded || len(m.earlier)+len(m.attempts) >= d.settings.MaxAttempts
}
