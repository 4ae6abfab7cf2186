package relay

import (
	"net/http"

	"frostlink/internal/admin"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
)

// handleSubmission takes in a request that a client submits.
func (l *loop) handleSubmission(s *frontend.Submission) {
	switch quiet, connected := s.Quiet(); {
	case !connected:
		// The client left before a response: it may submit the request again, and this copy counts for nothing.
		s.Response <- frontend.Response{}
		return
	case !quiet:
		// More has come than the request's length says, or a request that nobody is to send yet.
		s.Response <- frontend.RejectMalformed(http.StatusBadRequest)
		return
	}
	receivedAt := l.timeline.InstantOf(s.ReceivedAt)
	s.Entry.AcceptedAt, s.Entry.Deadline = receivedAt, receivedAt.Add(s.TimeLeft)
	if r := l.requests[s.Entry.ID]; r != nil {
		l.handleDuplicate(r, s)
		return
	}
	if l.journal.IsCompleted(s.Entry.ID) {
		// Guards against a copy that comes after the request was completed: executed anew it could have its effect twice.
		l.respondToDuplicate(s, http.StatusAccepted)
		return
	}
	if !l.destinations[s.Entry.Destination] || !l.reserveJournalSpace(s.Entry) {
		// Guards the dispatcher against destinations that no list has named, and the disk against overflow.
		l.rejectSubmission(s)
		return
	}
	l.admitSubmission(s)
}

// handleDuplicate takes in a submission of a request that is held, as a client repeats it when its connection broke.
func (l *loop) handleDuplicate(r *request, s *frontend.Submission) {
	if len(r.responses) > 0 { // a candidate of this batch: both get the same response, once it is recorded
		r.responses = append(r.responses, s.Response)
		return
	}
	// Also where its terminal outcome is decided and only the platform is still to be notified: it was accepted under this id,
	// and completes once. A rejection would say that it was never executed, which is not known.
	l.respondToDuplicate(s, http.StatusAccepted)
}

// respondToDuplicate answers a request that is submitted under an id that is known.
func (l *loop) respondToDuplicate(s *frontend.Submission, status int) {
	l.traceEvent(trace.Event{
		Kind: trace.Resubmitted, ID: s.Entry.ID, Class: s.Entry.Class, Destination: s.Entry.Destination, Count: status, Retry: s.ClientRetry,
	})
	s.Response <- frontend.Response{Status: status}
}

// rejectSubmission rejects a submission before the dispatcher sees it.
func (l *loop) rejectSubmission(s *frontend.Submission) {
	l.metrics.Completed(s.Entry.Class, admin.Shed, false)
	l.traceRejected(s.Entry, s.ClientRetry, l.rejectionReason(s.Entry), l.cfg.policy.MaxRetryAfter)
	s.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
}

// rejectionReason says why a submission is rejected before the dispatcher sees it.
func (l *loop) rejectionReason(e *journal.Entry) string {
	switch {
	case !l.destinations[e.Destination]:
		return rejectedUnlisted
	case l.journal.Failed():
		return rejectedNoFolder
	}
	return rejectedNoSpace
}

// admitSubmission has the dispatcher decide on a submission.
func (l *loop) admitSubmission(s *frontend.Submission) {
	for _, sub := range l.subsystems {
		sub.submitted(s.Entry)
	}
	l.addCandidate(&request{Entry: s.Entry, responses: []chan frontend.Response{s.Response}, retryInfo: s.ClientRetry})
}

// reserveJournalSpace reserves room in the journal for a request. Where there is none, requests that only a subsystem
// needs make room, the oldest first: to keep them must not stop the relay's main job.
func (l *loop) reserveJournalSpace(e *journal.Entry) bool {
	for !l.journal.Reserve(e) {
		if l.journal.Failed() { // space is not what it lacks
			return false
		}
		if !l.freeJournalSpace() {
			return false
		}
	}
	return true
}

// expireCompleted drops the ids of completed requests whose copies can't come any more.
func (l *loop) expireCompleted() {
	l.journal.ExpireCompleted(l.timeline.Now().Add(-l.cfg.longestDeadline()))
}
