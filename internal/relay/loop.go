package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
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

// inboxSize events wait for the loop without holding up the goroutines that bring them.
const inboxSize = 1024

// loop owns the dispatcher and the journal: nothing else touches their state. It batches events by tick,
// hands them to the module, and carries out what that decides. It never waits for a socket.
type loop struct {
	cfg                  *Config
	dispatcher           *policy.Dispatcher
	journal              *journal.Journal
	inbox                chan any
	pool                 *http1.Pool
	watch                *discovery.Watcher
	notifier             *notification.Notifier
	trace                *trace.Recorder
	metrics              *admin.Metrics
	mode                 *servingmode.Mode
	setValidator         func(*frontend.Validator) // has clients' messages checked by other settings
	writer               *deadLetterWriter         // nil: undelivered messages are not kept
	awaitingStore        []*request                // noticed or delivered, and the store does not know yet
	dropped              int                       // so many of them were dropped, since the journal had no room
	inFlightSubmissions  deadletter.Underway       // messages taken on that are about something, until the store knows of their end
	inFlightRedeliveries deadletter.Underway       // resends that are
	timeline             *clock.Timeline           // its instants are the module's clock
	clockSteps           *clock.StepDetector
	violations           *invariant.Counts
	deadlines            invariant.Deadlines // of messages that were accepted
	requests             map[string]*request
	endpoints            map[string]discovery.Endpoint
	destinations         map[int]bool  // named by some list
	lastArrival          int64         // the last Order.Arrival
	wakeAt               time.Duration // when the loop goes on by itself
	timerAt              time.Duration // what the module asked for last: it counts on that, and asks for no more until then
	lastBatchAt          time.Duration // when the last batch was handled
	attemptContext       context.Context
	attemptsInFlight     int                     // calls out whose end the loop has not heard
	detached             map[string]*net.TCPConn // of calls that wait in a freeze, by message
	quiescing            *quiesceRequested       // wanted, until nothing is out
	events               []policy.Event
	candidates           []*request       // arrivals of this batch
	attempts             []plannedAttempt // of this batch
	afterCommitEffects   []deferredEffect // once their records are written
	immediateEffects     []func()         // of this batch, whatever becomes of its records
	folder               journal.FolderMonitor
	stopping             bool // the process is about to end: the module sends nothing
}

// now is the module's clock: the relay's timeline, so that the module's times, the journal's and those of messages are of one
// kind, whatever the wall clock does.
func (l *loop) now() time.Duration { return time.Duration(l.timeline.Now()) }

// send hands the loop an event.
func (l *loop) send(e any) { l.inbox <- e }

// class gives the number of a class, or -1.
func (l *loop) class(name string) int {
	for i := range l.cfg.policy.Classes {
		if l.cfg.policy.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// run serves until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		timer.Reset(max(0, l.nextWake()-l.now()))
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			l.pool.Sweep()
			if step, stepped := l.clockSteps.Check(); stepped {
				l.traceEvent(trace.Event{Kind: trace.ClockStepped, Ms: milliseconds(step)})
			}
			l.checkMixedClocks()
			l.expireCompleted()
			continue
		case e := <-l.inbox:
			l.accept(e)
		case <-timer.C:
		}
		// What comes within a tick of the last batch is one batch.
		tick := time.NewTimer(l.lastBatchAt + l.cfg.policy.BatchInterval - l.now())
		for more := true; more; {
			select {
			case e := <-l.inbox:
				l.accept(e)
			case <-tick.C:
				more = false
			}
		}
		l.step()
		if l.quiescing != nil && l.attemptsInFlight == 0 && !l.awaitResume(ctx) {
			return
		}
	}
}

// accept turns one event into the module's terms.
func (l *loop) accept(e any) {
	switch e := e.(type) {
	case *frontend.Submission:
		l.submissionReceived(e)
	case answered:
		l.answered(e)
	case timeUp:
		l.events = append(l.events, policy.DeadlineExceeded{ID: e.id})
	case told:
		l.traceEvent(trace.Event{Kind: trace.EndpointsReceived, Full: e.Full, Count: len(e.Endpoints)})
		l.updateEndpoints(e.EndpointList)
		if e.Full {
			for host := range l.journal.Health() {
				if _, ok := l.endpoints[host]; !ok {
					l.journal.DeleteHealth(host)
				}
			}
		}
		l.journal.UpdateEndpoints(e.EndpointList, e.from)
	case watchEnded:
		l.traceEvent(trace.Event{Kind: trace.WatchEnded, Count: e.lines})
		l.events = append(l.events, policy.WatchFailed{})
	case received:
		for _, id := range e.ids {
			if m := l.requests[id]; m != nil {
				l.traceEvent(trace.Event{Kind: trace.Notified, ID: id, Class: m.Class, Destination: m.Destination})
				l.acknowledged(m)
				l.noticed(m)
			}
		}
	case resend:
		l.offerRedelivery(e)
	case holds:
		m := l.requests[e.id]
		e.answer <- m != nil && m.Redelivery
	case kept:
		for _, id := range e.ids {
			if m := l.requests[id]; m != nil && (m.PendingNotice != nil || m.Delivered) {
				l.deadLetterStored(m)
			}
		}
	case storeKnows:
		if e.misses == l.dropped {
			l.journal.SetStore(e.name)
		}
	case stopSending:
		l.stopping = true
		l.events = append(l.events, policy.Quiesced{})
	case serveOn:
		l.resumeSending()
	case question:
		e.idle <- len(l.requests) == 0
	case refusedUnread:
		l.metrics.Completed(e.class, admin.Shed, false)
	case quiesceRequested:
		l.quiescing = &e
	case reconfigured:
		l.metrics.Reconfigured(e.cfg != nil)
		if e.cfg != nil {
			l.reloadSettings(e.cfg)
		}
	}
}

// step lets the module act on a batch, and carries its actions out once what they need is in the journal.
func (l *loop) step() {
	now := l.now()
	l.lastBatchAt = now
	if l.timerFired(now) {
		l.events = append(l.events, policy.TimerFired{})
	}
	events := l.events
	l.events = nil
	actions := l.dispatcher.Handle(now, events)
	for _, a := range actions {
		switch a := a.(type) {
		case policy.Reject:
			l.fail(l.requests[a.ID], frontend.Response{Status: http.StatusTooManyRequests, RetryAfter: a.RetryAfter}, notification.Deferred)
		case policy.Fail:
			l.fail(l.requests[a.ID], frontend.Response{Status: http.StatusBadGateway}, notification.Undeliverable)
		}
	}
	l.acceptCandidates()
	for _, a := range actions {
		l.act(now, a)
	}
	l.cancelSuperseded()
	l.failOverdue()
	l.commit()
}

// act carries out one action other than an end.
func (l *loop) act(now time.Duration, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.planAttempt(now, a)
	case policy.CancelAttempt:
		if m := l.requests[a.ID]; m != nil && m.cancel != nil && a.Attempt == len(m.Attempts)-1 {
			l.immediately(m.cancel)
		}
	case policy.CancelBeforeSend:
		if m := l.requests[a.ID]; m != nil && m.cancelBeforeSend != nil && a.Attempt == len(m.Attempts)-1 {
			m.cancelBeforeSend.Store(true) // of a call of an earlier batch: that one's record is written
		}
	case policy.CloseIdleConns:
		if h, ok := l.endpoints[a.Endpoint]; ok {
			l.immediately(func() { l.pool.CloseIdle(upstream.Target{Endpoint: h.Host, Addr: h.Dial}) })
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
