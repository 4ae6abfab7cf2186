package relay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/invariant"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// plannedAttempt is a call that the module wants made.
type plannedAttempt struct {
	request  *request
	index    int
	endpoint discovery.Endpoint
	timeout  time.Duration
	writeBy  time.Time // its last byte must have left; zero: at any time
	record   uint64    // the number of its record
}

// planAttempt notes an attempt and makes it ready to go.
func (l *loop) planAttempt(now time.Duration, a policy.Send) {
	m := l.requests[a.ID]
	if m == nil || m.over {
		return
	}
	h, ok := l.endpoints[a.Endpoint]
	left := m.Deadline.Sub(clock.Instant(now))
	s := plannedAttempt{request: m, index: len(m.Attempts), endpoint: h, timeout: left}
	if a.Timeout > 0 {
		s.timeout = min(left, a.Timeout)
	}
	if a.WriteWithin > 0 {
		s.writeBy = l.timeline.TimeOf(clock.Instant(now + a.WriteWithin))
	}
	violated, allowed := invariant.CheckSend(l.invariantFacts(m), clock.Instant(now))
	l.journal.BeginAttempt(m.Entry, a.Endpoint, clock.Instant(now))
	s.record, m.attemptInFlight = l.journal.LastRecord(), true
	if !allowed {
		l.violations.Record(violated, m.ID, "destination", m.Destination, "endpoint", a.Endpoint, "attempt", s.index+1, "left", left)
		l.attemptNotSent(s)
		return
	}
	if !ok || h.Block != m.Destination {
		// Guards the protocol's rule that a message goes only to a listed host of its destination.
		slog.Error("send to a host that is not of the destination", "host", a.Endpoint, "dest", m.Destination)
		l.attemptNotSent(s)
		return
	}
	l.attempts = append(l.attempts, s)
}

// attemptNotSent reports an attempt that was not made.
func (l *loop) attemptNotSent(s plannedAttempt) {
	l.answered(answered{id: s.request.ID, attempt: s.index, host: s.endpoint.Host, Result: upstream.Result{Outcome: policy.NotSent}})
	l.wakeAt = 0 // the module has an event to act on
}

// startAttempt makes a call in a goroutine of its own.
func (l *loop) startAttempt(s plannedAttempt) {
	if !l.journal.Durable(s.record) {
		l.violations.Record(invariant.SendUnrecorded, s.request.ID, "destination", s.request.Destination, "attempt", s.index+1)
		l.attemptNotSent(s)
		return
	}
	s.request.attemptStarted = time.Now()
	l.traceEvent(trace.Event{
		Kind: trace.AttemptStarted, ID: s.request.ID, Class: s.request.Class, Destination: s.request.Destination, Endpoint: s.endpoint.Host, Count: s.index + 1,
		LeftMs: milliseconds(s.request.Deadline.Sub(l.timeline.Now())),
	})
	l.runAttempt(s, l.pool.Call)
}

// runAttempt has a call made, or waited for; by says how.
func (l *loop) runAttempt(s plannedAttempt, by func(context.Context, upstream.Request) upstream.Result) {
	ctx, cancel := context.WithCancel(l.attemptContext)
	begun := s.request.attemptStarted
	s.request.attempt, s.request.cancel, s.request.cancelBeforeSend = s, cancel, new(atomic.Bool)
	r := upstream.Request{
		Target: upstream.Target{Endpoint: s.endpoint.Host, Addr: s.endpoint.Dial}, ID: s.request.ID, IdempotencyKey: s.request.IdempotencyKey, Body: s.request.Body,
		Timeout: max(s.timeout-time.Since(begun), time.Millisecond), WriteBy: s.writeBy, CancelBeforeSend: s.request.cancelBeforeSend,
		Deadline: l.timeline.TimeOf(s.request.Deadline), OnDeadline: func() { l.send(timeUp{s.request.ID}) },
	}
	l.attemptsInFlight++
	go func() {
		defer cancel()
		res := by(ctx, r)
		l.send(answered{id: s.request.ID, attempt: s.index, host: s.endpoint.Host, took: time.Since(begun), made: true, Result: res})
	}()
}

// outcomeNames are the names of outcomes in records.
var outcomeNames = map[policy.Outcome]string{
	policy.Succeeded: "delivered", policy.Failed: "error", policy.Rejected: "turned away",
	policy.TimedOut: "timed out", policy.ConnectError: "no connection", policy.ConnectionReset: "reset", policy.Canceled: "given up",
	policy.NotSent: "not sent",
}

// answered takes in the end of a call.
func (l *loop) answered(e answered) {
	m := l.requests[e.id] // stays as long as a call is out
	if e.made {
		l.attemptsInFlight--
	}
	if e.Detached != nil {
		l.detached[e.id] = e.Detached
		return
	}
	m.cancel, m.attemptInFlight = nil, false
	l.traceAttemptEnded(m, e)
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.EndAttempt(m.Entry, e.NotExecuted(), outcomeNames[e.Outcome], l.timeline.Now())
	}
	l.events = append(l.events, policy.AttemptEnded{
		ID: e.id, Endpoint: e.host, Attempt: e.attempt, Outcome: e.Outcome,
		RetryAfter: e.RetryAfter, Latency: e.took, Final: e.Final, AttemptsExhausted: e.AttemptsExhausted, OutcomeUnknown: e.OutcomeUnknown, LoadReport: e.LoadReport,
	})
	switch {
	case !e.Final || m.over:
	case e.Outcome == policy.Succeeded:
		l.traceCompleted(m, trace.Delivered)
		l.countCompleted(m, admin.Success)
	default: // withdrawn, or out of time
		l.traceCompleted(m, trace.Withdrawn)
		l.countCompleted(m, admin.Failure)
	}
	switch {
	case e.Final && e.Outcome != policy.Succeeded && l.writer != nil && !m.over:
		l.withdrawn(m)
	case e.Final && m.Redelivery && !m.over:
		l.decideRedelivery(m, redeliveryDelivered, "")
	case e.Final && m.Order != nil && l.writer != nil && !m.over:
		l.decideOutcome(m, redeliveryDelivered)
		l.journal.MarkDelivered(m.Entry)
		l.afterCommit(func() { l.publishDelivered(m) })
	case e.Final && !m.Redelivery, m.over && m.PendingNotice == nil:
		l.evict(m)
	}
}
