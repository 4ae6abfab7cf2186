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
	// keepBatch messages go into the store in one transaction at most.
	keepBatch = 200
	// keepAgain is the pause after the store could not take messages, and keepSaid how often that is said.
	keepAgain, keepSaid = 500 * time.Millisecond, 10 * time.Second
	// boundsEvery is between rounds of the store's bounds.
	boundsEvery = time.Second
	// lookEvery is between looks at what is due to be resent.
	lookEvery = 200 * time.Millisecond
	// mostRefused messages that were refused at their arrival wait for the store at most.
	mostRefused = 2000
	// endMargin before its time is up a message that is given up counts as out of time: that much is left when no
	// further attempt would come to its end.
	endMargin = time.Second
)

// keeper hands undelivered messages over to their store. It never holds up the loop: what the store does not take
// waits here, and in the journal.
type keeper struct {
	section     *deadletter.Section
	done        func(ids []string)
	offer       func(any) // hands the loop an event
	newResender func(*deadletter.Store) *deadletter.Resender
	timeline    *clock.Timeline
	last        string // the store that the journal says was told of all that was delivered
	classes     []deadletter.Class

	// The goroutine's own.
	store    *deadletter.Store // nil until it could be opened
	bounds   *deadletter.Bounds
	resender *deadletter.Resender
	gate     deadletter.Gate                  // of resends; nil: none
	shared   atomic.Pointer[deadletter.Store] // once it is open, for those who only read
	admin    *deadletter.Admin
	bounded  time.Time      // when the bounds were last kept
	tools    sync.WaitGroup // goroutines beside it: the clock of the bounds, and what answers the tool

	mu    sync.Mutex
	more  sync.Cond // something waits, or all is at its end
	ended bool
	anew  []deadletter.Class // classes of new settings, until they are taken over
	tick  bool               // time to look at bounds and at what is due
	todo
	lost   int // listed so far
	misses int // so often something was not noted: what is known of topics begins anew
	began  int // misses when it last did
}

// todo is what is to be written to the store.
type todo struct {
	wait    []deadletter.Kept
	back    []deadletter.Result // of resends
	drop    []string            // to be listed as not kept
	notes   []deadletter.Note   // of topics, delivered
	refused map[string]int      // at arrival, by class and tenant
	turned  []deadletter.Kept   // the same, where they are kept: in no journal, so that the loop hears nothing of them
}

// newKeeper makes a keeper; last is the store that the journal says was told of all that was delivered.
func newKeeper(cfg *Config, last string, timeline *clock.Timeline, put func(any)) *keeper {
	s := cfg.Own.Undelivered
	k := &keeper{section: s, last: last, timeline: timeline, offer: put, done: func(ids []string) { put(kept{ids}) }}
	k.classes = cfg.ResendClasses(s)
	k.newResender = func(store *deadletter.Store) *deadletter.Resender { return newResender(cfg, store) }
	k.more.L = &k.mu
	return k
}

// now is the time by which the store reckons: a date on the relay's timeline.
func (k *keeper) now() time.Time { return k.timeline.Now().Time() }

// keptIn gives the store of undelivered messages, or nil while there is none.
func (l *loop) keptIn() *deadletter.Store {
	if l.keeper == nil {
		return nil
	}
	return l.keeper.shared.Load()
}

// reclass has the classes be those of new settings.
func (k *keeper) reclass(classes []deadletter.Class) {
	k.set(func() { k.anew = classes })
}

// retuned takes over the classes of new settings.
func (k *keeper) retuned() {
	k.mu.Lock()
	classes := k.anew
	k.anew = nil
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
	if k.store != nil {
		k.resender.Reclass(classes)
		k.admin.Reclass(classes)
		k.resender.Sweep() // what was held under the old classes is looked at again
	}
}

// keep wants a message kept.
func (k *keeper) keep(m deadletter.Kept) {
	k.set(func() { k.wait = append(k.wait, m) })
}

