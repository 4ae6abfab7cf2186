package relay

import (
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/discovery"
	"frostlink/internal/frontend"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/policy"
)

// event is something that happened outside of the loop's goroutine. Subsystems declare theirs beside their other code; no
// type outside of this package can be one.
type event interface {
	// apply takes the event in. The loop's goroutine calls it.
	apply(l *loop)
}

// submissionReceived is a request that a client submits.
type submissionReceived struct{ submission *frontend.Submission }

func (e submissionReceived) apply(l *loop) { l.handleSubmission(e.submission) }

// submissionRejectedUnread is a request that the frontend rejected because it has no memory to read it.
type submissionRejectedUnread struct{ class string }

func (e submissionRejectedUnread) apply(l *loop) { l.metrics.Completed(e.class, admin.Shed, false) }

// attemptEnded is the end of an attempt, or says that its connection was detached.
type attemptEnded struct {
	id       string
	index    int // of the attempt among those of its request
	endpoint string
	latency  time.Duration
	started  bool // it was given to the connection pool
	upstream.Result
}

func (e attemptEnded) apply(l *loop) { l.handleAttemptEnded(e) }

// deadlineReached says that a request's deadline has passed while the response to its attempt is still awaited.
type deadlineReached struct{ id string }

func (e deadlineReached) apply(l *loop) {
	l.events = append(l.events, policy.DeadlineExceeded{ID: e.id})
}

// endpointsUpdated is a list of endpoints, or a change of it.
type endpointsUpdated struct {
	list      discovery.EndpointList
	discovery string // the address of the discovery that sent it
}

func (e endpointsUpdated) apply(l *loop) { l.handleEndpointsUpdated(e) }

// watchEnded says that the watch on discovery ended or could not be opened.
type watchEnded struct{ lists int }

func (e watchEnded) apply(l *loop) {
	l.traceEvent(trace.Event{Kind: trace.WatchEnded, Count: e.lists})
	l.events = append(l.events, policy.WatchFailed{})
}

// noticesAcknowledged says that the platform has notices.
type noticesAcknowledged struct{ ids []string }

func (e noticesAcknowledged) apply(l *loop) { l.handleNoticesAcknowledged(e.ids) }

// sendingStopped says that the process is about to end: no attempt is to start.
type sendingStopped struct{}

func (sendingStopped) apply(l *loop) {
	l.stopping = true
	l.events = append(l.events, policy.Quiesced{})
}

// sendingResumed says that the process does not end after all.
type sendingResumed struct{}

func (sendingResumed) apply(l *loop) { l.resumeSending() }

// idleQuery asks whether the loop holds no request.
type idleQuery struct{ idle chan bool } // room for one

func (e idleQuery) apply(l *loop) { e.idle <- len(l.requests) == 0 }

// settingsReloaded says that the configuration was read again, or could not be used (nil).
type settingsReloaded struct{ cfg *Config }

func (e settingsReloaded) apply(l *loop) {
	l.metrics.Reconfigured(e.cfg != nil)
	if e.cfg != nil {
		l.applySettings(e.cfg)
	}
}

// quiesceRequested asks the loop to hand out its state and to do nothing until it is resumed, or ended. The loop does so
// once no attempt is in flight whose connection is not detached.
type quiesceRequested struct {
	state  chan *handoverState // room for one; nil: the state can't be handed over
	resume chan struct{}       // closed to go on
}

func (e quiesceRequested) apply(l *loop) { l.quiescing = &e }
