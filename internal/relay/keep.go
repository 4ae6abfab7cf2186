package relay

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/wait"
	"frostlink/policy"
)

const (
	// maxBatch messages go into the store in one transaction at most.
	maxBatch = 200
	// storeRetryPause is the pause after the store could not take messages, and keepSaid how often that is said.
	storeRetryPause, storeErrorLogInterval = 500 * time.Millisecond, 10 * time.Second
	// boundsInterval is between rounds of the store's bounds.
	boundsInterval = time.Second
	// redeliveryPollInterval is between looks at what is due to be resent.
	redeliveryPollInterval = 200 * time.Millisecond
	// maxWaitingRejected messages that were refused at their arrival wait for the store at most.
	maxWaitingRejected = 2000
	// deadlineMargin before its time is up a message that is given up counts as out of time: that much is left when no
	// further attempt would come to its end.
	deadlineMargin = time.Second
)

// deadLetterWriter hands undelivered messages over to their store. It never holds up the loop: what the store does not take
// waits here, and in the journal.
type deadLetterWriter struct {
	section     *deadletter.Section
	acknowledge        func(ids []string)
	send       func(any) // hands the loop an event
	newResender func(*deadletter.Store) *deadletter.Resender
	timeline    *clock.Timeline
	journalledStore        string // the store that the journal says was told of all that was delivered
	classes     []deadletter.Class

	// The goroutine's own.
	deadLetters    *deadletter.Store // nil until it could be opened
	bounds   *deadletter.Bounds
	resender *deadletter.Resender
	gate     deadletter.Gate                  // of resends; nil: none
	openStore   atomic.Pointer[deadletter.Store] // once it is open, for those who only read
	admin    *deadletter.Admin
	boundsKeptAt  time.Time      // when the bounds were last kept
	helpers    sync.WaitGroup // goroutines beside it: the clock of the bounds, and what answers the tool

	mu    sync.Mutex
	workAvailable  sync.Cond // something waits, or all is at its end
	closing bool
	newClasses  []deadletter.Class // classes of new settings, until they are taken over
	due  bool               // time to look at bounds and at what is due
	deadLetterBatch
	lostCount   int // listed so far
	unrecorded int // so often something was not noted: what is known of topics begins anew
	unrecordedAtReset  int // misses when it last did
}

// deadLetterBatch is what is to be written to the store.
type deadLetterBatch struct {
	records    []deadletter.Kept
	results    []deadletter.Result // of resends
	lost    []string            // to be listed as not kept
	delivered   []deadletter.Note   // of topics, delivered
	rejectedCounts map[string]int      // at arrival, by class and tenant
	rejectedRecords  []deadletter.Kept   // the same, where they are kept: in no journal, so that the loop hears nothing of them
}

// newDeadLetterWriter makes a keeper; last is the store that the journal says was told of all that was delivered.
func newDeadLetterWriter(cfg *Config, last string, timeline *clock.Timeline, put func(any)) *deadLetterWriter {
	s := cfg.Own.Undelivered
	k := &deadLetterWriter{section: s, journalledStore: last, timeline: timeline, send: put, acknowledge: func(ids []string) { put(kept{ids}) }}
	k.classes = cfg.ResendClasses(s)
	k.newResender = func(store *deadletter.Store) *deadletter.Resender { return newResender(cfg, store) }
	k.workAvailable.L = &k.mu
	return k
}

// now is the time by which the store reckons: a date on the relay's timeline.
func (k *deadLetterWriter) now() time.Time { return k.timeline.Now().Time() }

// deadLetterStore gives the store of undelivered messages, or nil while there is none.
func (l *loop) deadLetterStore() *deadletter.Store {
	if l.writer == nil {
		return nil
	}
	return l.writer.openStore.Load()
}

// setClasses has the classes be those of new settings.
func (k *deadLetterWriter) setClasses(classes []deadletter.Class) {
	k.update(func() { k.newClasses = classes })
}