// result wants what became of a resend noted.
func (k *keeper) result(r deadletter.Result) {
	k.set(func() { k.back = append(k.back, r) })
}

// note wants a message noted that was delivered.
func (k *keeper) note(n deadletter.Note) {
	k.set(func() { k.notes = append(k.notes, n) })
}

// refuse wants a message counted that was refused at its arrival, and kept where the operator wants that: as many as
// fit, since what is refused is most where there is least room for it.
func (k *keeper) refuse(m deadletter.Kept) {
	k.set(func() {
		if k.section.Refused && len(k.turned) < mostRefused {
			k.turned = append(k.turned, m)
		}
		if k.refused == nil {
			k.refused = map[string]int{}
		}
		k.refused[m.Class+" of "+m.Tenant]++
	})
}

// abandon lists a message as not kept, since the journal has no room for it any more, and says so. One that was
// delivered is not noted.
func (k *keeper) abandon(m *message) {
	ids := []string{m.ID}
	k.mu.Lock()
	k.misses++
	if m.Delivered {
		k.notes = slices.DeleteFunc(k.notes, func(n deadletter.Note) bool { return n.ID == m.ID })
		k.mu.Unlock()
		return
	}
	k.lost++
	k.drop = append(k.drop, ids...)
	k.letGo(ids)
	lost := k.lost
	k.mu.Unlock()
	k.more.Signal()
	slog.Error("undelivered messages not kept: the store does not take them, and the journal has no room", "ids", ids, "in all", lost)
}

// take waits for something to do, and gives the next batch; ok is false at the end. What was refused goes with the
// next batch: where it is counted only, it alone is not worth a transaction.
func (k *keeper) take() (t todo, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.wait) == 0 && len(k.back) == 0 && len(k.drop) == 0 && len(k.notes) == 0 && !k.ended && !k.tick {
		k.more.Wait()
	}
	k.tick = false
	return todo{
		wait: slices.Clone(k.wait[:min(len(k.wait), keepBatch)]), back: slices.Clone(k.back), drop: slices.Clone(k.drop),
		notes: slices.Clone(k.notes[:min(len(k.notes), keepBatch)]), refused: maps.Clone(k.refused),
		turned: slices.Clone(k.turned[:min(len(k.turned), keepBatch)]),
	}, !k.ended
}

// set changes what take waits for.
func (k *keeper) set(change func()) {
	k.mu.Lock()
	change()
	k.mu.Unlock()
	k.more.Broadcast()
}

// ticks has the bounds kept, and what is due looked at, now and then, until ctx ends.
func (k *keeper) ticks(ctx context.Context) {
	for wait.For(ctx, lookEvery) {
		k.set(func() { k.tick = true })
	}
	k.set(func() { k.ended = true })
}

// run hands over until ctx ends. What is left then a later process hands over from the journal.
func (k *keeper) run(ctx context.Context) {
	k.tools.Go(func() { k.ticks(ctx) })
	defer func() {
		k.tools.Wait()
		if k.store != nil {
			_ = k.store.Close()
		}
	}()
	var said time.Time
	if err := k.ready(ctx); err != nil { // it is tried again with the first message
		slog.Error("the store of undelivered messages can't be opened", "err", err)
	}
	for {
		t, ok := k.take()
		if !ok {
			k.parting()
			return
		}
		k.retuned()
		err := k.hand(ctx, &t)
		k.bound(errors.Is(err, deadletter.ErrFull))
		if err == nil {
			err = k.resend(ctx)
		}
		if err == nil {
			continue
		}
		if time.Since(said) > keepSaid {
			said = time.Now()
			slog.Error("undelivered messages wait for their store", "err", err, "waiting", len(t.wait)+len(t.notes))
		}
		if !wait.For(ctx, keepAgain) {
			return
		}
	}
}

