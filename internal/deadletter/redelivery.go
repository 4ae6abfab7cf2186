package deadletter

import (
	"errors"
	"time"
)

const (
	// The backoff of a destination's redeliveries after the relay had no capacity for a redelivery (busy) or a redelivery
	// failed (failure). Each further such result in a row doubles the backoff, so that a destination that is down gets few
	// redeliveries.
	minBusyBackoff, maxBusyBackoff       = 200 * time.Millisecond, 5 * time.Second
	minFailureBackoff, maxFailureBackoff = 5 * time.Second, 5 * time.Minute
	// tokenBurst is the capacity of a destination's token bucket: how many redeliveries it may get at once after a pause.
	tokenBurst = 1.0
	// maxPerRound limits the messages of a destination that one round decides on.
	maxPerRound = 20
	// sweepBatch limits the messages that one round of a sweep makes due, and sweepScan the records that it scans.
	sweepBatch, sweepScan = 500, 5000
	// lostAfter is how long after its deadline a redelivery counts as lost if the relay does not have it in flight.
	lostAfter = 30 * time.Second
	// minTimeToLive is the shortest time between the start of a redelivery and its deadline.
	minTimeToLive = time.Second
	// requestedRate is the rate, per second and destination, of redeliveries that an operator asked for.
	requestedRate = 1.0
)

// Result is the terminal outcome of a redelivery.
type Result struct {
	Incarnation Incarnation // the redelivery's incarnation, as it ended
	Delivered   bool
	Overtaken   string // id of a newer message that was accepted before the redelivery ended, or ""
}

// Offer is a message that the relay is to redeliver as a background message.
type Offer struct {
	Record      *Record
	Incarnation *Incarnation // the new incarnation under whose id the message is sent
}

// Redeliverer decides which messages of a store are redelivered, in which order and at which rate. It is not safe for
// concurrent use. It does not read the clock: callers pass the time.
type Redeliverer struct {
	store     *Store
	rules     []Rule
	classes   map[string]*Class
	relay     string
	newID     func() string
	throttles map[int]*throttle
	gate      Gate   // nil: redeliveries need no grant
	sweepFrom uint64 // number of the record at which the sweep continues; 0: no sweep is running
}

// NewRedeliverer returns a redeliverer for a store. newID returns ids that are unique among all relays.
func NewRedeliverer(store *Store, rules []Rule, classes []Class, relay string, newID func() string) *Redeliverer {
	r := &Redeliverer{
		store: store, rules: rules, classes: map[string]*Class{}, relay: relay, newID: newID,
		throttles: map[int]*throttle{},
	}
	r.SetClasses(classes)
	return r
}

// SetGate makes all further redeliveries depend on the grants of a gate.
func (r *Redeliverer) SetGate(g Gate) { r.gate = g }

// SetClasses replaces the classes, as after a reload of the settings.
func (r *Redeliverer) SetClasses(classes []Class) {
	clear(r.classes)
	for i := range classes {
		r.classes[classes[i].Name] = &classes[i]
	}
}

// Sweep makes every held message due again, so that changed rules are applied to messages held under the old ones.
func (r *Redeliverer) Sweep() { r.sweepFrom = 1 }

