package relay

import (
	"net/http"

	"frostlink/internal/admin"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// submissionReceived takes in a message that is handed in.
func (l *loop) submissionReceived(a *frontend.Submission) {
	switch quiet, there := a.Quiet(); {
	case !there:
		// The client left before an answer: it may hand the message in again, and this copy counts for nothing.
		a.Response <- frontend.Response{}
		return
	case !quiet:
		// More has come than the request's length says, or a request that nobody is to send yet.
		a.Response <- frontend.RejectMalformed(http.StatusBadRequest)
		return
	}
	came := l.timeline.InstantOf(a.ReceivedAt)
	a.Entry.AcceptedAt, a.Entry.Deadline = came, came.Add(a.TimeLeft)
	if m := l.requests[a.Entry.ID]; m != nil {
		// The same message once more, as after a connection that broke: it is ours already, unless it is over.
		switch {
		case len(m.responses) > 0: // in this batch: the same answer, once it is recorded
			m.responses = append(m.responses, a.Response)
		default:
			// Also where its end is decided and only the platform is still to hear of it: it was taken on under this id, and
			// ends once. A refusal would say that it never ran, which is not known of one that may have.
			l.answerDuplicate(a, http.StatusAccepted)
		}
		return
	}
	if l.journal.IsCompleted(a.Entry.ID) {
		// Guards against a copy that comes when its message is over: made anew it could have its effect twice.
		l.answerDuplicate(a, http.StatusAccepted)
		return
	}
	if !l.destinations[a.Entry.Destination] || !l.reserveJournalSpace(a.Entry) {
		// Guards the module against destinations that no list has named, and the disk against overflow.
		l.metrics.Completed(a.Entry.Class, admin.Shed, false)
		l.traceRejected(a.Entry, a.Retry, l.rejectionReason(a.Entry), l.cfg.policy.MaxRetryAfter)
		a.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
		return
	}
	if l.writer == nil {
		a.Entry.Tenant, a.Entry.AcceptedAt = "", 0 // nobody will ask
	}
	if a.Entry.Order != nil {
		l.lastArrival = max(l.lastArrival+1, int64(l.timeline.Now()))
		a.Entry.Order.Arrival = l.lastArrival
	}
	m := &request{Entry: a.Entry, responses: []chan frontend.Response{a.Response}, retryInfo: a.Retry}
	l.requests[m.ID] = m
	l.candidates = append(l.candidates, m)
	l.events = append(l.events, policy.Arrived{
		ID: m.ID, Class: l.class(m.Class), Destination: m.Destination, OrderKey: m.OrderKey,
		TimeLeft: m.Deadline.Sub(l.timeline.Now()),
	})
}

// rejectionReason says why a message is refused before the module hears of it.
func (l *loop) rejectionReason(e *journal.Entry) string {
	switch {
	case !l.destinations[e.Destination]:
		return rejectedUnlisted
	case l.journal.Failed():
		return rejectedNoFolder
	}
	return rejectedNoSpace
}

// answerDuplicate answers a message that is handed in under an id that is known.
func (l *loop) answerDuplicate(a *frontend.Submission, status int) {
	l.traceEvent(trace.Event{Kind: trace.Resubmitted, ID: a.Entry.ID, Class: a.Entry.Class, Destination: a.Entry.Destination, Count: status, Retry: a.Retry})
	a.Response <- frontend.Response{Status: status}
}

// expireCompleted drops the ids of messages whose copies can't come any more.
func (l *loop) expireCompleted() {
	l.journal.ExpireCompleted(l.timeline.Now().Add(-l.cfg.longestDeadline()))
}

// reserveJournalSpace keeps room in the journal for a message. Where there is none, the oldest of those that only wait for the
// store make room: keeping them is not to stop the relay's main job.
func (l *loop) reserveJournalSpace(e *journal.Entry) bool {
	for !l.journal.Reserve(e) {
		if l.journal.Failed() {
			return false // for want of no room
		}
		for len(l.awaitingStore) > 0 && l.awaitingStore[0].kept {
			l.awaitingStore = l.awaitingStore[1:]
		}
		if len(l.awaitingStore) == 0 {
			return false
		}
		m := l.awaitingStore[0]
		l.awaitingStore = l.awaitingStore[1:]
		l.dropped++
		l.journal.SetStore("") // until the store knows that something is missing
		l.writer.abandon(m)
		l.evict(m)
	}
	return true
}
