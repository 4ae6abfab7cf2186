package relay

import (
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/policy"
)

// traceEvent notes an event of now, where a trace is wanted.
func (l *loop) traceEvent(e trace.Event) {
	if l.trace != nil {
		l.trace.Record(l.now(), e)
	}
}

// traceAttemptEnded notes the end of a call.
func (l *loop) traceAttemptEnded(m *request, e answered) {
	if l.trace == nil {
		return
	}
	t := trace.Event{
		Kind: trace.AttemptEnded, ID: m.ID, Class: m.Class, Destination: m.Destination, Endpoint: e.host, Outcome: outcomeNames[e.Outcome], Count: e.attempt + 1,
		Ms: float64(e.took.Microseconds()) / 1000, NewConn: e.NewConn, WaitMs: float64(e.RetryAfter.Microseconds()) / 1000,
	}
	if e.LoadReport != nil {
		t.Left, t.Limit = e.LoadReport.Remaining, e.LoadReport.RateLimit
	}
	l.traceEvent(t)
}

// idempotencyNames are those of classes, as the trace names them.
var idempotencyNames = map[policy.Idempotency]string{policy.Idempotent: trace.Idempotent, policy.IdempotentByKey: trace.IdempotentByKey, policy.NotIdempotent: trace.NotIdempotent}

// traceRequest notes what becomes of a message as it comes, with its terms.
func (l *loop) traceRequest(kind trace.Kind, m *journal.Entry, retry string, t trace.Event) {
	if l.trace == nil {
		return
	}
	t.Kind, t.ID, t.Class, t.Destination = kind, m.ID, m.Class, m.Destination
	t.LeftMs = milliseconds(m.Deadline.Sub(l.timeline.Now()))
	t.Key, t.Retry, t.Deadline = trace.Digest(m.IdempotencyKey), retry, float64(m.Deadline)/float64(time.Millisecond)
	terms := l.journal.Terms(m)
	if class := l.class(m.Class); terms == nil && class >= 0 {
		terms = &l.cfg.policy.Classes[class]
	}
	if terms != nil {
		t.Idempotency = idempotencyNames[terms.Idempotency]
		if terms.Idempotency == policy.IdempotentByKey {
			t.KeyTTLMs = float64(terms.KeyTTL.Microseconds()) / 1000
		}
	}
	l.traceEvent(t)
}

// Why messages are refused at their arrival, beside the reasons of package undelivered.
const (
	rejectedUnlisted    = "no list names its destination"
	rejectedNoSpace     = "the journal has no room"
	rejectedNoFolder    = "the folder can't be written"
	rejectedByAdmission = "admission"
	rejectedUnrecorded  = "its record could not be written"
)

// milliseconds is a span as traces have it, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// traceRejected notes a message that is refused at its arrival, why, and how long its client is to stay away.
func (l *loop) traceRejected(m *journal.Entry, retry, why string, away time.Duration) {
	l.traceRequest(trace.Rejected, m, retry, trace.Event{Ms: float64(away.Milliseconds()), Reason: why})
}

// traceRecovered notes a message that was taken up from the journal.
func (l *loop) traceRecovered(e *journal.Entry) {
	t := trace.Event{Count: len(e.Attempts)}
	switch {
	case e.PendingNotice != nil:
		t.Outcome = e.PendingNotice.Status
	case e.Delivered:
		t.Outcome = trace.Delivered
	}
	l.traceRequest(trace.Recovered, e, "", t)
}

// traceCompleted notes the end of a message that was accepted, and why it was not delivered.
func (l *loop) traceCompleted(m *request, how string) {
	if l.trace == nil {
		return
	}
	t := trace.Event{Kind: trace.Completed, ID: m.ID, Class: m.Class, Destination: m.Destination, Outcome: how}
	if how != trace.Delivered && how != trace.Withdrawn {
		t.Reason = string(l.reason(m, how))
	}
	if class := l.class(m.Class); class >= 0 {
		terms := &l.cfg.policy.Classes[class]
		age := l.timeline.Now().Sub(m.Deadline) + terms.Deadline
		t.Ms, t.Late = float64(age.Milliseconds()), age > terms.LatencyObjective
	}
	l.traceEvent(t)
}
