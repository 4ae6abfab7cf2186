package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/frontend"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/servingmode"
	"frostlink/internal/trace"
	"frostlink/internal/upstream"
	"frostlink/internal/upstream/http1"
	"frostlink/policy"
)

const (
	// inboxSize is how many events the loop's inbox buffers before it blocks the goroutines that send them.
	inboxSize = 1024
	// housekeepingInterval is the interval of loop.housekeep, whose work needs no exact time.
	housekeepingInterval = time.Second
)

// loop owns the dispatcher and the journal: while the loop runs, only its goroutine accesses their state. It collects events into
// batches, passes them to the dispatcher, and carries out the dispatcher's actions. It never waits for a socket.
type loop struct {
	cfg          *Config
	dispatcher   *policy.Dispatcher
	journal      *journal.Journal
	inbox        chan event
	subsystems   []subsystem
	pool         *http1.Pool
	watch        *discovery.Watcher
	notifier     *notification.Notifier
	trace        *trace.Recorder
	metrics      *admin.Metrics
	mode         *servingmode.Mode
	setValidator func(*frontend.Validator) // replaces the validator of submissions
	timeline     *clock.Timeline           // the source of the dispatcher's time
	clockSteps   *clock.StepDetector

	requests   map[string]*request // by id
	violations *invariant.Counts
	extra      *admin.ResponseCounts // responses that nobody asked for
	doubtful   *admin.ResponseCounts // responses that may belong to another request than the one in flight
	deadlines  invariant.Deadlines   // of accepted requests

	endpoints        map[string]discovery.Endpoint // by id
	destinations     map[int]bool                  // destinations that have occurred in any endpoint list
	endpointsListed  atomic.Int64                  // number of endpoints, for other goroutines
	endpointsIgnored atomic.Int64                  // for which there was no memory
	listPending      chan struct{}                 // holds a value while a list of discovery is in the inbox

	wakeAt      time.Duration // when the loop runs a batch even without an event
	timerAt     time.Duration // the last timer that the dispatcher set; until it fires, the dispatcher sets only earlier timers
	lastBatchAt time.Duration // the start of the last batch

	attemptsInFlight int                     // attempts that were passed to the pool and whose end has not reached the loop
	detached         map[string]*net.TCPConn // connections of attempts that a quiesce has interrupted, by request id
	quiescing        *quiesceRequested       // the pending request to quiesce, which waits until no attempt is in flight; nil: none
	stopping         bool                    // the process is about to end, so the dispatcher starts no attempt
	folder           journal.FolderMonitor
	journalUse       journalUse
	journalSpace     atomic.Int64 // bytes that the journal has left for requests; other goroutines read it

	// The batch that is being collected.
	events     []policy.Event
	candidates []*request
	attempts   []plannedAttempt
	effects    effectQueue
}

// now returns the dispatcher's time. It is read from the relay's timeline, so that the times of the dispatcher, the journal
// and the requests are comparable even when the wall clock is stepped.
func (l *loop) now() time.Duration { return time.Duration(l.timeline.Now()) }

// send sends an event to the loop. It blocks while the inbox is full.
func (l *loop) send(e event) { l.inbox <- e }

// classIndex returns the index of a class in the settings, or -1 for an unknown class.
func (l *loop) classIndex(name string) int {
	for i := range l.cfg.policy.Classes {
		if l.cfg.policy.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	housekeeping := time.NewTicker(housekeepingInterval)
	defer housekeeping.Stop()
	for {
		timer.Reset(max(0, l.nextWake()-l.now()))
		select {
		case <-ctx.Done():
			l.finish(ctx)
			return
		case <-housekeeping.C:
			l.housekeep()
			continue
		case e := <-l.inbox:
			e.apply(l)
		case <-timer.C:
		}
		l.collectBatch()
		l.step(ctx)
		if l.quiescing != nil && l.attemptsInFlight == 0 && !l.awaitResume(ctx) {
			return
		}
	}
}

// finish handles the events that have reached the inbox, so that the next process finds the ends of attempts in the journal. No attempt
// starts any more.
func (l *loop) finish(ctx context.Context) {
	for len(l.inbox) > 0 { // no other goroutine receives
		(<-l.inbox).apply(l)
	}
	l.events = append(l.events, policy.Quiesced{})
	l.step(ctx)
}

// housekeep does the periodic work that needs no exact time.
func (l *loop) housekeep() {
	l.pool.Sweep()
	if step, stepped := l.clockSteps.Check(); stepped {
		l.traceEvent(trace.Event{Kind: trace.ClockStepped, DurationMs: milliseconds(step)})
	}
	l.checkMixedClocks()
	l.expireCompleted()
}

// collectBatch applies the events that arrive until one batch interval after the start of the last batch.
func (l *loop) collectBatch() {
	end := time.NewTimer(l.lastBatchAt + l.cfg.policy.BatchInterval - l.now())
	for {
		select {
		case e := <-l.inbox:
			e.apply(l)
		case <-end.C:
			return
		}
	}
}

// step passes a batch to the dispatcher, carries out the dispatcher's actions and commits the batch.
func (l *loop) step(ctx context.Context) {
	now := l.now()
	l.lastBatchAt = now
	if l.timerFired(now) {
		l.events = append(l.events, policy.TimerFired{})
	}
	events := l.events
	l.events = nil
	actions := l.dispatcher.Handle(now, events)
	for _, a := range actions {
		l.applyOutcome(a)
	}
	l.acceptCandidates()
	for _, a := range actions {
		l.applyAction(now, a)
	}
	for _, s := range l.subsystems {
		s.beforeCommit()
	}
	l.failOverdue()
	l.commit(ctx)
}

// applyOutcome carries out an action that ends a request. These actions are applied before all others, so that a rejected
// candidate is not accepted.
func (l *loop) applyOutcome(a policy.Action) {
	switch a := a.(type) {
	case policy.Reject:
		l.fail(l.requests[a.ID], frontend.Response{Status: http.StatusTooManyRequests, RetryAfter: a.RetryAfter}, notification.Deferred)
	case policy.Fail:
		l.fail(l.requests[a.ID], frontend.Response{Status: http.StatusBadGateway}, notification.Undeliverable)
	}
}

// applyAction carries out an action that ends no request.
func (l *loop) applyAction(now time.Duration, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.planAttempt(now, a)
	case policy.CancelAttempt:
		if r := l.requests[a.ID]; r != nil && r.cancel != nil && a.Attempt == len(r.Attempts)-1 {
			l.immediately(r.cancel)
		}
	case policy.CancelBeforeSend:
		if r := l.requests[a.ID]; r != nil && r.cancelBeforeSend != nil && a.Attempt == len(r.Attempts)-1 {
			r.cancelBeforeSend.Store(true) // only an attempt of an earlier batch has a cancelBeforeSend, so its record is written
		}
	case policy.CloseIdleConns:
		if e, ok := l.endpoints[a.Endpoint]; ok {
			l.immediately(func() { l.pool.CloseIdle(upstream.Target{Endpoint: e.ID, Addr: e.Address}) })
		}
	case policy.SetTimer:
		l.setTimer(now + a.After)
	case policy.WatchEndpoints:
		l.watch.Subscribe()
	case policy.PersistHealth:
		if _, ok := l.endpoints[a.Endpoint]; ok {
			l.journal.SetHealth(a.Endpoint, journal.Health{Unhealthy: a.Unhealthy, At: clock.Instant(a.At)})
		}
	}
}
