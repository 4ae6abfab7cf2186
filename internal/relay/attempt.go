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
	"frostlink/internal/logkey"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// outcomeNames are the names of attempts' outcomes in the journal, the dead-letter store and the trace.
var outcomeNames = map[policy.Outcome]string{
	policy.Succeeded: "delivered", policy.Failed: "error", policy.Rejected: "turned away",
	policy.TimedOut: "timed out", policy.ConnectError: "no connection", policy.ConnectionReset: "reset", policy.Canceled: "given up",
	policy.NotSent: "not sent",
}

// plannedAttempt is an attempt that the dispatcher has decided to make.
type plannedAttempt struct {
	request  *request
	index    int // within its request, from 0
	endpoint discovery.Endpoint
	timeout  time.Duration
	writeBy  time.Time // its last byte must be written by then; zero: no limit
	record   uint64    // the number of its record in the journal
}

// planAttempt adds an attempt to the journal and schedules its start for the end of the batch. An attempt that violates an
// invariant, or whose endpoint is not listed for the destination, ends unsent.
func (l *loop) planAttempt(now time.Duration, a policy.Send) {
	r := l.requests[a.ID]
	if r == nil || r.completed() {
		return
	}
	endpoint, listed := l.endpoints[a.Endpoint]
	timeLeft := r.Deadline.Sub(clock.Instant(now))
	p := plannedAttempt{request: r, index: len(r.Attempts), endpoint: endpoint, timeout: timeLeft}
	if a.Timeout > 0 {
		p.timeout = min(timeLeft, a.Timeout)
	}
	if a.WriteWithin > 0 {
		p.writeBy = l.timeline.TimeOf(clock.Instant(now + a.WriteWithin))
	}
	violated, allowed := invariant.CheckSend(l.invariantFacts(r), clock.Instant(now))
	l.journal.BeginAttempt(r.Entry, a.Endpoint, clock.Instant(now))
	p.record, r.attemptInFlight = l.journal.LastRecord(), true
	if !allowed {
		l.violations.Record(violated, r.ID, "destination", r.Destination, "endpoint", a.Endpoint, "attempt", p.index+1, "left", timeLeft)
		l.attemptNotSent(p)
		return
	}
	if !listed || endpoint.Destination != r.Destination {
		// Guards the protocol's rule that a request is sent only to a listed endpoint of its destination.
		slog.Error("attempt not sent: the endpoint is not listed for the request's destination", logkey.Endpoint, a.Endpoint, logkey.Destination, r.Destination)
		l.attemptNotSent(p)
		return
	}
	l.attempts = append(l.attempts, p)
}

// attemptNotSent ends a planned attempt that is not started.
func (l *loop) attemptNotSent(p plannedAttempt) {
	l.handleAttemptEnded(attemptEnded{
		id: p.request.ID, index: p.index, endpoint: p.endpoint.ID, Result: upstream.Result{Outcome: policy.NotSent},
	})
	l.wakeDispatcher()
}

// startAttempt starts an attempt in a goroutine of its own.
func (l *loop) startAttempt(ctx context.Context, p plannedAttempt) {
	r := p.request
	if !l.journal.Durable(p.record) {
		l.violations.Record(invariant.SendUnrecorded, r.ID, "destination", r.Destination, "attempt", p.index+1)
		l.attemptNotSent(p)
		return
	}
	r.attemptStarted = time.Now()
	if r.Redelivery {
		// The store allowed it when it offered it: a long wait tells a redelivery that was held up here from one that was allowed late.
		slog.Info("redelivery sent", logkey.RequestID, r.ID, logkey.Class, r.Class, logkey.Destination, r.Destination,
			logkey.Endpoint, p.endpoint.ID, logkey.Waited, l.timeline.Now().Sub(r.AcceptedAt))
	}
	l.traceEvent(trace.Event{
		Kind: trace.AttemptStarted, ID: r.ID, Class: r.Class, Destination: r.Destination, Endpoint: p.endpoint.ID, Count: p.index + 1,
		TimeLeftMs: milliseconds(r.Deadline.Sub(l.timeline.Now())),
	})
	l.runAttempt(ctx, p, l.pool.Call)
}

