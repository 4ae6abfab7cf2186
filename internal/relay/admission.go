package relay

import (
	"net/http"

	"frostlink/internal/admin"
	"frostlink/internal/frontend"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// respond answers the requests that brought a message, where they are not answered yet.
func (l *loop) respond(m *request, written bool) {
	replies := m.responses
	switch {
	case replies == nil && (!m.Redelivery || m.over || written): // refused, or nobody waits for an answer
	case !written:
		// Where records may be in the file all the same a later process may deliver it: that is no promise of no effect.
		v := frontend.Response{Status: http.StatusServiceUnavailable, RetryAfter: l.cfg.policy.MaxRetryAfter}
		if l.journal.MayHoldUncommitted() {
			v = frontend.Response{Status: http.StatusBadGateway}
		}
		respondAll(replies, v)
		l.traceRejected(m.Entry, m.retryInfo, rejectedUnrecorded, v.RetryAfter)
		l.countCompleted(m, admin.Shed)
		l.events = append(l.events, policy.Cancelled{ID: m.ID})
		l.wakeAt = 0 // the module has an event to act on
	default:
		m.responses = nil
		respondAll(replies, frontend.Response{Status: http.StatusAccepted})
	}
}

// countAccepted has the figures count a message as taken on; resends are none of the clients'.
func (l *loop) countAccepted(m *request) {
	if !m.Redelivery {
		m.countedInFlight = true
		l.metrics.Accepted()
	}
}

// acceptCandidates takes on the arrivals of this batch that were not refused.
func (l *loop) acceptCandidates() {
	for _, m := range l.candidates {
		if !m.over {
			if class := l.class(m.Class); class >= 0 {
				l.journal.SetTerms(m.Entry, l.cfg.policy.Classes[class])
			}
			l.journal.Accept(m.Entry)
			l.traceRequest(trace.Accepted, m.Entry, m.retryInfo, trace.Event{})
			l.countAccepted(m)
			l.trackSubject(m)
			l.deadlines.Add(m.ID, m.Deadline)
		}
	}
}

// respondAll answers all requests that brought a message.
func respondAll(to []chan frontend.Response, v frontend.Response) {
	for _, c := range to {
		c <- v
	}
}
