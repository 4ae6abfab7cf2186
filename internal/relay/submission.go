package relay

import (
	"math"
	"net/http"

	"frostlink/internal/admin"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
)

// smallBodySize is the size in bytes below which a body is read before the relay decides on its request: reading it costs less than
// closing the connection.
const smallBodySize = 2 << 10

// handleSubmission handles a submission of a client: it answers the submission, or makes the request a candidate.
func (l *loop) handleSubmission(s *frontend.Submission) {
	switch quiet, connected := s.Quiet(); {
	case !connected:
		// The client closed the connection before a response. It may submit the request again, so this copy is dropped.
		s.Response <- frontend.Response{}
		return
	case !quiet:
		// The connection has bytes beyond the request's length, or the next request before the response to this one.
		s.Response <- frontend.RejectMalformed(http.StatusBadRequest)
		return
	}
	receivedAt := l.timeline.InstantOf(s.ReceivedAt)
	s.Entry.AcceptedAt, s.Entry.Deadline = receivedAt, receivedAt.Add(s.TimeLeft)
	if l.answerCopy(s) {
		return
	}
	if !l.destinations[s.Entry.Destination] || !l.reserveJournalSpace(s.Entry) {
		// Guards the dispatcher against destinations that no endpoint list has named, and the disk against overflow.
		l.rejectSubmission(s)
		return
	}
	l.admitSubmission(s)
}

// handleShed answers a submission whose body was not read.
func (l *loop) handleShed(s *frontend.Submission) {
	if !l.answerCopy(s) {
		l.rejectSubmission(s)
	}
}

// answerCopy answers a submission whose id was accepted before, and reports whether it was.
func (l *loop) answerCopy(s *frontend.Submission) bool {
	if r := l.requests[s.Entry.ID]; r != nil {
		l.handleDuplicate(r, s)
		return true
	}
	if l.journal.IsCompleted(s.Entry.ID) {
		// Guards against a copy that arrives after the request was completed: executing it could repeat the effect.
		l.respondToDuplicate(s, http.StatusAccepted)
		return true
	}
	return false
}

// handleDuplicate handles a repeated submission of a request that the loop still holds. Clients repeat a submission when its
// connection breaks.
func (l *loop) handleDuplicate(r *request, s *frontend.Submission) {
	if len(r.responses) > 0 { // a candidate of this batch: both submissions get the same response, once the record is written
		r.responses = append(r.responses, s.Response)
		return
	}
	// This also holds if the terminal outcome is decided and only the notice is pending: the request was accepted under this id
	// and completes once. A rejection would claim that the request was never executed, which is not certain.
	l.respondToDuplicate(s, http.StatusAccepted)
}

// respondToDuplicate answers a submission whose id was accepted before.
func (l *loop) respondToDuplicate(s *frontend.Submission, status int) {
	l.traceEvent(trace.Event{
		Kind: trace.Resubmitted, ID: s.Entry.ID, Class: s.Entry.Class, Destination: s.Entry.Destination, Count: status, Retry: s.ClientRetry,
	})
	s.Response <- frontend.Response{Status: status}
}

// rejectSubmission rejects a submission without a decision of the dispatcher.
func (l *loop) rejectSubmission(s *frontend.Submission) {
	l.metrics.Completed(s.Entry.Class, admin.Shed, false)
	l.traceRejected(s.Entry, s.ClientRetry, l.rejectionReason(s.Entry), l.cfg.policy.MaxRetryAfter)
	s.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
}

// rejectionReason returns the reason that the trace states for a rejection by rejectSubmission.
func (l *loop) rejectionReason(e *journal.Entry) string {
	switch {
	case !l.destinations[e.Destination]:
		return rejectedUnlisted
	case l.journal.Failed():
		return rejectedNoFolder
	}
	return rejectedNoSpace
}

// admitSubmission makes a submission a candidate, so that the dispatcher decides on it in this batch.
func (l *loop) admitSubmission(s *frontend.Submission) {
	for _, sub := range l.subsystems {
		sub.submitted(s.Entry)
	}
	l.addCandidate(&request{Entry: s.Entry, responses: []chan frontend.Response{s.Response}, retryInfo: s.ClientRetry})
}

// reserveJournalSpace reserves space in the journal for a request. If the journal is full, it evicts requests that only a
// subsystem still needs, the oldest first: keeping them must not stop the relay from accepting new requests.
func (l *loop) reserveJournalSpace(e *journal.Entry) bool {
	for !l.journal.Reserve(e) {
		if l.journal.Failed() || !l.journal.CanRemember(e.ID) { // freeing space would not help
			return false
		}
		if !l.freeJournalSpace() {
			return false
		}
	}
	return true
}

// publishJournalSpace makes the space that is left in the journal known to hasJournalSpace. A subsystem may be able to free more.
func (l *loop) publishJournalSpace() {
	space := int64(math.MaxInt64)
	if l.cfg.deadLetterSection() == nil {
		space = int64(l.journal.SpaceLeft())
	}
	l.journalSpace.Store(space)
}

// hasJournalSpace reports whether the journal most likely has space for a request with a body of this size. Any goroutine may call
// it.
func (l *loop) hasJournalSpace(bodySize int) bool {
	return bodySize < smallBodySize || int64(bodySize) <= l.journalSpace.Load()
}

// expireCompleted drops the ids of requests that were completed longer ago than the longest deadline: a copy of such a
// request would be past its own deadline.
func (l *loop) expireCompleted() {
	l.journal.ExpireCompleted(l.timeline.Now().Add(-l.cfg.longestDeadline()))
}
