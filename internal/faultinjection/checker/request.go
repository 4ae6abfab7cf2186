package checker

import (
	"net/http"
	"time"
)

// unset is the time of an event that has not happened.
const unset = time.Duration(-1)

// attempt is one attempt of a relay to deliver a request, or a health check of an endpoint.
type attempt struct {
	relay, destination  int
	endpoint            string
	firstByte, lastByte time.Duration
	endedAt             time.Duration // unset: the attempt never ended
	outcome             string
	retryAfter          time.Duration
	status              int           // 410 or 504, if the response said that the request or its attempts have ended; 0 otherwise
	readAt              time.Duration // when the relay had read a response that ends the attempts of its request; unset: it may not have read it
	probe               bool
}

// endsRequest reports whether the response to the attempt forbids further attempts of its request.
func (a *attempt) endsRequest() bool {
	return a.outcome == OK || a.status == http.StatusGone || a.status == http.StatusGatewayTimeout
}

// mayHaveExecuted reports whether the relay had to assume that the destination executed the attempt. Only a rejection, or a
// response that the attempt counts as not sent, proves that it was not executed.
func (a *attempt) mayHaveExecuted() bool {
	return a.outcome != Rejected && a.outcome != RetryAfter && a.outcome != NotSent
}

// failed reports whether the attempt showed the relay that the destination failed or rejected it.
func (a *attempt) failed() bool { return a.outcome != OK && a.outcome != NotSent }

// overlaps reports whether an attempt was still in flight when the last byte of a later attempt was sent.
func (a *attempt) overlaps(later *attempt) bool {
	return a.endedAt < 0 || a.endedAt > later.lastByte+socketSlack
}

// request is a message under one id. A message has several ids if its client submitted it again or a relay redelivered it.
type request struct {
	id                          string
	message, relay, destination int
	class                       int
	orderKey                    string
	subject                     string
	submittedAt, deadline       time.Duration
	answeredAt                  time.Duration // unset: there was no response
	status                      int           // HTTP status of the response
	accepted                    bool
	attempts                    []*attempt
	deliveredAt                 time.Duration // unset: not delivered
	expiredAt                   time.Duration // when an endpoint responded to an attempt that the request is over; unset: none did
	notices                     []Event
	executions                  int             // number of times that a destination executed it
	redelivery                  bool            // sent by the relay itself, under an id that the relay generated
	fromStore                   bool            // the message was a dead letter before the run
	closedAt                    []time.Duration // when the relay closed its connection without a response
	closedOn                    []Event         // events of kind ClosedOnRequest
	machineLostAt               time.Duration   // when the relay's machine was lost; unset: it was not
}

// newRequest returns the request of an event, without a response, an attempt or an outcome.
func newRequest(e Event) *request {
	return &request{
		id: e.ID, message: e.Message, relay: e.Relay, destination: e.Destination, class: e.Class, orderKey: e.OrderKey, subject: e.Subject,
		submittedAt: e.At, deadline: e.At + e.Duration,
		answeredAt: unset, deliveredAt: unset, expiredAt: unset, machineLostAt: unset,
	}
}

// completedAt returns when a request reached its terminal outcome, or unset.
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

// read reads an event that concerns only this request.
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
