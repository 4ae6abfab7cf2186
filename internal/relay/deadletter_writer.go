package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/logkey"
	"frostlink/internal/wait"
)

const (
	// storeRetryPause is the pause after a failed write to the store.
	storeRetryPause = 500 * time.Millisecond
	// storeErrorLogInterval is the shortest interval between log messages about failed writes.
	storeErrorLogInterval = 10 * time.Second
	// boundsInterval is the interval at which the store's retention bounds are enforced.
	boundsInterval = time.Second
	// redeliveryPollInterval is the interval at which due redeliveries are looked up.
	redeliveryPollInterval = 200 * time.Millisecond
)

// deadLetterWriter writes undelivered requests to the dead-letter store, and offers due redeliveries to the loop. It never
// blocks the loop: requests that the store does not accept wait in the queue, and in the journal.
type deadLetterWriter struct {
	section        *deadletter.Section
	operatorPath   string // path of the operator's file, for log messages
	queue          *deadLetterQueue
	send           func(deadLetterEvent) // sends an event to the loop
	timeline       *clock.Timeline
	newRedeliverer func(*deadletter.Store) *deadletter.Redeliverer
	gate           deadletter.Gate                  // grants destinations for redelivery; nil: every redelivery is allowed
	openStore      atomic.Pointer[deadletter.Store] // nil until the store is open; other goroutines use it to read the store
	ruleConflicts  atomic.Int64                     // number of redelivery rules' conflicts with the settings in force

	// Used only by the goroutine of run and the goroutines that it starts.
	classes          []deadletter.Class
	journalledStore  string            // the store that has recorded all deliveries, according to the journal
	deadLetters      *deadletter.Store // nil until the store is open
	bounds           *deadletter.Bounds
	redeliverer      *deadletter.Redeliverer
	admin            *deadletter.Admin
	boundsEnforcedAt time.Time
	unrecordedAtSync int            // the queue's unrecordedCount at the last syncTopics
	goroutines       sync.WaitGroup // the ticker, and the server of the operator's tool
}

// newDeadLetterWriter returns a writer. journalledStore is the store that has recorded all deliveries, according to the
// journal.
func newDeadLetterWriter(cfg *Config, journalledStore string, timeline *clock.Timeline, send func(deadLetterEvent)) *deadLetterWriter {
	section := cfg.OperatorFile.DeadLetter
	return &deadLetterWriter{
		section: section, operatorPath: cfg.OperatorPath, queue: newDeadLetterQueue(cfg.rejectedMemory()), send: send, timeline: timeline,
		newRedeliverer: func(store *deadletter.Store) *deadletter.Redeliverer { return newRedeliverer(cfg, store) },
		classes:        cfg.RedeliveryClasses(section), journalledStore: journalledStore,
	}
}

// now returns the store's time: the relay's timeline as a date.
func (w *deadLetterWriter) now() time.Time { return w.timeline.Now().Time() }

// run writes batches until ctx ends. A later process writes the remaining requests from the journal.
func (w *deadLetterWriter) run(ctx context.Context) {
	w.goroutines.Go(func() { w.runTicker(ctx) })
	defer w.closeStore()
	w.reportRuleConflicts()
	var loggedAt time.Time
	if err := w.ensureOpen(ctx); err != nil { // it is retried with the first batch
		slog.Error("opening the dead-letter store failed", logkey.Err, err)
	}
	for {
		batch, ok := w.queue.nextBatch()
		if !ok {
			w.writeRemainingRejected()
			return
		}
		err := w.handleBatch(ctx, &batch)
		if err == nil {
			continue
		}
		if time.Since(loggedAt) > storeErrorLogInterval {
			loggedAt = time.Now()
			slog.Error("writing dead letters failed: they wait for a retry", logkey.Err, err, logkey.Count, len(batch.records)+len(batch.delivered))
		}
		if !wait.For(ctx, storeRetryPause) {
			return
		}
	}
}

// runTicker polls the queue at redeliveryPollInterval until ctx ends, so that bounds are enforced and due redeliveries are
// offered, and then closes the queue.
func (w *deadLetterWriter) runTicker(ctx context.Context) {
	for wait.For(ctx, redeliveryPollInterval) {
		w.queue.poll()
	}
	w.queue.close()
}

// closeStore waits for the goroutines that run has started, and closes the store.
func (w *deadLetterWriter) closeStore() {
	w.goroutines.Wait()
	if w.deadLetters != nil {
		_ = w.deadLetters.Close() // nothing is lost if it fails: each write was a transaction of its own
	}
}