// runAttempt runs exchange in a new goroutine, which sends the loop the result. exchange makes the attempt, or awaits the
// response to an attempt whose request was sent before.
func (l *loop) runAttempt(ctx context.Context, p plannedAttempt, exchange func(context.Context, upstream.Request) upstream.Result) {
	ctx, cancel := context.WithCancel(ctx)
	r := p.request
	startedAt := r.attemptStarted
	r.attempt, r.cancel, r.cancelBeforeSend = p, cancel, new(atomic.Bool)
	call := upstream.Request{
		Target: upstream.Target{Endpoint: p.endpoint.ID, Addr: p.endpoint.Address}, ID: r.ID, IdempotencyKey: r.IdempotencyKey, Body: r.Body,
		Timeout: max(p.timeout-time.Since(startedAt), time.Millisecond), WriteBy: p.writeBy, CancelBeforeSend: r.cancelBeforeSend,
		Retryable: l.retryable(r), Deadline: l.timeline.TimeOf(r.Deadline), OnDeadline: func() { l.send(deadlineReached{r.ID}) },
	}
	call.OnUnconfirmed = func(result upstream.Result) {
		l.send(responseUnconfirmed{id: r.ID, index: p.index, endpoint: p.endpoint.ID, latency: time.Since(startedAt), Result: result})
	}
	l.attemptsInFlight++
	go func() {
		defer cancel()
		result := exchange(ctx, call)
		l.send(attemptEnded{
			id: r.ID, index: p.index, endpoint: p.endpoint.ID, latency: time.Since(startedAt) - result.Unconfirmed, started: true, Result: result,
		})
	}()
}

// retryable reports whether a request may be sent again after it has executed.
func (l *loop) retryable(r *request) bool {
	terms := l.journal.Terms(r.Entry)
	return terms != nil && terms.Idempotency != policy.NotIdempotent
}

// handleAttemptEnded handles the end of an attempt, or the detachment of its connection.
func (l *loop) handleAttemptEnded(e attemptEnded) {
	r := l.requests[e.id] // not nil: a request stays in the map while an attempt is in flight
	if e.started {
		l.attemptsInFlight--
	}
	if e.Detached != nil {
		l.detached[e.id] = e.Detached
		return
	}
	r.cancel, r.attemptInFlight = nil, false
	r.attemptsEnded = r.attemptsEnded || e.Final || e.AttemptsExhausted
	l.traceAttemptEnded(r, e)
	l.recordDoubt(r, e)
	if l.journal.Entry(r.ID) == r.Entry {
		l.journal.EndAttempt(r.Entry, e.NotExecuted(), outcomeNames[e.Outcome], l.timeline.Now())
	}
	l.noteDelivery(r, e)
	l.events = append(l.events, e.policyEvent())
	claimed := e.Final && !r.completed() && l.handleFinalResponse(r, e.Outcome == policy.Succeeded)
	endsRequest := e.Final && !r.Redelivery
	nothingPending := r.completed() && r.PendingNotice == nil // an evicted request that stayed in memory until this attempt ended
	if !claimed && (endsRequest || nothingPending) {
		l.evict(r)
	}
}

// recordDoubt logs and counts an attempt whose response may belong to an earlier request on its connection.
func (l *loop) recordDoubt(r *request, e attemptEnded) {
	if e.Doubt == upstream.NoDoubt {
		return
	}
	l.doubtful.Record(e.endpoint, string(e.Doubt))
	slog.Info("response in doubt", logkey.RequestID, r.ID, logkey.Class, r.Class, logkey.Destination, r.Destination,
		logkey.Endpoint, e.endpoint, logkey.Attempt, e.index+1, logkey.Outcome, outcomeNames[e.Outcome], logkey.Reason, e.Doubt,
		logkey.AttemptsEnded, e.AttemptsExhausted)
}

// noteDelivery notes at the end of an attempt whether the request was delivered, was likely delivered, or was not.
func (l *loop) noteDelivery(r *request, e attemptEnded) {
	r.likelyDelivered = r.likelyDelivered || e.LikelyDelivered
	switch {
	case e.Final && e.Outcome == policy.Succeeded:
	case !r.likelyDelivered:
		l.uncountUnconfirmedDelivery(r)
	case !r.completed() && !r.Redelivery && l.journal.Entry(r.ID) == r.Entry:
		l.journal.MarkDelivered(r.Entry)
	}
}

// handleFinalResponse handles a response after which the request needs no further attempt. claimed reports whether a
// subsystem takes charge of the outcome.
func (l *loop) handleFinalResponse(r *request, delivered bool) (claimed bool) {
	status, counted := trace.Withdrawn, admin.Failure // withdrawn by its client, or its deadline has passed
	if delivered {
		status, counted = trace.Delivered, admin.Success
	}
	l.traceCompleted(r, status)
	l.countCompleted(r, counted)
	return l.claimOutcome(r, status)
}
