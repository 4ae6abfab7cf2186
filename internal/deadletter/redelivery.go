package deadletter

import (
	"errors"
	"time"
)

const (
	// minBusyBackoff and busyMost bound the pause of a partner's resends after the relay had no room for one, failLeast and
	// failMost after one that failed: each in a row doubles it, so that a partner that is down sees a few.
	minBusyBackoff, maxBusyBackoff       = 200 * time.Millisecond, 5 * time.Second
	minFailureBackoff, maxFailureBackoff = 5 * time.Second, 5 * time.Minute
	// tokenBurst is how many resends a partner may get at once after a rest: its rate is kept in the mean.
	tokenBurst = 1.0
	// maxPerRound is how many messages of a partner are looked at in one round.
	maxPerRound = 20
	// sweepBatch is how many messages one round of a sweep has looked at again.
	sweepBatch = 500
	// lostAfter its time a message that was to be resent and of which the relay knows nothing counts as returned.
	lostAfter = 30 * time.Second
)

// Result is what became of a resend.
type Result struct {
	Life      Life // with the id under which it went
	Delivered bool
	Overtaken string // by this newer message, which was taken on before the resend left
}

// Offer is a message that is to be handed to the decision module as a background message.
type Offer struct {
	Record *Record
	Life   *Life // its new one
}

// Resender decides what of a store is resent when: which messages the rules want, in which order, and at which pace.
// It is not safe for concurrent use; times come in as arguments.
type Resender struct {
	store     *Store
	rules     []Rule
	classes   map[string]*Class
	relay     string
	newID     func() string
	throttles map[int]*throttle
	gate      Gate // nil: there is none
	// sweepFrom goes over all records once after the rules have changed; 0: it is through.
	sweepFrom uint64
}

// NewResender decides for a store. newID makes ids that nobody else uses.
func NewResender(store *Store, rules []Rule, classes []Class, relay string, newID func() string) *Resender {
	r := &Resender{
		store: store, rules: rules, classes: map[string]*Class{}, relay: relay, newID: newID,
		throttles: map[int]*throttle{},
	}
	r.Reclass(classes)
	return r
}

// Through has resends go through a gate from now on.
func (r *Resender) Through(g Gate) { r.gate = g }

// Reclass has the classes be others from now on.
func (r *Resender) Reclass(classes []Class) {
	clear(r.classes)
	for i := range classes {
		r.classes[classes[i].Name] = &classes[i]
	}
}

// Sweep has every message that is held looked at again: the rules are others than before.
func (r *Resender) Sweep() { r.sweepFrom = 1 }

// continueSweep goes on with a sweep.
func (r *Resender) continueSweep(now time.Time) error {
	page, next, _, err := r.store.Page(r.sweepFrom, sweepBatch, 10*sweepBatch, func(rec *Record) bool { return rec.State == Held && rec.Due.IsZero() })
	if err != nil {
		return err
	}
	for _, rec := range page {
		if err := r.store.Change(rec.ID, func(*Record) (time.Time, error) { return now, nil }); err != nil {
			return err
		}
	}
	r.sweepFrom = next
	return nil
}

// Round looks at what is due, writes down what the rules make of it, and gives what is to be offered to the module.
// holds says whether the relay still has a message under an id.
func (r *Resender) Round(now time.Time, holds func(id string) bool) (offers []Offer, err error) {
	if r.sweepFrom > 0 {
		if err := r.continueSweep(now); err != nil {
			return nil, err
		}
	}
	due, err := r.store.Due(now, func(partner int) int {
		if l := r.throttle(partner, now); l.pausedUntil.After(now) || l.inFlight != "" && l.lostAt.After(now) {
			return 0
		}
		return maxPerRound
	})
	if err != nil {
		return nil, err
	}
	for _, rec := range due {
		o, err := r.decide(rec, now, holds)
		if err != nil {
			return offers, err
		}
		if o != nil {
			offers = append(offers, *o)
		}
	}
	return offers, nil
}

// decide decides on one message.
func (r *Resender) decide(rec *Record, now time.Time, holds func(id string) bool) (offer *Offer, err error) {
	if rec.State == Out {
		return nil, r.handleLost(rec, now, holds)
	}
	l := r.throttle(rec.Partner, now)
	newer := r.newerOf(rec)
	err = r.store.Change(rec.ID, func(rec *Record) (time.Time, error) {
		p := r.plan(rec, newer, now)
		if p.Action != Resend {
			return r.applyPlan(rec, p, now), nil
		}
		if l.inFlight != "" || !r.passGate(l, rec.Partner, now) || !l.takeToken(p.Rate, now) {
			return rec.Due, errLater
		}
		life := Life{ID: r.newID(), Relay: r.relay, Taken: now, Expires: now.Add(r.timeToLive(rec))}
		if p.Use != nil {
			p.Use.Used = true
			used := *p.Use
			life.Attest = &used
		}
		rec.Lives = append(rec.Lives, life)
		rec.State, rec.Since, rec.Why = Out, now, p.Why
		offer = &Offer{Record: rec, Life: rec.Last()}
		return life.Expires.Add(lostAfter), nil
	})
	if errors.Is(err, errLater) {
		return nil, nil
	}
	if err == nil && offer != nil {
		l.inFlight, l.lostAt = offer.Life.ID, offer.Life.Expires.Add(lostAfter)
	}
	return offer, err
}

// errLater says that a message stays as it is for now.
var errLater = errors.New("later")

// newerOf looks up what has overtaken a message: before the transaction that changes it, as a store can't be read by
// another one within that.
func (r *Resender) newerOf(rec *Record) Newer {
	if c := r.classes[rec.Class]; c == nil || !c.Subject {
		return nil // nobody will ask
	}
	by, known := r.store.Newer(rec)
	return func(*Record) (string, bool) { return by, known }
}

// plan is what the rules, or an operator who asked for it, make of a message.
func (r *Resender) plan(rec *Record, newer Newer, now time.Time) Plan {
	c := r.classes[rec.Class]
	if rec.State == Due && rec.Asked {
		rule := Rule{Action: Resend, Most: len(rec.Lives) + 1, Rate: 1}
		return rule.resend(c, rec, newer, now)
	}
	return Decide(r.rules, c, rec, newer, now)
}

// applyPlan writes down a plan other than a resend, and gives when to look again.
func (r *Resender) applyPlan(rec *Record, p Plan, now time.Time) time.Time {
	rec.Why, rec.Since, rec.Asked = p.Why, now, false
	switch p.Action {
	case Discard:
		rec.State = Discarded
		return time.Time{}
	case string(Superseded):
		rec.State = Superseded
		return time.Time{}
	}
	rec.State = Held
	return p.At
}

// timeToLive is how long a resend may take: as long as the message had when it was first taken on.
func (r *Resender) timeToLive(rec *Record) time.Duration {
	return max(time.Second, rec.Lives[0].Expires.Sub(rec.Lives[0].Taken))
}