// ready opens the store, and has the tool answered, where that was not done yet.
func (k *keeper) ready(ctx context.Context) (err error) {
	if k.store != nil {
		return nil
	}
	k.store, err = deadletter.Open(k.section.Folder, int64(k.section.QuotaMB*1e6), k.section.Messages)
	if err != nil {
		k.store = nil
		return err
	}
	if err := k.topics(); err != nil {
		_ = k.store.Close()
		k.store = nil
		return err
	}
	k.bounds = deadletter.NewBounds(k.store, k.section)
	k.shared.Store(k.store)
	k.resender = k.newResender(k.store)
	k.resender.Through(k.gate)
	k.resender.Reclass(k.classes)
	k.admin = &deadletter.Admin{Store: k.store, Now: k.now, Classes: k.classes}
	if k.section.Socket != "" {
		k.tools.Go(func() {
			if err := deadletter.Serve(ctx, k.section.Socket, k.admin); err != nil {
				slog.Error("the tool for undelivered messages is not answered", "err", err)
			}
		})
	}
	return nil
}

// topics has the store know the newest message of each topic. It begins anew where the journal names another store, or
// none: then a process ran that told this one nothing, or the folder or the journal is not the one of before.
func (k *keeper) topics() error {
	id, err := k.store.ID()
	if err != nil {
		return err
	}
	k.mu.Lock()
	misses := k.misses
	k.mu.Unlock()
	anew := misses > k.began || id != k.last
	if err := k.store.Topics(k.section, anew, k.now()); err != nil {
		return err
	}
	k.last, k.began = id, misses
	k.offer(storeKnows{id, misses})
	return nil
}

// bound keeps the store's bounds, at most so often.
func (k *keeper) bound(full bool) {
	if k.store == nil || time.Since(k.bounded) < boundsEvery && !full {
		return
	}
	k.bounded = time.Now()
	left, err := k.bounds.Keep(k.now(), full)
	if err != nil {
		slog.Error("bounds of the store of undelivered messages", "err", err)
	} else if left > 0 {
		slog.Warn("undelivered messages left by a bound", "messages", left)
	}
}

