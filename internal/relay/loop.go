package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
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

// The events that goroutines send the loop.
type (
	// answered is the end of a call, or says that it is parked.
	answered struct {
		id      string
		attempt int
		host    string
		took    time.Duration
		made    bool // it was given to the pool
		upstream.Result
	}
	// timeUp says that a message's time is up while the answer to its call is still listened to.
	timeUp struct{ id string }
	// told is a list, or a change of it.
	told struct {
		discovery.EndpointList
		from string // the discovery that told it
	}
	// watchEnded says that the watch on discovery ended or could not be had.
	watchEnded struct{ lines int }
	// received says that the platform has notices.
	received struct{ ids []string }
	// stopSending says that the process is about to end, and serveOn that it is not.
	stopSending struct{}
	serveOn     struct{}
	// question asks whether anything is still to be done.
	question struct{ idle chan bool }
	// refusedUnread says that a message was refused for want of room to read it.
	refusedUnread struct{ class string }
	// reconfigured says that a configuration was read again, or could not be used (nil).
	reconfigured struct{ cfg *Config }
)

// request is what the loop holds of a message taken on.
type request struct {
	*journal.Entry
	responses []chan frontend.Response // of the requests that brought it, until they are answered
	cancel   context.CancelFunc       // of the call out; nil while there is none
	attempt     plannedAttempt                     // that call
	cancelBeforeSend   *atomic.Bool             // takes it back, where nothing of it has left
	attemptStarted    time.Time                // when it did
	retryInfo    string                   // what its client says of an earlier hand-in
	over     bool                     // ended, but a call is still out
	attemptInFlight  bool                     // an attempt was decided on whose end the loop has not heard
	acceptedTerms    *policy.Class            // of its class as it was accepted, once they were asked for
	outcomeRecord  uint64                   // the number of the record of its terminal outcome
	recovered  bool                     // taken on by an earlier process
	noticed  bool                     // the platform has its notice, and it waits for the store
	kept     bool                     // the store of undelivered messages has it
	countedInFlight bool                     // the figures count it as taken on
	countedCompleted  bool                     // the figures have its end
}

// topic is what a message is about.
func (m *request) topic() deadletter.Topic {
	return deadletter.Topic{Class: m.Class, Partner: m.Destination, Subject: m.Subject}
}

// loop owns the dispatcher and the journal: nothing else touches their state. It batches events by tick,
// hands them to the module, and carries out what that decides. It never waits for a socket.
type loop struct {
	cfg      *Config
	dispatcher        *policy.Dispatcher
	journal  *journal.Journal
	inbox    chan any
	pool     *http1.Pool
	watch    *discovery.Watcher
	notifier  *notification.Notifier
	trace    *trace.Recorder
	metrics     *admin.Metrics
	mode   *servingmode.Mode
	setValidator  func(*frontend.Validator) // has clients' messages checked by other settings
	writer   *deadLetterWriter                   // nil: undelivered messages are not kept
	awaitingStore   []*request                // noticed or delivered, and the store does not know yet
	dropped   int                       // so many of them were dropped, since the journal had no room
	inFlightSubmissions deadletter.Underway       // messages taken on that are about something, until the store knows of their end
	inFlightRedeliveries    deadletter.Underway       // resends that are
	timeline *clock.Timeline           // its instants are the module's clock
	clockSteps    *clock.StepDetector
	violations *invariant.Counts
	deadlines      invariant.Deadlines // of messages that were accepted
	requests map[string]*request
	endpoints    map[string]discovery.Endpoint
	destinations    map[int]bool  // named by some list
	lastArrival int64         // the last Order.Arrival
	wakeAt   time.Duration // when the loop goes on by itself
	timerAt    time.Duration // what the module asked for last: it counts on that, and asks for no more until then
	lastBatchAt  time.Duration // when the last batch was handled
	attemptContext    context.Context
	attemptsInFlight      int                     // calls out whose end the loop has not heard
	detached   map[string]*net.TCPConn // of calls that wait in a freeze, by message
	quiescing   *quiesceRequested                 // wanted, until nothing is out
	events   []policy.Event
	candidates    []*request // arrivals of this batch
	attempts    []plannedAttempt     // of this batch
	afterCommitEffects  []deferredEffect   // once their records are written
	immediateEffects   []func()   // of this batch, whatever becomes of its records
	folder   journal.FolderMonitor
	stopping bool // the process is about to end: the module sends nothing
}

