package relay

import (
	"log/slog"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/frontend"
	"frostlink/internal/logkey"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/internal/upstream/http1"
	"frostlink/policy"
)

// event is something that happened outside of the loop's goroutine. Subsystems declare their events beside their other
// code. No type outside of this package can implement event.
type event interface {
	// apply applies the event to the loop's state. The loop's goroutine calls it.
	apply(l *loop)
}

// submissionReceived carries a submission that the frontend has read.
type submissionReceived struct{ submission *frontend.Submission }

func (e submissionReceived) apply(l *loop) { l.handleSubmission(e.submission) }

// submissionShed carries a submission whose body the frontend has not read, for lack of memory or of space in the journal.
type submissionShed struct{ submission *frontend.Submission }

func (e submissionShed) apply(l *loop) { l.handleShed(e.submission) }

// attemptEnded says that an attempt has ended, or that its connection was detached.
type attemptEnded struct {
	id       string
	index    int // of the attempt within its request, from 0
	endpoint string
	latency  time.Duration
	started  bool // the attempt was passed to the connection pool
	upstream.Result
}

func (e attemptEnded) apply(l *loop) { l.handleAttemptEnded(e) }

// policyEvent returns the event for the dispatcher.
func (e attemptEnded) policyEvent() policy.AttemptEnded {
	return policy.AttemptEnded{
		ID: e.id, Endpoint: e.endpoint, Attempt: e.index, Outcome: e.Outcome,
		RetryAfter: e.RetryAfter, Latency: e.latency, Final: e.Final, AttemptsExhausted: e.AttemptsExhausted, OutcomeUnknown: e.OutcomeUnknown,
		LoadReport: e.LoadReport,
	}
}

// responseUnconfirmed carries a response that may belong to an earlier request on its connection. The end of its attempt follows.
type responseUnconfirmed attemptEnded

func (e responseUnconfirmed) apply(l *loop) {
	r := l.requests[e.id] // not nil: a request stays in the map while an attempt is in flight
	if e.Outcome == policy.Succeeded && !r.completed() && !r.Redelivery && l.journal.Entry(r.ID) == r.Entry {
		// If this process dies before the end of the attempt, the request most likely was delivered.
		l.journal.MarkDelivered(r.Entry)
		l.countUnconfirmedDelivery(r)
	}
	l.events = append(l.events, policy.ResponseUnconfirmed(attemptEnded(e).policyEvent()))
}

// extraResponseNoticed says that an endpoint wrote a response that nobody asked for.
type extraResponseNoticed http1.ExtraResponse

func (e extraResponseNoticed) apply(l *loop) {
	l.extra.Record(e.Endpoint, string(e.Sign))
	l.traceEvent(trace.Event{Kind: trace.ExtraResponse, Endpoint: e.Endpoint, Count: e.Total, Reason: string(e.Sign)})
	if e.Total == 1 {
		slog.Warn("endpoint wrote a response that nobody asked for", logkey.Endpoint, e.Endpoint, logkey.Address, e.Addr, logkey.Reason, e.Sign)
	}
}

// deadlineReached says that a request's deadline has passed while an attempt still waits for the response.
type deadlineReached struct{ id string }

func (e deadlineReached) apply(l *loop) {
	l.events = append(l.events, policy.DeadlineExceeded{ID: e.id})
}

// endpointsUpdated carries a full endpoint list, or a change of one.
type endpointsUpdated struct {
	list      discovery.EndpointList
	discovery string // the address of the discovery service that sent it
}

func (e endpointsUpdated) apply(l *loop) {
	l.handleEndpointsUpdated(e)
	<-l.listPending
}

// watchEnded says that the watch on discovery ended or could not be opened. lists is the number of lists received on it.
type watchEnded struct{ lists int }

func (e watchEnded) apply(l *loop) {
	l.traceEvent(trace.Event{Kind: trace.WatchEnded, Count: e.lists})
	l.events = append(l.events, policy.WatchFailed{})
}

// noticesAcknowledged says that the platform has acknowledged notices.
type noticesAcknowledged struct{ ids []string }

func (e noticesAcknowledged) apply(l *loop) { l.handleNoticesAcknowledged(e.ids) }

// sendingStopped says that the process is about to end, so that no attempt may start.
type sendingStopped struct{}

func (sendingStopped) apply(l *loop) {
	l.stopping = true
	l.events = append(l.events, policy.Quiesced{})
}

// sendingResumed revokes sendingStopped: the process goes on.
type sendingResumed struct{}

func (sendingResumed) apply(l *loop) { l.resumeSending() }

// idleQuery asks whether the loop holds no request.
type idleQuery struct{ idle chan bool } // buffers the answer

func (e idleQuery) apply(l *loop) { e.idle <- len(l.requests) == 0 }

// settingsReloaded says that the configuration was read again. cfg is nil if it can't be used.
type settingsReloaded struct{ cfg *Config }

func (e settingsReloaded) apply(l *loop) {
	l.metrics.Reconfigured(e.cfg != nil)
	if e.cfg != nil {
		l.applySettings(e.cfg)
	}
}

// quiesceRequested asks the loop to send its state and then do nothing until it is resumed or ended. The loop does so as soon
// as every attempt in flight has ended or has had its connection detached.
type quiesceRequested struct {
	state  chan *handoverState // buffers the answer, which is nil if the state can't be handed over
	resume chan struct{}       // closed to resume the loop
}

func (e quiesceRequested) apply(l *loop) { l.quiescing = &e }
