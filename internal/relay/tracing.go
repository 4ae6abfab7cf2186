package relay

import (
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// traceEvent records an event with the current time, if a trace is configured.
func (l *loop) traceEvent(e trace.Event) {
	if l.trace != nil {
		l.trace.Record(l.now(), e)
	}
}

// reasonDoubtfulResponse is the trace's reason of an attempt whose response may belong to an earlier request on its connection.
const reasonDoubtfulResponse = "response in doubt"

// traceAttemptEnded records the end of an attempt.
func (l *loop) traceAttemptEnded(r *request, e attemptEnded) {
	if l.trace == nil {
		return
	}
	t := trace.Event{
		Kind: trace.AttemptEnded, ID: r.ID, Class: r.Class, Destination: r.Destination, Endpoint: e.endpoint,
		Outcome: outcomeNames[e.Outcome], Count: e.index + 1,
		DurationMs: milliseconds(e.latency), NewConn: e.NewConn, RetryAfterMs: milliseconds(e.RetryAfter),
	}
	if e.Doubt != upstream.NoDoubt {
		t.Reason = reasonDoubtfulResponse
	}
	if e.LoadReport != nil {
		t.RemainingFraction, t.RateLimit = e.LoadReport.Remaining, e.LoadReport.RateLimit
	}
	l.traceEvent(t)
}

// idempotencyNames are the trace's names for the idempotency of classes.
var idempotencyNames = map[policy.Idempotency]string{
	policy.Idempotent: trace.Idempotent, policy.IdempotentByKey: trace.IdempotentByKey, policy.NotIdempotent: trace.NotIdempotent,
}

// traceRequest records an event at the start of a request's lifecycle (accepted, rejected or recovered), with the terms of its
// class.
func (l *loop) traceRequest(kind trace.Kind, entry *journal.Entry, retryInfo string, t trace.Event) {
	if l.trace == nil {
		return
	}
	t.Kind, t.ID, t.Class, t.Destination = kind, entry.ID, entry.Class, entry.Destination
	t.TimeLeftMs = milliseconds(entry.Deadline.Sub(l.timeline.Now()))
	t.Key, t.Retry, t.Deadline = trace.Digest(entry.IdempotencyKey), retryInfo, float64(entry.Deadline)/float64(time.Millisecond)
	terms := l.journal.Terms(entry)
	if class := l.classIndex(entry.Class); terms == nil && class >= 0 {
		terms = &l.cfg.policy.Classes[class]
	}
	if terms != nil {
		t.Idempotency = idempotencyNames[terms.Idempotency]
		if terms.Idempotency == policy.IdempotentByKey {
			t.KeyTTLMs = milliseconds(terms.KeyTTL)
		}
	}
	l.traceEvent(t)
}

// The reasons that the trace states for rejections of requests before their acceptance.
const (
	rejectedUnlisted    = "no list names its destination"
	rejectedNoSpace     = "the journal has no room"
	rejectedNoFolder    = "the folder can't be written"
	rejectedByAdmission = "admission"
	rejectedUnrecorded  = "its record could not be written"
)

// milliseconds returns a duration in milliseconds, truncated to whole microseconds, as in trace events.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// traceRejected records that a request is rejected before it is accepted, with the reason and the Retry-After of the response.
func (l *loop) traceRejected(entry *journal.Entry, retryInfo, reason string, retryAfter time.Duration) {
	l.traceRequest(trace.Rejected, entry, retryInfo, trace.Event{DurationMs: float64(retryAfter.Milliseconds()), Reason: reason})
}

// traceRecovered records a request that was recovered from the journal.
func (l *loop) traceRecovered(entry *journal.Entry) {
	t := trace.Event{Count: len(entry.Attempts)}
	switch {
	case entry.PendingNotice != nil:
		t.Outcome = entry.PendingNotice.Status
	case entry.Delivered:
		t.Outcome = trace.Delivered
	}
	l.traceRequest(trace.Recovered, entry, "", t)
}

// traceCompleted records the terminal outcome of an accepted request, with the reason if it was not delivered.
func (l *loop) traceCompleted(r *request, outcome string) {
	if l.trace == nil {
		return
	}
	t := trace.Event{Kind: trace.Completed, ID: r.ID, Class: r.Class, Destination: r.Destination, Outcome: outcome}
	if outcome != trace.Delivered && outcome != trace.Withdrawn {
		t.Reason = string(l.failureReason(r, outcome))
	}
	if class := l.classIndex(r.Class); class >= 0 {
		terms := &l.cfg.policy.Classes[class]
		age := l.timeline.Now().Sub(r.Deadline) + terms.Deadline
		t.DurationMs, t.Late = float64(age.Milliseconds()), age > terms.LatencyObjective
	}
	l.traceEvent(t)
}