// now is the module's clock: the relay's timeline, so that the module's times, the journal's and those of messages are of one
// kind, whatever the wall clock does.
func (l *loop) now() time.Duration { return time.Duration(l.timeline.Now()) }

// send hands the loop an event.
func (l *loop) send(e any) { l.inbox <- e }

// latestEndpointList is the newest list that this relay, or its platform for it, is known to have had.
func (l *loop) latestEndpointList() discovery.EndpointList {
	list := l.cfg.Known
	told, from := l.journal.Endpoints()
	switch {
	case told == nil:
	case from != l.cfg.Discovery: // versions are one discovery's own: nothing tells which is newer
		list = *told
		list.Seq = 0
	case told.Seq >= list.Seq:
		// The configuration's list may be older than what an earlier process was told: a host that drains gets nothing new
		// from this one either. It may be newer as well, since the platform goes on listening while no process runs.
		list = *told
	}
	return list
}

// restore takes up what the journal holds, and the list that the configuration gives; from is what another process has
// handed over beside the journal, or nil.
func (l *loop) restore(from *handoverState) {
	list := l.latestEndpointList()
	list.Full = true
	l.traceEvent(trace.Event{Kind: trace.RelayStarted, Relay: l.cfg.Name, Count: l.cfg.Settings.NInstances})
	l.updateEndpoints(list)
	l.journal.UpdateEndpoints(list, l.cfg.Discovery) // what the watch tells from here on may be changes of it only
	l.watch.Seq = list.Seq
	if l.journal.Failed() { // from its start on
		l.folder.WriteFailed(l.now())
		l.folderDegraded(true)
	}
	if from != nil {
		l.events = append(l.events, policy.SnapshotRestored{Snapshot: from.Memory})
		for _, e := range from.Completed {
			l.journal.AddCompleted(journal.CompletedRequest{ID: e.ID, At: e.At})
		}
	}
	for _, e := range l.journal.Entries() {
		m := &request{Entry: e, recovered: true}
		l.requests[e.ID] = m
		if l.journal.IsCompleted(e.ID) {
			l.violations.Record(invariant.RecoveredAfterCompletion, e.ID, "destination", e.Destination)
		}
		l.trackSubject(m)
		l.traceRecovered(e)
		switch {
		case e.PendingNotice != nil:
			m.over = true // by the process before
			l.publishOutcome(m)
			if class := l.class(e.Class); class >= 0 && e.OrderKey != "" {
				// Guards against a call for the next of its key that overtakes its notice.
				l.events = append(l.events, policy.Arrived{ID: e.ID, Class: class, Destination: e.Destination, OrderKey: e.OrderKey, Recovered: true, OutcomeDecided: true})
			}
			continue
		case e.Delivered:
			m.over = true
			l.publishDelivered(m)
			continue
		}
		class := l.class(e.Class)
		if class < 0 { // the settings have changed, and the module could not end it
			l.fail(m, frontend.Response{}, notification.Undeliverable)
			continue
		}
		l.countAccepted(m)
		l.deadlines.Add(m.ID, m.Deadline)
		a := policy.Arrived{
			ID: e.ID, Class: class, Destination: e.Destination, OrderKey: e.OrderKey, Recovered: true, Background: e.Redelivery, Terms: l.journal.Terms(e),
			TimeLeft: e.Deadline.Sub(l.timeline.Now()),
		}
		for _, t := range e.Attempts {
			// An attempt that was out when the process ended may have run.
			a.PriorAttempts = append(a.PriorAttempts, policy.PriorAttempt{Endpoint: t.Endpoint, SentAt: l.attemptSentAt(t), NotExecuted: t.Ended && t.NotExecuted})
		}
		if from != nil && from.resumeAttempt(l, m) {
			a.PriorAttempts[len(a.PriorAttempts)-1].InFlight = true
		}
		l.events = append(l.events, a)
	}
	l.step()
}