// continueSweep makes the next batch of held messages due.
func (r *Redeliverer) continueSweep(now time.Time) error {
	page, next, _, err := r.store.Page(r.sweepFrom, sweepBatch, sweepScan, func(rec *Record) bool { return rec.State == Held && rec.Due.IsZero() })
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

// Round decides on the messages that are due, stores the decisions, and returns the redeliveries that the relay is to make.
// inFlight reports whether the relay still has a message with an id in flight.
func (r *Redeliverer) Round(now time.Time, inFlight func(id string) bool) (offers []Offer, err error) {
	if r.sweepFrom > 0 {
		if err := r.continueSweep(now); err != nil {
			return nil, err
		}
	}
	due, err := r.store.Due(now, func(destination int) int {
		if r.throttle(destination, now).blocked(now) {
			return 0
		}
		return maxPerRound
	})
	if err != nil {
		return nil, err
	}
	for _, rec := range due {
		offer, err := r.decide(rec, now, inFlight)
		if err != nil {
			return offers, err
		}
		if offer != nil {
			offers = append(offers, *offer)
		}
	}
	return offers, nil
}

// errThrottled aborts the change of a message whose destination may not get a redelivery now.
var errThrottled = errors.New("throttled")

// decide decides on one message that is due. It returns an offer if the message is to be redelivered, and nil otherwise.
func (r *Redeliverer) decide(rec *Record, now time.Time, inFlight func(id string) bool) (offer *Offer, err error) {
	if rec.State == Redelivering {
		return nil, r.handleLost(rec, now, inFlight)
	}
	t := r.throttle(rec.Destination, now)
	newer := r.newerOf(rec)
	err = r.store.Change(rec.ID, func(rec *Record) (time.Time, error) {
		plan := r.plan(rec, newer, now)
		if plan.Action != Redeliver {
			return r.applyPlan(rec, plan, now), nil
		}
		if t.inFlight != "" || !r.passGate(t, rec.Destination, now) || !t.takeToken(plan.Rate, now) {
			return rec.Due, errThrottled
		}
		offer = r.beginRedelivery(rec, plan, now)
		return offer.lostAt(), nil
	})
	if errors.Is(err, errThrottled) {
		return nil, nil
	}
	if err == nil && offer != nil {
		t.inFlight, t.lostAt = offer.Incarnation.ID, offer.lostAt()
	}
	return offer, err
}

// beginRedelivery adds an incarnation to a record, and returns the offer to send it.
func (r *Redeliverer) beginRedelivery(rec *Record, plan Plan, now time.Time) *Offer {
	incarnation := Incarnation{ID: r.newID(), Relay: r.relay, AcceptedAt: now, Deadline: now.Add(rec.timeToLive())}
	if plan.Attestation != nil {
		plan.Attestation.Used = true
		used := *plan.Attestation
		incarnation.Attestation = &used
	}
	rec.Incarnations = append(rec.Incarnations, incarnation)
	rec.State, rec.Since, rec.Reason = Redelivering, now, plan.Reason
	return &Offer{Record: rec, Incarnation: rec.Last()}
}

// lostAt returns the time at which the redelivery counts as lost, unless the relay still has it in flight.
func (o *Offer) lostAt() time.Time { return o.Incarnation.Deadline.Add(lostAfter) }

// newerOf looks up a newer message of the same topic. It does so before the transaction that changes the record, because
// the store can't be read while that transaction is open.
func (r *Redeliverer) newerOf(rec *Record) Newer {
	if c := r.classes[rec.Class]; c == nil || !c.HasSubject {
		return nil // Allowed calls it only for classes with a subject
	}
	id, known := r.store.Newer(rec)
	return func(*Record) (string, bool) { return id, known }
}

// plan decides on a message by an operator's request for a redelivery or, if there is none, by the rules.
func (r *Redeliverer) plan(rec *Record, newer Newer, now time.Time) Plan {
	c := r.classes[rec.Class]
	if rec.State == Due && rec.RequestedByOperator {
		rule := Rule{Action: Redeliver, MaxIncarnations: len(rec.Incarnations) + 1, Rate: requestedRate}
		return rule.planRedelivery(c, rec, newer, now)
	}
	return Decide(r.rules, c, rec, newer, now)
}

// applyPlan changes a record according to a plan that is not a redelivery, and returns when the record is due next.
func (r *Redeliverer) applyPlan(rec *Record, plan Plan, now time.Time) (due time.Time) {
	rec.Reason, rec.Since, rec.RequestedByOperator = plan.Reason, now, false
	switch plan.Action {
	case Discard:
		rec.State = Discarded
		return time.Time{}
	case supersede:
		rec.State = Superseded
		return time.Time{}
	default:
		rec.State = Held
		return plan.At
	}
}

// timeToLive returns how long a redelivery of a message may take: as long as the client allowed for the first incarnation,
// but at least minTimeToLive.
func (r *Record) timeToLive() time.Duration {
	return max(minTimeToLive, r.Incarnations[0].Deadline.Sub(r.Incarnations[0].AcceptedAt))
}
