package relay

import (
	"net/http"

	"frostlink/internal/admin"
	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// This file takes in messages as they are handed in, and copies of those that are known.

// arrive takes in a message that is handed in.
func (l *loop) arrive(a *frontend.Submission) {
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
	if m := l.messages[a.Entry.ID]; m != nil {
		// The same message once more, as after a connection that broke: it is ours already, unless it is over.
		switch {
		case len(m.verdicts) > 0: // in this batch: the same answer, once it is recorded
			m.verdicts = append(m.verdicts, a.Response)
		default:
			// Also where its end is decided and only the platform is still to hear of it: it was taken on under this id, and
			// ends once. A refusal would say that it never ran, which is not known of one that may have.
			l.answerAgain(a, http.StatusAccepted)
		}
		return
	}
	if l.journal.IsCompleted(a.Entry.ID) {
		// Guards against a copy that comes when its message is over: made anew it could have its effect twice.
		l.answerAgain(a, http.StatusAccepted)
		return
	}
	if !l.dests[a.Entry.Destination] || !l.reserve(a.Entry) {
		// Guards the module against destinations that no list has named, and the disk against overflow.
		l.book.Completed(a.Entry.Class, admin.Shed, false)
		l.traceTurn(a.Entry, a.Retry, l.unacceptable(a.Entry), l.cfg.policy.MaxRetryAfter)
		a.Response <- frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
		return
	}
	if l.keeper == nil {
		a.Entry.Tenant, a.Entry.AcceptedAt = "", 0 // nobody will ask
	}
	if a.Entry.Order != nil {
		l.arrivals = max(l.arrivals+1, int64(l.timeline.Now()))
		a.Entry.Order.Arrival = l.arrivals
	}
	m := &message{Entry: a.Entry, verdicts: []chan frontend.Response{a.Response}, retry: a.Retry}
	l.messages[m.ID] = m
	l.fresh = append(l.fresh, m)
	l.events = append(l.events, policy.Arrived{
		ID: m.ID, Class: l.class(m.Class), Destination: m.Destination, OrderKey: m.OrderKey,
		TimeLeft: m.Deadline.Sub(l.timeline.Now()),
	})
}

// unacceptable says why a message is refused before the module hears of it.
func (l *loop) unacceptable(e *journal.Entry) string {
	switch {
	case !l.dests[e.Destination]:
		return refusedUnlisted
	case l.journal.Failed():
		return refusedNoFolder
	}
	return refusedNoRoom
}

// answerAgain answers a message that is handed in under an id that is known.
func (l *loop) answerAgain(a *frontend.Submission, status int) {
	l.note(trace.Event{Kind: trace.Resubmitted, ID: a.Entry.ID, Class: a.Entry.Class, Destination: a.Entry.Destination, Count: status, Retry: a.Retry})
	a.Response <- frontend.Response{Status: status}
}

// forgetEnds drops the ids of messages whose copies can't come any more.
func (l *loop) forgetEnds() { l.journal.ExpireCompleted(l.timeline.Now().Add(-l.cfg.longest())) }