// applyNewClasses takes over the classes of new settings.
func (k *deadLetterWriter) applyNewClasses() {
	k.mu.Lock()
	classes := k.newClasses
	k.newClasses = nil
	k.mu.Unlock()
	if classes == nil {
		return
	}
	k.classes = classes
	for i := range k.section.Rules {
		for _, fault := range k.section.Rules[i].Against(classes) {
			// Nothing goes that its class forbids: what the rule is for is held. The next start wants the file mended.
			slog.Warn("a rule for undelivered messages does not fit the new settings", "rule", i+1, "fault", fault)
		}
	}
	if k.deadLetters != nil {
		k.resender.Reclass(classes)
		k.admin.Reclass(classes)
		k.resender.Sweep() // what was held under the old classes is looked at again
	}
}

// store wants a message kept.
func (k *deadLetterWriter) store(m deadletter.Kept) {
	k.update(func() { k.records = append(k.records, m) })
}

// addResult wants what became of a resend noted.
func (k *deadLetterWriter) addResult(r deadletter.Result) {
	k.update(func() { k.results = append(k.results, r) })
}

// noteDelivered wants a message noted that was delivered.
func (k *deadLetterWriter) noteDelivered(n deadletter.Note) {
	k.update(func() { k.delivered = append(k.delivered, n) })
}

// recordRejected wants a message counted that was refused at its arrival, and kept where the operator wants that: as many as
// fit, since what is refused is most where there is least room for it.
func (k *deadLetterWriter) recordRejected(m deadletter.Kept) {
	k.update(func() {
		if k.section.Refused && len(k.rejectedRecords) < maxWaitingRejected {
			k.rejectedRecords = append(k.rejectedRecords, m)
		}
		if k.rejectedCounts == nil {
			k.rejectedCounts = map[string]int{}
		}
		k.rejectedCounts[m.Class+" of "+m.Tenant]++
	})
}

// abandon lists a message as not kept, since the journal has no room for it any more, and says so. One that was
// delivered is not noted.
func (k *deadLetterWriter) abandon(m *request) {
	ids := []string{m.ID}
	k.mu.Lock()
	k.unrecorded++
	if m.Delivered {
		k.delivered = slices.DeleteFunc(k.delivered, func(n deadletter.Note) bool { return n.ID == m.ID })
		k.mu.Unlock()
		return
	}
	k.lostCount++
	k.lost = append(k.lost, ids...)
	k.removeWaiting(ids)
	lost := k.lostCount
	k.mu.Unlock()
	k.workAvailable.Signal()
	slog.Error("undelivered messages not kept: the store does not take them, and the journal has no room", "ids", ids, "in all", lost)
}

// nextBatch waits for something to do, and gives the next batch; ok is false at the end. What was refused goes with the
// next batch: where it is counted only, it alone is not worth a transaction.
func (k *deadLetterWriter) nextBatch() (t deadLetterBatch, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.records) == 0 && len(k.results) == 0 && len(k.lost) == 0 && len(k.delivered) == 0 && !k.closing && !k.due {
		k.workAvailable.Wait()
	}
	k.due = false
	return deadLetterBatch{
		records: slices.Clone(k.records[:min(len(k.records), maxBatch)]), results: slices.Clone(k.results), lost: slices.Clone(k.lost),
		delivered: slices.Clone(k.delivered[:min(len(k.delivered), maxBatch)]), rejectedCounts: maps.Clone(k.rejectedCounts),
		rejectedRecords: slices.Clone(k.rejectedRecords[:min(len(k.rejectedRecords), maxBatch)]),
	}, !k.closing
}

// update changes what take waits for.
func (k *deadLetterWriter) update(change func()) {
	k.mu.Lock()
	change()
	k.mu.Unlock()
	k.workAvailable.Broadcast()
}

