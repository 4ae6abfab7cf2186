package checker

import "time"

// unset is the time of what has not happened.
const unset = time.Duration(-1)

// attempt is one attempt of a relay at a request, or a health check of an endpoint.
type attempt struct {
	relay, destination  int
	endpoint            string
	firstByte, lastByte time.Duration
	endedAt             time.Duration // unset: never
	outcome             string
	retryAfter          time.Duration
	probe               bool
}

// mayHaveExecuted reports whether the relay had to assume that the attempt was executed: only a rejection proves that it was
// not.
func (a *attempt) mayHaveExecuted() bool {
	return a.outcome != Rejected && a.outcome != RetryAfter && a.outcome != NotSent
}

// failed reports whether the relay observed that the destination failed or rejected.
func (a *attempt) failed() bool { return a.outcome != OK && a.outcome != NotSent }

// overlaps reports whether an attempt was still in flight when the last byte of a later one was sent.
func (a *attempt) overlaps(later *attempt) bool {
	return a.endedAt < 0 || a.endedAt > later.lastByte+socketSlack
}

// request is a message under one id, as a client submitted it or a relay redelivered it.
type request struct {
	id                          string
	message, relay, destination int
	class                       int
	orderKey                    string
	subject                     string
	submittedAt, deadline       time.Duration
	answeredAt                  time.Duration // unset: never
	status                      int           // of the response
	accepted                    bool
	attempts                    []*attempt
	deliveredAt                 time.Duration // unset: not
	expiredAt                   time.Duration // when an endpoint answered an attempt that the deadline has passed; unset: not
	notices                     []Event
	executions                  int             // how often a destination executed it
	redelivery                  bool            // under an id of the relay's making
	fromStore                   bool            // it was a dead letter before the run
	closedAt                    []time.Duration // when its connection was closed without a response
	closedOn                    []Event         // ClosedOnRequest
	machineLostAt               time.Duration   // unset: not
}

// newRequest returns a request to which nothing has happened.
func newRequest(e Event) *request {
	return &request{
		id: e.ID, message: e.Message, relay: e.Relay, destination: e.Destination, class: e.Class, orderKey: e.OrderKey, subject: e.Subject,
		submittedAt: e.At, deadline: e.At + e.Duration,
		answeredAt: unset, deliveredAt: unset, expiredAt: unset, machineLostAt: unset,
	}
}

// completedAt is when a request came to its terminal outcome, or unset.
func (r *request) completedAt() time.Duration {
	completed := r.deliveredAt
	if len(r.notices) > 0 && (completed < 0 || r.notices[0].At < completed) {
		completed = r.notices[0].At
	}
	if r.expiredAt >= 0 && (completed < 0 || r.expiredAt < completed) {
		completed = r.expiredAt
	}
	return completed
}

// read reads an event that concerns this request alone.
func (r *request) read(e Event) {
	switch e.Kind {
	case Answered:
		if r.answeredAt < 0 {
			r.answeredAt, r.status = e.At, e.Status
			r.accepted = isAcceptance(e.Status)
		}
	case Executed:
		r.executions++
	case Notified:
		r.notices = append(r.notices, e)
	case ClosedOnRequest:
		r.closedOn = append(r.closedOn, e)
	case AnswerMissed:
		if e.OK {
			r.closedAt = append(r.closedAt, e.At)
		}
	default:
	}
}
