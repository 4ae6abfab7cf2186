package checker

import (
	"slices"
	"time"
)

// unset stands for a time at which nothing happened.
const unset = time.Duration(-1)

// attempt is one call that a relay made for a request, or a probe of an endpoint.
type attempt struct {
	relay, destination  int
	endpoint            string
	firstByte, lastByte time.Duration
	endedAt             time.Duration // unset: never
	outcome             string
	retryAfter          time.Duration
	probe               bool
}

// mayHaveExecuted reports what the relay could know: only a rejection proves that an attempt was not executed.
func (a *attempt) mayHaveExecuted() bool {
	return a.outcome != Rejected && a.outcome != RetryAfter && a.outcome != NotSent
}

// failed reports whether the relay saw the destination fail or reject.
func (a *attempt) failed() bool { return a.outcome != OK && a.outcome != NotSent }

// overlaps reports whether an attempt was still in flight when a later one was sent whole.
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
	status                      int           // of the answer
	accepted                    bool
	attempts                    []*attempt
	deliveredAt                 time.Duration // unset: not
	expiredAt                   time.Duration // when an attempt was answered that the deadline has passed; unset: not
	notices                     []Event
	effects                     int             // how often a destination executed it
	redelivery                  bool            // under an id of the relay's making
	fromStore                   bool            // it was a dead letter before the run
	closedAt                    []time.Duration // when its connection was, without an answer
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
	end := r.deliveredAt
	if len(r.notices) > 0 && (end < 0 || r.notices[0].At < end) {
		end = r.notices[0].At
	}
	if r.expiredAt >= 0 && (end < 0 || r.expiredAt < end) {
		end = r.expiredAt
	}
	return end
}

// history is a run, put together by request, attempt and relay.
type history struct {
	Parameters
	end              time.Duration // of the run
	requestsByID     map[string]*request
	requests         []*request // in order of submission
	attemptsByNumber map[int]*attempt
	attempts         []*attempt // probes too, by their last byte
	absences         absences
	processEnds      map[int][]time.Duration // by relay
	machineLosses    map[int][]time.Duration // by relay
	folderFailures   relayIntervals          // when each relay's folder failed
	socketFailures   relayIntervals          // when connections of each were made to look broken
	halts            relayIntervals          // when each did not run
	violations       []Violation
}

// readHistory puts a log together, whose events are in order of time. Attempts that belong to no request, or to one of another
// destination, are breaches.
func readHistory(f Parameters, log []Event, end time.Duration) *history {
	h := &history{
		Parameters: f, end: end, requestsByID: map[string]*request{}, attemptsByNumber: map[int]*attempt{}, absences: newAbsences(),
		processEnds: map[int][]time.Duration{}, machineLosses: map[int][]time.Duration{},
		folderFailures: newRelayIntervals(), socketFailures: newRelayIntervals(), halts: newRelayIntervals(),
	}
	for _, e := range log {
		h.readRequestEvent(e)
		h.readRelayEvent(e)
	}
	h.absences.finish()
	for _, r := range h.requests {
		for _, at := range h.machineLosses[r.relay] {
			if r.machineLostAt < 0 && at >= r.submittedAt {
				r.machineLostAt = at
			}
		}
	}
	return h
}

// addRequest adds a request under its id.
func (h *history) addRequest(r *request) {
	h.requestsByID[r.id] = r
	h.requests = append(h.requests, r)
}

// readRequestEvent reads an event that tells of a request or an attempt.
func (h *history) readRequestEvent(e Event) {
	switch e.Kind {
	case Submitted:
		h.addRequest(newRequest(e))
	case Redelivered, StoredBefore:
		r := newRequest(e)
		r.orderKey, r.deadline = "", never
		r.redelivery, r.fromStore = e.Kind == Redelivered, e.Kind == StoredBefore
		h.addRequest(r)
	case AttemptSent, Probed:
		h.addAttempt(e)
	case AttemptEnded:
		h.endAttempt(e)
	default:
		if r := h.requestsByID[e.ID]; r != nil {
			r.read(e)
		}
	}
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
		r.effects++
	case Notified:
		r.notices = append(r.notices, e)
	case AnswerMissed:
		if e.OK {
			r.closedAt = append(r.closedAt, e.At)
		}
	default:
	}
}

// addAttempt reads the last byte of an attempt or a probe.
func (h *history) addAttempt(e Event) {
	a := &attempt{
		relay: e.Relay, destination: e.Destination, endpoint: e.Endpoint, firstByte: e.FirstByte, lastByte: e.At, endedAt: unset,
		probe: e.Kind == Probed,
	}
	h.attemptsByNumber[e.Attempt] = a
	h.attempts = append(h.attempts, a)
	if a.probe {
		return
	}
	r := h.requestsByID[e.ID]
	if r == nil {
		h.report(UnknownRequest, e.At, e.ID, e.Relay, e.Destination, "call to %s for an id that no client handed in", e.Endpoint)
		return
	}
	if r.destination != e.Destination {
		h.report(WrongDestination, e.At, e.ID, e.Relay, r.destination, "call to %s, which is %s's", e.Endpoint, h.Destinations[e.Destination].Name)
	}
	r.attempts = append(r.attempts, a)
}

// endAttempt reads the outcome of an attempt.
func (h *history) endAttempt(e Event) {
	a := h.attemptsByNumber[e.Attempt]
	if a == nil || a.endedAt >= 0 {
		return
	}
	a.endedAt, a.outcome, a.retryAfter = e.At, e.Outcome, e.Duration
	r := h.requestsByID[e.ID]
	switch {
	case r == nil:
	case e.Outcome == OK && r.deliveredAt < 0:
		r.deliveredAt = e.At
	case e.Outcome == NotSent && a.lastByte > r.deadline && r.expiredAt < 0:
		r.expiredAt = e.At // the platform has told the relay that the deadline has passed: no outcome is owed any more
	}
}

// readRelayEvent reads an event that tells of a relay's process, machine, folder or sockets.
func (h *history) readRelayEvent(e Event) {
	switch e.Kind {
	case Stopping:
		h.absences.begin(e.Relay, e.At)
	case Halted:
		h.absences.begin(e.Relay, e.At)
		h.halts.begin(e.Relay, e.At)
	case Killed, Crashed:
		h.absences.begin(e.Relay, e.At)
		h.processEnds[e.Relay] = append(h.processEnds[e.Relay], e.At)
	case MachineLost:
		h.absences.begin(e.Relay, e.At)
		h.processEnds[e.Relay] = append(h.processEnds[e.Relay], e.At)
		h.machineLosses[e.Relay] = append(h.machineLosses[e.Relay], e.At)
	case Ready:
		h.absences.end(e.Relay, e.At+restartSlack)
	case Resumed:
		h.halts.end(e.Relay, e.At)
		h.absences.end(e.Relay, e.At+restartSlack)
	case SocketsBreak:
		h.socketFailures.begin(e.Relay, e.At)
	case SocketsHold:
		h.socketFailures.end(e.Relay, e.At)
	case FolderFails:
		h.folderFailures.begin(e.Relay, e.At)
	case FolderWorks:
		h.folderFailures.end(e.Relay, e.At)
	default:
	}
}

// idOf returns the id of the request for which an attempt was made, or "".
func (h *history) idOf(a *attempt) string {
	for _, r := range h.requests {
		if slices.Contains(r.attempts, a) {
			return r.id
		}
	}
	return ""
}