// runTicker has the bounds kept, and what is due looked at, now and then, until ctx ends.
func (k *deadLetterWriter) runTicker(ctx context.Context) {
	for wait.For(ctx, redeliveryPollInterval) {
		k.update(func() { k.due = true })
	}
	k.update(func() { k.closing = true })
}

// run hands over until ctx ends. What is left then a later process hands over from the journal.
func (k *deadLetterWriter) run(ctx context.Context) {
	k.helpers.Go(func() { k.runTicker(ctx) })
	defer func() {
		k.helpers.Wait()
		if k.deadLetters != nil {
			_ = k.deadLetters.Close()
		}
	}()
	var said time.Time
	if err := k.ensureOpen(ctx); err != nil { // it is tried again with the first message
		slog.Error("the store of undelivered messages can't be opened", "err", err)
	}
	for {
		t, ok := k.nextBatch()
		if !ok {
			k.writeRemainingRejected()
			return
		}
		k.applyNewClasses()
		err := k.writeBatch(ctx, &t)
		k.enforceBounds(errors.Is(err, deadletter.ErrFull))
		if err == nil {
			err = k.offerRedeliveries(ctx)
		}
		if err == nil {
			continue
		}
		if time.Since(said) > storeErrorLogInterval {
			said = time.Now()
			slog.Error("undelivered messages wait for their store", "err", err, "waiting", len(t.records)+len(t.delivered))
		}
		if !wait.For(ctx, storeRetryPause) {
			return
		}
	}
}

// ensureOpen opens the store, and has the tool answered, where that was not done yet.
func (k *deadLetterWriter) ensureOpen(ctx context.Context) (err error) {
	if k.deadLetters != nil {
		return nil
	}
	k.deadLetters, err = deadletter.Open(k.section.Folder, int64(k.section.QuotaMB*1e6), k.section.Messages)
	if err != nil {
		k.deadLetters = nil
		return err
	}
	if err := k.syncTopics(); err != nil {
		_ = k.deadLetters.Close()
		k.deadLetters = nil
		return err
	}
	k.bounds = deadletter.NewBounds(k.deadLetters, k.section)
	k.openStore.Store(k.deadLetters)
	k.resender = k.newResender(k.deadLetters)
	k.resender.Through(k.gate)
	k.resender.Reclass(k.classes)
	k.admin = &deadletter.Admin{Store: k.deadLetters, Now: k.now, Classes: k.classes}
	if k.section.Socket != "" {
		k.helpers.Go(func() {
			if err := deadletter.Serve(ctx, k.section.Socket, k.admin); err != nil {
				slog.Error("the tool for undelivered messages is not answered", "err", err)
			}
		})
	}
	return nil
}

// syncTopics has the store know the newest message of each topic. It begins anew where the journal names another store, or
// none: then a process ran that told this one nothing, or the folder or the journal is not the one of before.
func (k *deadLetterWriter) syncTopics() error {
	id, err := k.deadLetters.ID()
	if err != nil {
		return err
	}
	k.mu.Lock()
	misses := k.unrecorded
	k.mu.Unlock()
	anew := misses > k.unrecordedAtReset || id != k.journalledStore
	if err := k.deadLetters.Topics(k.section, anew, k.now()); err != nil {
		return err
	}
	k.journalledStore, k.unrecordedAtReset = id, misses
	k.send(storeKnows{id, misses})
	return nil
}

// enforceBounds keeps the store's bounds, at most so often.
func (k *deadLetterWriter) enforceBounds(full bool) {
	if k.deadLetters == nil || time.Since(k.boundsKeptAt) < boundsInterval && !full {
		return
	}
	k.boundsKeptAt = time.Now()
	left, err := k.bounds.Keep(k.now(), full)
	if err != nil {
		slog.Error("bounds of the store of undelivered messages", "err", err)
	} else if left > 0 {
		slog.Warn("undelivered messages left by a bound", "messages", left)
	}
}