// attemptSentAt is when an attempt of an earlier process began, in the module's terms. Where that process did not run in this boot how
// long ago it was is not known: it counts as longer ago than any destination keeps a key.
func (l *loop) attemptSentAt(a journal.Attempt) time.Duration {
	if !l.timeline.SameBoot() {
		return 0
	}
	return time.Duration(a.StartedAt)
}

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

// resumeSending goes on sending after a stop, unless the folder keeps that back.
func (l *loop) resumeSending() {
	l.stopping = false
	if l.folder.State() != journal.Degraded {
		l.events = append(l.events, policy.Resumed{})
	}
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

// updateEndpoints takes in a change of the list.
func (l *loop) updateEndpoints(m discovery.EndpointList) {
	named := map[string]bool{}
	var recalled []policy.Event
	for _, h := range m.Endpoints {
		named[h.Host] = true
		old, had := l.endpoints[h.Host]
		if had && (old.Dial != h.Dial || h.Health == discovery.Deleted) {
			l.pool.Evict(upstream.Target{Endpoint: h.Host, Addr: old.Dial})
		}
		if h.Health == discovery.Deleted {
			l.removeEndpoint(h.Host)
			continue
		}
		l.endpoints[h.Host] = h
		l.destinations[h.Block] = true
		if health, ok := l.journal.Health()[h.Host]; ok && !had {
			// An earlier process saw it go out; the list that came with the configuration may lack it.
			recalled = append(recalled, policy.HealthRecovered{Endpoint: h.Host, Unhealthy: health.Unhealthy, At: time.Duration(health.At)})
		}
	}
	if m.Full {
		for id, h := range l.endpoints {
			if !named[id] {
				l.pool.Evict(upstream.Target{Endpoint: id, Addr: h.Dial})
				l.removeEndpoint(id)
			}
		}
	}
	l.events = append(append(l.events, m.Event(&l.cfg.Settings)), recalled...)
}

func (l *loop) removeEndpoint(host string) {
	delete(l.endpoints, host)
	l.journal.DeleteHealth(host)
}

// evict notes that nothing more is owed for a message.
func (l *loop) evict(m *request) {
	m.over = true
	if m.Order != nil {
		l.inFlightSubmissions.Ended(m.ID, m.topic())
		l.inFlightRedeliveries.Ended(m.ID, m.topic())
	}
	if l.journal.Get(m.ID) == m.Entry {
		l.journal.Complete(m.Entry, l.timeline.Now())
	}
	m.PendingNotice = nil
	if m.cancel == nil {
		delete(l.requests, m.ID)
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

// fail ends a message undelivered: by its answer if that is still due, else by a notice.
func (l *loop) fail(m *request, v frontend.Response, status string) {
	if m == nil || m.over {
		return
	}
	if m.Redelivery {
		l.decideRedelivery(m, status, "")
		return
	}
	if status == notification.Deferred {
		l.countCompleted(m, admin.Shed)
	} else {
		l.countCompleted(m, admin.Failure)
	}
	if replies := m.responses; replies != nil {
		l.traceRejected(m.Entry, m.retryInfo, rejectedByAdmission, v.RetryAfter)
		l.recordRejected(m, status)
		m.responses = nil
		l.immediately(func() {
			respondAll(replies, v)
			l.acknowledged(m)
		})
		l.evict(m)
		return
	}
	l.traceCompleted(m, status)
	l.decideOutcome(m, status)
	n := notification.Notice{ID: m.ID, Status: status, RetryAfterMS: v.RetryAfter.Milliseconds()}
	l.journal.DecideOutcome(m.Entry, n, string(l.reason(m, status)), l.timeline.Now())
	m.outcomeRecord = l.journal.LastRecord()
	l.afterCommitOrBy(m.Deadline, func() { l.publishOutcome(m) })
}

// acknowledged tells the module that the end which it gave a message of a class in order is known where it is owed: only then
// the next one of its item may go. A call that overtakes the notice of the message before it is a call out of turn.
func (l *loop) acknowledged(m *request) {
	if m.OrderKey != "" {
		l.events = append(l.events, policy.Acknowledged{ID: m.ID})
		l.wakeAt = 0 // the module has an event to act on
	}
}

// respondAll answers all requests that brought a message.
func respondAll(to []chan frontend.Response, v frontend.Response) {
	for _, c := range to {
		c <- v
	}
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
