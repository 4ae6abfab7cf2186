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
	// storeRetryPause is the pause after the store could not be written.
	storeRetryPause = 500 * time.Millisecond
	// storeErrorLogInterval is how often that is logged at most.
	storeErrorLogInterval = 10 * time.Second
	// boundsInterval is between rounds of the store's bounds.
	boundsInterval = time.Second
	// redeliveryPollInterval is between looks at what is due to be redelivered.
	redeliveryPollInterval = 200 * time.Millisecond
)

// deadLetterWriter writes undelivered requests to the dead-letter store, and offers the loop what is due to be redelivered.
// It never holds up the loop: what the store does not accept waits in the queue, and in the journal.
type deadLetterWriter struct {
	section     *deadletter.Section
	queue       *deadLetterQueue
	send        func(deadLetterEvent) // hands the loop an event
	timeline    *clock.Timeline
	newResender func(*deadletter.Store) *deadletter.Redeliverer
	gate        deadletter.Gate                  // of redeliveries; nil: none
	openStore   atomic.Pointer[deadletter.Store] // once it is open, for those who only read

	// Of the goroutine alone.
	classes          []deadletter.Class
	journalledStore  string            // the store that, by the journal, has recorded all that was delivered
	deadLetters      *deadletter.Store // nil until it could be opened
	bounds           *deadletter.Bounds
	resender         *deadletter.Redeliverer
	admin            *deadletter.Admin
	boundsEnforcedAt time.Time
	unrecordedAtSync int            // the queue's count when the store's topics last began anew
	helpers          sync.WaitGroup // goroutines beside it: the ticker, and the server of the operator's tool
}

// newDeadLetterWriter returns a writer; journalledStore is the store that, by the journal, has recorded all that was
// delivered.
func newDeadLetterWriter(cfg *Config, journalledStore string, timeline *clock.Timeline, send func(deadLetterEvent)) *deadLetterWriter {
	section := cfg.OperatorFile.DeadLetter
	return &deadLetterWriter{
		section: section, queue: newDeadLetterQueue(section.KeepRejected), send: send, timeline: timeline,
		newResender: func(store *deadletter.Store) *deadletter.Redeliverer { return newResender(cfg, store) },
		classes:     cfg.RedeliveryClasses(section), journalledStore: journalledStore,
	}
}

// now returns the time by which the store reckons: a date on the relay's timeline.
func (w *deadLetterWriter) now() time.Time { return w.timeline.Now().Time() }

// run writes until ctx ends. What is left then a later process writes from the journal.
func (w *deadLetterWriter) run(ctx context.Context) {
	w.helpers.Go(func() { w.runTicker(ctx) })
	defer w.closeStore()
	var loggedAt time.Time
	if err := w.ensureOpen(ctx); err != nil { // it is tried again with the first batch
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
			slog.Error("writing dead letters failed: they wait", logkey.Err, err, logkey.Count, len(batch.records)+len(batch.delivered))
		}
		if !wait.For(ctx, storeRetryPause) {
			return
		}
	}
}

// runTicker has the bounds enforced, and what is due offered, now and then, until ctx ends.
func (w *deadLetterWriter) runTicker(ctx context.Context) {
	for wait.For(ctx, redeliveryPollInterval) {
		w.queue.poll()
	}
	w.queue.close()
}

// closeStore ends what run has begun.
func (w *deadLetterWriter) closeStore() {
	w.helpers.Wait()
	if w.deadLetters != nil {
		_ = w.deadLetters.Close() // each write was a transaction of its own
	}
}

// handleBatch writes a batch, enforces the bounds and offers what is due.
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

// applyClasses takes over the classes of new settings.
func (w *deadLetterWriter) applyClasses(classes []deadletter.Class) {
	w.classes = classes
	for i := range w.section.Rules {
		for _, fault := range w.section.Rules[i].Conflicts(classes) {
			// Nothing is redelivered that its class forbids: what the rule is for is held. The next start wants the file mended.
			slog.Warn("redelivery rule conflicts with the new settings", logkey.Rule, i+1, logkey.Reason, fault)
		}
	}
	if w.deadLetters != nil {
		w.resender.SetClasses(classes)
		w.admin.SetClasses(classes)
		w.resender.Sweep() // what was held under the old classes is looked at again
	}
}

// ensureOpen opens the store and serves the operator's tool, where that was not done yet.
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
		_ = w.deadLetters.Close() // it is opened again later
		w.deadLetters = nil
		return err
	}
	w.bounds = deadletter.NewBounds(w.deadLetters, w.section)
	w.openStore.Store(w.deadLetters)
	w.resender = w.newResender(w.deadLetters)
	w.resender.SetGate(w.gate)
	w.resender.SetClasses(w.classes)
	w.admin = &deadletter.Admin{Store: w.deadLetters, Now: w.now, Classes: w.classes}
	if w.section.Socket != "" {
		w.helpers.Go(func() { w.serveTool(ctx) })
	}
	return nil
}

// serveTool serves the operator's tool until ctx ends.
func (w *deadLetterWriter) serveTool(ctx context.Context) {
	if err := deadletter.Serve(ctx, w.section.Socket, w.admin); err != nil {
		slog.Error("serving the dead-letter tool failed", logkey.Err, err)
	}
}

// syncTopics has the store know the newest request of each topic. It begins anew where the journal names another store, or
// none: then a process ran that recorded nothing in this one, or the folder or the journal is not the one of before.
func (w *deadLetterWriter) syncTopics() error {
	id, err := w.deadLetters.ID()
	if err != nil {
		return err
	}
	unrecorded := w.queue.unrecordedCount()
	beginAnew := unrecorded > w.unrecordedAtSync || id != w.journalledStore
	if err := w.deadLetters.TrackSubjects(w.section, beginAnew, w.now()); err != nil {
		return err
	}
	w.journalledStore, w.unrecordedAtSync = id, unrecorded
	w.send(storeSynced{id, unrecorded})
	return nil
}

// enforceBounds enforces the store's bounds, once in boundsInterval unless the store is full.
func (w *deadLetterWriter) enforceBounds(full bool) {
	if w.deadLetters == nil || time.Since(w.boundsEnforcedAt) < boundsInterval && !full {
		return
	}
	w.boundsEnforcedAt = time.Now()
	removed, err := w.bounds.Enforce(w.now(), full)
	if err != nil {
		slog.Error("enforcing the bounds of the dead-letter store failed", logkey.Err, err)
	} else if removed > 0 {
		slog.Warn("dead letters removed by a bound", logkey.Count, removed)
	}
}