// hand writes what is to be written, or parts of it: a message that can't be kept is not to keep back the others.
func (k *keeper) hand(ctx context.Context, t *todo) (err error) {
	if err := k.ready(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	missed := k.misses > k.began
	k.mu.Unlock()
	if missed {
		if err := k.topics(); err != nil {
			return err
		}
	}
	if len(t.back) > 0 {
		if err := k.resender.Return(t.back, k.now()); err != nil {
			return err
		}
		ids := make([]string, len(t.back))
		for i := range t.back {
			ids[i] = t.back[i].Life.ID
		}
		k.set(func() { k.back = k.back[len(ids):] })
		k.done(ids)
	}
	if len(t.notes) > 0 {
		if err := k.store.Delivered(t.notes); err != nil {
			return err
		}
		ids := make([]string, len(t.notes))
		for i := range t.notes {
			ids[i] = t.notes[i].ID
		}
		// Some may have been abandoned meanwhile.
		k.set(func() {
			k.notes = slices.DeleteFunc(k.notes, func(n deadletter.Note) bool { return slices.Contains(ids, n.ID) })
		})
		k.done(ids)
	}
	if len(t.drop) > 0 {
		if err := k.store.Unkept(t.drop, "the store did not take it, and the journal had no room", k.now()); err != nil {
			return err
		}
		k.set(func() { k.drop = k.drop[len(t.drop):] })
	}
	if err := k.handTaken(t.wait); err != nil {
		return err
	}
	return k.handRefused(t) // after what was taken on, and dropped where there is no room
}

// handRefused writes what was refused at its arrival.
func (k *keeper) handRefused(t *todo) error {
	if len(t.refused) > 0 {
		if err := k.store.Refused(t.refused); err != nil {
			return err
		}
		k.set(func() {
			for group, n := range t.refused {
				if k.refused[group] -= n; k.refused[group] == 0 {
					delete(k.refused, group)
				}
			}
		})
	}
	if len(t.turned) == 0 {
		return nil
	}
	err := k.store.Put(t.turned)
	if err == nil || errors.Is(err, deadletter.ErrFull) {
		k.set(func() { k.turned = k.turned[len(t.turned):] })
	}
	return err
}

// parting writes what is in no journal, so that no later process hands it over: what was refused at its arrival.
func (k *keeper) parting() {
	for k.store != nil {
		t, _ := k.take() // gives at once, since all is at its end
		if len(t.refused)+len(t.turned) == 0 {
			return
		}
		if err := k.handRefused(&t); err != nil {
			slog.Error("messages refused at their arrival are not in the store", "err", err, "counted", t.refused, "kept", len(t.turned))
			return
		}
	}
}

// handTaken puts messages that were taken on into the store.
func (k *keeper) handTaken(batch []deadletter.Kept) error {
	if len(batch) == 0 {
		return nil
	}
	err := k.store.Put(batch)
	if err != nil && len(batch) > 1 && !errors.Is(err, deadletter.ErrFull) {
		batch = batch[:1]
		err = k.store.Put(batch)
	}
	if err != nil {
		return err
	}
	ids := make([]string, len(batch))
	for i := range batch {
		ids[i] = batch[i].ID
	}
	k.took(ids)
	return nil
}

// took reports messages that are in the store, and lets go of them here: some may have been abandoned meanwhile.
func (k *keeper) took(ids []string) {
	k.mu.Lock()
	k.letGo(ids)
	k.mu.Unlock()
	k.done(ids)
}

// letGo drops messages from those that wait; the lock is held.
func (k *keeper) letGo(ids []string) {
	k.wait = slices.DeleteFunc(k.wait, func(m deadletter.Kept) bool { return slices.Contains(ids, m.ID) })
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

// outcomes are the names of outcomes in records.
var outcomes = map[policy.Outcome]string{
	policy.Succeeded: "delivered", policy.Failed: "error", policy.Rejected: "turned away",
	policy.TimedOut: "timed out", policy.ConnectError: "no connection", policy.ConnectionReset: "reset", policy.Canceled: "given up",
	policy.NotSent: "not sent",
}

// reason says why a message ends undelivered.
func (l *loop) reason(m *message, status string) deadletter.Reason {
	now := l.timeline.Now()
	switch {
	case l.class(m.Class) < 0:
		return deadletter.Settings
	case now > m.Deadline:
		if m.resumed {
			return deadletter.ProcessEnded
		}
		return deadletter.OutOfTime
	case len(m.Attempts) >= l.cfg.policy.MaxAttempts:
		return deadletter.Spent
	case status == notification.Undeliverable:
		return deadletter.Doubtful
	case now > m.Deadline.Add(-endMargin):
		return deadletter.OutOfTime
	}
	return deadletter.RefusedLate
}

// life is what this relay knows of one time that a message was taken on.
func (l *loop) life(m *message) deadletter.Life {
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
		case a.Outcome == outcomes[policy.Succeeded]:
			ran = deadletter.Did
		}
		life.Attempts = append(life.Attempts, deadletter.Attempt{Host: a.Endpoint, Begun: a.StartedAt.Time(), Ended: a.EndedAt.Time(), Outcome: a.Outcome, Ran: ran})
	}
	return life
}

// record makes the store's record of a message that is over.
func (l *loop) record(m *message, life deadletter.Life) deadletter.Kept {
	return deadletter.Kept{
		Record: deadletter.Record{
			ID: m.ID, Class: m.Class, Tenant: m.Tenant, Partner: m.Destination, Key: m.IdempotencyKey, Item: m.OrderKey,
			Subject: m.Subject, Order: m.Order, Lives: []deadletter.Life{life}, State: deadletter.Held, Since: life.Over, Due: life.Over,
		},
		Body: m.Body,
	}
}

