package deadletter

import (
	"errors"
	"time"
)

const (
	// The pause of a destination's redeliveries after the relay had no room for one (busy) or one failed (failure): each
	// in a row doubles it, so that a destination that is down sees few.
	minBusyBackoff, maxBusyBackoff       = 200 * time.Millisecond, 5 * time.Second
	minFailureBackoff, maxFailureBackoff = 5 * time.Second, 5 * time.Minute
	// tokenBurst is how many redeliveries a destination may get at once after a rest: its rate is kept in the mean.
	tokenBurst = 1.0
	// maxPerRound is how many messages of a destination are looked at in one round.
	maxPerRound = 20
	// sweepBatch is how many messages one round of a sweep has looked at again.
	sweepBatch = 500
	// lostAfter its time a message that was to be redelivered and of which the relay knows nothing counts as returned.
	lostAfter = 30 * time.Second
)

// Result is what became of a redelivery.
type Result struct {
	Incarnation Incarnation // with the id under which it went
	Delivered   bool
	Overtaken   string // by this newer message, which was accepted before the redelivery left
}

// Offer is a message that is to be handed to the decision module as a background message.
type Offer struct {
	Record      *Record
	Incarnation *Incarnation // its new one
}

// Redeliverer decides what of a store is redelivered when: which messages the rules want, in which order, and at which
// rate.
// It is not safe for concurrent use; times come in as arguments.
type Redeliverer struct {
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

// NewRedeliverer decides for a store. newID makes ids that nobody else uses.
func NewRedeliverer(store *Store, rules []Rule, classes []Class, relay string, newID func() string) *Redeliverer {
	r := &Redeliverer{
		store: store, rules: rules, classes: map[string]*Class{}, relay: relay, newID: newID,
		throttles: map[int]*throttle{},
	}
	r.SetClasses(classes)
	return r
}

// SetGate has redeliveries go through a gate from now on.
func (r *Redeliverer) SetGate(g Gate) { r.gate = g }

// SetClasses has the classes be others from now on.
func (r *Redeliverer) SetClasses(classes []Class) {
	clear(r.classes)
	for i := range classes {
		r.classes[classes[i].Name] = &classes[i]
	}
}

// Sweep has every message that is held looked at again: the rules are others than before.
func (r *Redeliverer) Sweep() { r.sweepFrom = 1 }

// continueSweep goes on with a sweep.
func (r *Redeliverer) continueSweep(now time.Time) error {
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
func (r *Redeliverer) Round(now time.Time, holds func(id string) bool) (offers []Offer, err error) {
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
func (r *Redeliverer) decide(rec *Record, now time.Time, holds func(id string) bool) (offer *Offer, err error) {
	if rec.State == Redelivering {
		return nil, r.handleLost(rec, now, holds)
	}
	l := r.throttle(rec.Destination, now)
	newer := r.newerOf(rec)
	err = r.store.Change(rec.ID, func(rec *Record) (time.Time, error) {
		p := r.plan(rec, newer, now)
		if p.Action != Redeliver {
			return r.applyPlan(rec, p, now), nil
		}
		if l.inFlight != "" || !r.passGate(l, rec.Destination, now) || !l.takeToken(p.Rate, now) {
			return rec.Due, errLater
		}
		life := Incarnation{ID: r.newID(), Relay: r.relay, AcceptedAt: now, Deadline: now.Add(r.timeToLive(rec))}
		if p.Attestation != nil {
			p.Attestation.Used = true
			used := *p.Attestation
			life.Attestation = &used
		}
		rec.Incarnations = append(rec.Incarnations, life)
		rec.State, rec.Since, rec.Reason = Redelivering, now, p.Reason
		offer = &Offer{Record: rec, Incarnation: rec.Last()}
		return life.Deadline.Add(lostAfter), nil
	})
	if errors.Is(err, errLater) {
		return nil, nil
	}
	if err == nil && offer != nil {
		l.inFlight, l.lostAt = offer.Incarnation.ID, offer.Incarnation.Deadline.Add(lostAfter)
	}
	return offer, err
}

// errLater says that a message stays as it is for now.
var errLater = errors.New("later")

// newerOf looks up what has overtaken a message: before the transaction that changes it, as a store can't be read by
// another one within that.
func (r *Redeliverer) newerOf(rec *Record) Newer {
	if c := r.classes[rec.Class]; c == nil || !c.HasSubject {
		return nil // nobody will ask
	}
	by, known := r.store.Newer(rec)
	return func(*Record) (string, bool) { return by, known }
}

// plan is what the rules, or an operator who asked for it, make of a message.
func (r *Redeliverer) plan(rec *Record, newer Newer, now time.Time) Plan {
	c := r.classes[rec.Class]
	if rec.State == Due && rec.RequestedByOperator {
		rule := Rule{Action: Redeliver, MaxIncarnations: len(rec.Incarnations) + 1, Rate: 1}
		return rule.resend(c, rec, newer, now)
	}
	return Decide(r.rules, c, rec, newer, now)
}

// applyPlan writes down a plan other than a redelivery, and gives when to look again.
func (r *Redeliverer) applyPlan(rec *Record, p Plan, now time.Time) time.Time {
	rec.Reason, rec.Since, rec.RequestedByOperator = p.Reason, now, false
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

// timeToLive is how long a redelivery may take: as long as the message had when it was first accepted.
func (r *Redeliverer) timeToLive(rec *Record) time.Duration {
	return max(time.Second, rec.Incarnations[0].Deadline.Sub(rec.Incarnations[0].AcceptedAt))
}
