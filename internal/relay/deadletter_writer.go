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
	"frostlink/internal/wait"
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
	section         *deadletter.Section
	acknowledge     func(ids []string)
	send            func(any) // hands the loop an event
	newResender     func(*deadletter.Store) *deadletter.Resender
	timeline        *clock.Timeline
	journalledStore string // the store that the journal says was told of all that was delivered
	classes         []deadletter.Class

	// The goroutine's own.
	deadLetters  *deadletter.Store // nil until it could be opened
	bounds       *deadletter.Bounds
	resender     *deadletter.Resender
	gate         deadletter.Gate                  // of resends; nil: none
	openStore    atomic.Pointer[deadletter.Store] // once it is open, for those who only read
	admin        *deadletter.Admin
	boundsKeptAt time.Time      // when the bounds were last kept
	helpers      sync.WaitGroup // goroutines beside it: the clock of the bounds, and what answers the tool

	mu            sync.Mutex
	workAvailable sync.Cond // something waits, or all is at its end
	closing       bool
	newClasses    []deadletter.Class // classes of new settings, until they are taken over
	due           bool               // time to look at bounds and at what is due
	deadLetterBatch
	lostCount         int // listed so far
	unrecorded        int // so often something was not noted: what is known of topics begins anew
	unrecordedAtReset int // misses when it last did
}

// deadLetterBatch is what is to be written to the store.
type deadLetterBatch struct {
	records         []deadletter.Kept
	results         []deadletter.Result // of resends
	lost            []string            // to be listed as not kept
	delivered       []deadletter.Note   // of topics, delivered
	rejectedCounts  map[string]int      // at arrival, by class and tenant
	rejectedRecords []deadletter.Kept   // the same, where they are kept: in no journal, so that the loop hears nothing of them
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