// writeBatch writes what is to be written, or parts of it: a message that can't be kept is not to keep back the others.
func (k *deadLetterWriter) writeBatch(ctx context.Context, t *deadLetterBatch) (err error) {
	if err := k.ensureOpen(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	missed := k.unrecorded > k.unrecordedAtReset
	k.mu.Unlock()
	if missed {
		if err := k.syncTopics(); err != nil {
			return err
		}
	}
	if len(t.results) > 0 {
		if err := k.resender.Return(t.results, k.now()); err != nil {
			return err
		}
		ids := make([]string, len(t.results))
		for i := range t.results {
			ids[i] = t.results[i].Life.ID
		}
		k.update(func() { k.results = k.results[len(ids):] })
		k.acknowledge(ids)
	}
	if len(t.delivered) > 0 {
		if err := k.deadLetters.Delivered(t.delivered); err != nil {
			return err
		}
		ids := make([]string, len(t.delivered))
		for i := range t.delivered {
			ids[i] = t.delivered[i].ID
		}
		// Some may have been abandoned meanwhile.
		k.update(func() {
			k.delivered = slices.DeleteFunc(k.delivered, func(n deadletter.Note) bool { return slices.Contains(ids, n.ID) })
		})
		k.acknowledge(ids)
	}
	if len(t.lost) > 0 {
		if err := k.deadLetters.Unkept(t.lost, "the store did not take it, and the journal had no room", k.now()); err != nil {
			return err
		}
		k.update(func() { k.lost = k.lost[len(t.lost):] })
	}
	if err := k.writeRecords(t.records); err != nil {
		return err
	}
	return k.writeRejected(t) // after what was taken on, and dropped where there is no room
}

// writeRejected writes what was refused at its arrival.
func (k *deadLetterWriter) writeRejected(t *deadLetterBatch) error {
	if len(t.rejectedCounts) > 0 {
		if err := k.deadLetters.Refused(t.rejectedCounts); err != nil {
			return err
		}
		k.update(func() {
			for group, n := range t.rejectedCounts {
				if k.rejectedCounts[group] -= n; k.rejectedCounts[group] == 0 {
					delete(k.rejectedCounts, group)
				}
			}
		})
	}
	if len(t.rejectedRecords) == 0 {
		return nil
	}
	err := k.deadLetters.Put(t.rejectedRecords)
	if err == nil || errors.Is(err, deadletter.ErrFull) {
		k.update(func() { k.rejectedRecords = k.rejectedRecords[len(t.rejectedRecords):] })
	}
	return err
}

// writeRemainingRejected writes what is in no journal, so that no later process hands it over: what was refused at its arrival.
func (k *deadLetterWriter) writeRemainingRejected() {
	for k.deadLetters != nil {
		t, _ := k.nextBatch() // gives at once, since all is at its end
		if len(t.rejectedCounts)+len(t.rejectedRecords) == 0 {
			return
		}
		if err := k.writeRejected(&t); err != nil {
			slog.Error("messages refused at their arrival are not in the store", "err", err, "counted", t.rejectedCounts, "kept", len(t.rejectedRecords))
			return
		}
	}
}

// writeRecords puts messages that were taken on into the store.
func (k *deadLetterWriter) writeRecords(batch []deadletter.Kept) error {
	if len(batch) == 0 {
		return nil
	}
	err := k.deadLetters.Put(batch)
	if err != nil && len(batch) > 1 && !errors.Is(err, deadletter.ErrFull) {
		batch = batch[:1]
		err = k.deadLetters.Put(batch)
	}
	if err != nil {
		return err
	}
	ids := make([]string, len(batch))
	for i := range batch {
		ids[i] = batch[i].ID
	}
	k.recordsStored(ids)
	return nil
}

// recordsStored reports messages that are in the store, and lets go of them here: some may have been abandoned meanwhile.
func (k *deadLetterWriter) recordsStored(ids []string) {
	k.mu.Lock()
	k.removeWaiting(ids)
	k.mu.Unlock()
	k.acknowledge(ids)
}

// removeWaiting drops messages from those that wait; the lock is held.
func (k *deadLetterWriter) removeWaiting(ids []string) {
	k.records = slices.DeleteFunc(k.records, func(m deadletter.Kept) bool { return slices.Contains(ids, m.ID) })
}

// The events of the keeper.
type (
	// kept says that the store has messages, or knows that they were delivered.
	kept struct{ ids []string }
	// storeKnows says which store knows from now on all that is delivered.
	storeKnows struct {
		name   string
		misses int // that it knows of
	}
)

// outcomeNames are the names of outcomes in records.
var outcomeNames = map[policy.Outcome]string{
	policy.Succeeded: "delivered", policy.Failed: "error", policy.Rejected: "turned away",
	policy.TimedOut: "timed out", policy.ConnectError: "no connection", policy.ConnectionReset: "reset", policy.Canceled: "given up",
	policy.NotSent: "not sent",
}

// reason says why a message ends undelivered.
func (l *loop) reason(m *request, status string) deadletter.Reason {
	now := l.timeline.Now()
	switch {
	case l.class(m.Class) < 0:
		return deadletter.Settings
	case now > m.Deadline:
		if m.recovered {
			return deadletter.ProcessEnded
		}
		return deadletter.OutOfTime
	case len(m.Attempts) >= l.cfg.policy.MaxAttempts:
		return deadletter.Spent
	case status == notification.Undeliverable:
		return deadletter.Doubtful
	case now > m.Deadline.Add(-deadlineMargin):
		return deadletter.OutOfTime
	}
	return deadletter.RefusedLate
}

// deadLetterLife is what this relay knows of one time that a message was taken on.
func (l *loop) deadLetterLife(m *request) deadletter.Life {
	life := deadletter.Life{
		ID: m.ID, Relay: l.cfg.Name, Taken: m.AcceptedAt.Time(), Expires: m.Deadline.Time(), Over: m.CompletedAt.Time(),
		Reason: deadletter.Reason(m.Reason), Status: m.PendingNotice.Status,
	}
	if life.Taken.IsZero() { // taken on by a process that kept no undelivered messages
		life.Taken = life.Over
	}
	for _, a := range m.Attempts {
		ran := deadletter.May // also of one that was out when a process ended
		switch {
		case a.Ended && a.NotExecuted:
			ran = deadletter.Never
		case a.Outcome == outcomeNames[policy.Succeeded]:
			ran = deadletter.Did
		}
		life.Attempts = append(life.Attempts, deadletter.Attempt{Host: a.Endpoint, Begun: a.StartedAt.Time(), Ended: a.EndedAt.Time(), Outcome: a.Outcome, Ran: ran})
	}
	return life
}

// deadLetterRecord makes the store's record of a message that is over.
func (l *loop) deadLetterRecord(m *request, life deadletter.Life) deadletter.Kept {
	return deadletter.Kept{
		Record: deadletter.Record{
			ID: m.ID, Class: m.Class, Tenant: m.Tenant, Partner: m.Destination, Key: m.IdempotencyKey, Item: m.OrderKey,
			Subject: m.Subject, Order: m.Order, Lives: []deadletter.Life{life}, State: deadletter.Held, Since: life.Over, Due: life.Over,
		},
		Body: m.Body,
	}
}

// recordRejected tells the store of a message that is refused at its arrival: it owes the platform nothing, and was in no
// journal.
func (l *loop) recordRejected(m *request, status string) {
	if l.writer == nil || m.Redelivery {
		return
	}
	l.writer.recordRejected(l.deadLetterRecord(m, deadletter.Life{
		ID: m.ID, Relay: l.cfg.Name, Taken: m.AcceptedAt.Time(), Expires: m.Deadline.Time(),
		Over:   l.timeline.Now().Time(),
		Reason: deadletter.AtArrival, Status: status,
	}))
}

// publishOutcome tells the end of a message that owes one: to the platform, and to the store where one is kept; that of a
// resend to the store alone.
func (l *loop) publishOutcome(m *request) {
	l.checkOutcomeRecorded(m)
	switch {
	case (m.Redelivery || m.PendingNotice.Status == expiredAtEndpoint) && l.writer == nil: // the operator has turned the store off: nobody is left to tell
		l.evict(m)
	case m.Redelivery:
		res := deadletter.Result{Life: l.deadLetterLife(m), Delivered: m.PendingNotice.Status == redeliveryDelivered}
		if m.PendingNotice.Status == redeliverySuperseded {
			res.Life.Reason, res.Overtaken = deadletter.Overtaken, m.Reason // which by
		}
		l.writer.addResult(res)
	case m.PendingNotice.Status == expiredAtEndpoint:
		l.noticed(m) // there is none
		l.writer.store(l.deadLetterRecord(m, l.deadLetterLife(m)))
	default:
		l.notifier.Enqueue(*m.PendingNotice)
		if l.writer != nil {
			l.writer.store(l.deadLetterRecord(m, l.deadLetterLife(m)))
		}
	}
}

// expiredAtEndpoint is the end of a message of which the platform says that its time is up: nothing more is owed for it, and the
// store is told alone.
const expiredAtEndpoint = "out-of-time"

// withdrawn ends a message of which a host says that it is over, though it was not delivered.
func (l *loop) withdrawn(m *request) {
	now := l.timeline.Now()
	switch {
	case m.Redelivery:
		l.decideRedelivery(m, expiredAtEndpoint, "")
	case now > m.Deadline.Add(-deadlineMargin):
		l.decideOutcome(m, expiredAtEndpoint)
		l.journal.DecideOutcome(m.Entry, notification.Notice{ID: m.ID, Status: expiredAtEndpoint}, string(deadletter.OutOfTime), now)
		m.outcomeRecord = l.journal.LastRecord()
		l.afterCommitOrBy(m.Deadline, func() { l.publishOutcome(m) })
	default: // its client has withdrawn it
		l.evict(m)
	}
}

// noticed notes that the platform has a message's notice: it leaves the journal once the store has it too.
func (l *loop) noticed(m *request) {
	if l.writer == nil || m.kept {
		l.evict(m)
		return
	}
	if !m.noticed {
		m.noticed = true
		l.awaitingStore = append(l.awaitingStore, m)
	}
}

// deadLetterStored notes that the store has a message.
func (l *loop) deadLetterStored(m *request) {
	m.kept = true
	l.inFlightSubmissions.Ended(m.ID, m.topic()) // the store says now what waits
	if m.noticed || m.Redelivery || m.Delivered {
		l.evict(m)
	}
	for len(l.awaitingStore) > 0 && l.awaitingStore[0].kept {
		l.awaitingStore = l.awaitingStore[1:]
	}
}

// reserveJournalSpace keeps room in the journal for a message. Where there is none, the oldest of those that only wait for the
// store make room: keeping them is not to stop the relay's main job.
func (l *loop) reserveJournalSpace(e *journal.Entry) bool {
	for !l.journal.Reserve(e) {
		if l.journal.Failed() {
			return false // for want of no room
		}
		for len(l.awaitingStore) > 0 && l.awaitingStore[0].kept {
			l.awaitingStore = l.awaitingStore[1:]
		}
		if len(l.awaitingStore) == 0 {
			return false
		}
		m := l.awaitingStore[0]
		l.awaitingStore = l.awaitingStore[1:]
		l.dropped++
		l.journal.SetStore("") // until the store knows that something is missing
		l.writer.abandon(m)
		l.evict(m)
	}
	return true
}