// refusedAt tells the store of a message that is refused at its arrival: it owes the platform nothing, and was in no
// journal.
func (l *loop) refusedAt(m *message, status string) {
	if l.keeper == nil || m.Redelivery {
		return
	}
	l.keeper.refuse(l.record(m, deadletter.Life{
		ID: m.ID, Relay: l.cfg.Name, Taken: m.AcceptedAt.Time(), Expires: m.Deadline.Time(),
		Over:   l.timeline.Now().Time(),
		Reason: deadletter.AtArrival, Status: status,
	}))
}

// tellEnd tells the end of a message that owes one: to the platform, and to the store where one is kept; that of a
// resend to the store alone.
func (l *loop) tellEnd(m *message) {
	l.recorded(m)
	switch {
	case (m.Redelivery || m.PendingNotice.Status == outOfTime) && l.keeper == nil: // the operator has turned the store off: nobody is left to tell
		l.end(m)
	case m.Redelivery:
		res := deadletter.Result{Life: l.life(m), Delivered: m.PendingNotice.Status == delivered}
		if m.PendingNotice.Status == overtaken {
			res.Life.Reason, res.Overtaken = deadletter.Overtaken, m.Reason // which by
		}
		l.keeper.result(res)
	case m.PendingNotice.Status == outOfTime:
		l.noticed(m) // there is none
		l.keeper.keep(l.record(m, l.life(m)))
	default:
		l.notices.Enqueue(*m.PendingNotice)
		if l.keeper != nil {
			l.keeper.keep(l.record(m, l.life(m)))
		}
	}
}

// outOfTime is the end of a message of which the platform says that its time is up: nothing more is owed for it, and the
// store is told alone.
const outOfTime = "out-of-time"

// gone ends a message of which a host says that it is over, though it was not delivered.
func (l *loop) gone(m *message) {
	now := l.timeline.Now()
	switch {
	case m.Redelivery:
		l.endResend(m, outOfTime, "")
	case now > m.Deadline.Add(-endMargin):
		l.decide(m, outOfTime)
		l.journal.DecideOutcome(m.Entry, notification.Notice{ID: m.ID, Status: outOfTime}, string(deadletter.OutOfTime), now)
		m.outcome = l.journal.LastRecord()
		l.afterOrBy(m.Deadline, func() { l.tellEnd(m) })
	default: // its client has withdrawn it
		l.end(m)
	}
}

// noticed notes that the platform has a message's notice: it leaves the journal once the store has it too.
func (l *loop) noticed(m *message) {
	if l.keeper == nil || m.kept {
		l.end(m)
		return
	}
	if !m.noticed {
		m.noticed = true
		l.unkept = append(l.unkept, m)
	}
}

// inStore notes that the store has a message.
func (l *loop) inStore(m *message) {
	m.kept = true
	l.underway.Ended(m.ID, m.topic()) // the store says now what waits
	if m.noticed || m.Redelivery || m.Delivered {
		l.end(m)
	}
	for len(l.unkept) > 0 && l.unkept[0].kept {
		l.unkept = l.unkept[1:]
	}
}

// reserve keeps room in the journal for a message. Where there is none, the oldest of those that only wait for the
// store make room: keeping them is not to stop the relay's main job.
func (l *loop) reserve(e *journal.Entry) bool {
	for !l.journal.Reserve(e) {
		if l.journal.Failed() {
			return false // for want of no room
		}
		for len(l.unkept) > 0 && l.unkept[0].kept {
			l.unkept = l.unkept[1:]
		}
		if len(l.unkept) == 0 {
			return false
		}
		m := l.unkept[0]
		l.unkept = l.unkept[1:]
		l.misses++
		l.journal.SetStore("") // until the store knows that something is missing
		l.keeper.abandon(m)
		l.end(m)
	}
	return true
}