// handleBatch writes a batch, enforces the bounds and offers due redeliveries.
func (w *deadLetterWriter) handleBatch(ctx context.Context, b *deadLetterBatch) error {
	if classes := w.queue.takeClasses(); classes != nil {
		w.applyClasses(classes)
	}
	err := w.writeBatch(ctx, b)
	w.enforceBounds(errors.Is(err, deadletter.ErrFull))
	if err != nil {
		return err
	}
	return w.offerRedeliveries(ctx)
}

// applyClasses applies the classes of new settings.
func (w *deadLetterWriter) applyClasses(classes []deadletter.Class) {
	w.classes = classes
	w.reportRuleConflicts()
	if w.deadLetters != nil {
		w.redeliverer.SetClasses(classes)
		w.admin.SetClasses(classes)
		w.redeliverer.Sweep() // requests that were held under the old classes may now be due
	}
}

// reportRuleConflicts logs and counts the rules that the settings forbid. The settings may change at any time, so that a conflict must
// not end the process: it is logged at the start and at a reload alike, and the requests that a rule may not redeliver stay held.
func (w *deadLetterWriter) reportRuleConflicts() {
	conflicts := w.section.RuleConflicts(w.classes)
	w.ruleConflicts.Store(int64(len(conflicts)))
	for _, conflict := range conflicts {
		slog.Warn("redelivery rule conflicts with the settings",
			logkey.File, w.operatorPath, logkey.Key, conflict.Key(), logkey.Rule, conflict.Rule, logkey.Reason, conflict.Reason)
	}
}

// ensureOpen opens the store and starts the server of the operator's tool, unless the store is open.
func (w *deadLetterWriter) ensureOpen(ctx context.Context) (err error) {
	if w.deadLetters != nil {
		return nil
	}
	w.deadLetters, err = deadletter.Open(w.section.Folder, int64(w.section.QuotaMB*1e6), w.section.MaxMessages)
	if err != nil {
		w.deadLetters = nil
		return err
	}
	if err := w.syncTopics(); err != nil {
		_ = w.deadLetters.Close() // the next batch opens it again
		w.deadLetters = nil
		return err
	}
	w.bounds = deadletter.NewBounds(w.deadLetters, w.section)
	w.openStore.Store(w.deadLetters)
	w.redeliverer = w.newRedeliverer(w.deadLetters)
	w.redeliverer.SetGate(w.gate)
	w.redeliverer.SetClasses(w.classes)
	w.admin = &deadletter.Admin{Store: w.deadLetters, Now: w.now, Classes: w.classes}
	if w.section.Socket != "" {
		w.goroutines.Go(func() { w.serveTool(ctx) })
	}
	return nil
}

// serveTool serves the operator's tool until ctx ends.
func (w *deadLetterWriter) serveTool(ctx context.Context) {
	if err := deadletter.Serve(ctx, w.section.Socket, w.admin); err != nil {
		slog.Error("serving the dead-letter tool failed", logkey.Err, err)
	}
}

// syncTopics makes the store track the newest request of each topic. Tracking begins anew if a request was dropped unrecorded,
// or if the journal names another store or none: then a process has run that recorded no deliveries in this store, or the
// store's folder or the journal was replaced.
func (w *deadLetterWriter) syncTopics() error {
	id, err := w.deadLetters.ID()
	if err != nil {
		return err
	}
	unrecorded := w.queue.unrecordedCount()
	missed := unrecorded > w.unrecordedAtSync || id != w.journalledStore
	if err := w.deadLetters.TrackSubjects(w.section, missed, w.now()); err != nil {
		return err
	}
	w.journalledStore, w.unrecordedAtSync = id, unrecorded
	w.send(storeSynced{id, unrecorded})
	return nil
}

// enforceBounds enforces the store's retention bounds, at most once per boundsInterval unless the store is full.
func (w *deadLetterWriter) enforceBounds(full bool) {
	if w.deadLetters == nil || time.Since(w.boundsEnforcedAt) < boundsInterval && !full {
		return
	}
	w.boundsEnforcedAt = time.Now()
	removed, err := w.bounds.Enforce(w.now(), full)
	if err != nil {
		slog.Error("enforcing the bounds of the dead-letter store failed", logkey.Err, err)
	} else if removed > 0 {
		slog.Warn("dead letters removed by a retention bound", logkey.Count, removed)
	}
}
