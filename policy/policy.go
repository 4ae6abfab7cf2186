// Package policy decides what a dispatcher of notifications does with its messages. All decisions and all
// constants are in this file; the interface (settings, events, actions) is in policy/api.go.
//
// The ordinary path is Hyytiä's admission control for parallel first-come queues: an arriving message is
// refused at once when the backlog of its destination leaves it no time, tightened by the value-function
// bound. Everything else here is a guard for what the paper does not treat.
package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// keepWorth of its worth a message must still have when it is delivered, while more arrive for its
	// queue than can leave: what is admitted later than that takes the place of one that would be on time.
	keepWorth = 0.65
	// latencyGain is the weight of a new outcome in a mean latency: about the last ten calls count.
	latencyGain = 0.1
	// counterAge is the time constant of λ and r: a few arrivals a queue, but follows a jump of traffic.
	counterAge = 10 * time.Second
	// failuresToSick failures in a row mark an endpoint sick; single errors are ordinary. An error or a
	// broken connection counts for answeredFailure: something is alive there.
	failuresToSick, answeredFailure = 2, 0.5
	// shutAfter of nothing but refusals means that the destination is shut rather than at its limit:
	// longer than the spans in which receivers commonly count calls.
	shutAfter = 2500 * time.Millisecond
	// silentAfter mean latencies without an outcome make an endpoint silent. stuckAfter of them a call may
	// be called off where its slot is wanted and such calls, mostly, are never answered; finalFactor times
	// as late one whose message then fails: a slot serves a message worth as much in each mean latency.
	silentAfter, stuckAfter, finalFactor, mostly = 6, 3, 2, 0.5
	// fewSlots for a silent or sick endpoint: one call that may be stuck, one that tries.
	fewSlots = 2
	// rampSafety of the rule's budget for a cold destination is used: the rest is for other relays' uneven
	// shares and for chance; sparseSafety where many relays have less than a call each in the rule's span
	// (with second knocks of half of those refused, it never reaches the rule's two thirds of what is too
	// much). rampBurst may go at once.
	rampSafety, sparseSafety, onceShare, rampBurst = 0.8, 0.42, 0.5, 1.0 / 3
	// slotShare of the slots, and roomShare of the holding room once that is filled, is what the queue that
	// holds most may have: no queue takes them all.
	slotShare, roomShare = 0.5, 0.75
	// paceRaise of itself is added to a pace by a success that found messages waiting for it, and a
	// refusal cuts it to paceCut: about one refused call in eight where the limit binds all the time.
	// It is raised so raisesASecond times at most, however many calls succeed: a destination that takes many
	// would be overrun within a second, and refused calls use its limit up.
	paceRaise, paceCut, raisesASecond = 0.1, 0.8, 10
	// paceFloor is the least part of its even share that a queue's pace falls to: a rough weight that is
	// half too high is met by two thirds.
	paceFloor = 0.7
	// throttled is the share of its listed rate under which a reported limit counts: reports are noisy, and
	// a receiver that lowers its limit lowers it by far more. limitGain is a report's weight in that limit.
	throttled, limitGain = 0.7, 0.3
	// roomLeft of its allowance a destination must report for a pace to rise, where it reports at all.
	roomLeft = 0.5
	// reuses of a connection must be expected within its idle time, or it is closed after a call.
	// At half of this failed connections cost more than the handshakes saved. Where relays are no more than
	// idleRoom, which even small receivers take, all may keep theirs; where they are more than connRoom,
	// about all that a small one takes, a connection that idles at one relay is a call refused at another.
	reuses, idleRoom, connRoom = 4, 6, 9
	// aheadCalls of its pace a queue may send on a connection that has just carried a call, where
	// connections are not kept: a new one keeps one of the host's few places for some round trips before
	// its call has begun, and a call on one that stands for one. The pace falls behind by as many. A row is
	// aheadShare of what the destination takes in a span at most, so that a few relays do not fill it.
	aheadCalls, aheadShare = 3, 1.0 / 16
	// connRaise is added to a learned connection cap by each success.
	connRaise = 0.05
	// pacedCalls a span is where a pace starts at least: where the even share is less, relays come by
	// chance, and refusals tell sooner than shares how much the others leave. Each halves what is above.
	pacedCalls = 0.5
	// burstSpan of pace may be sent at once: receivers count calls in spans of about this length.
	burstSpan = time.Second
	// answerShare of the time left is waited for an answer where the message may be sent again, and
	// timeoutMeans mean latencies at least, so that slow receivers are not timed out for nothing.
	answerShare, timeoutMeans = 1.0 / 3, 8
	// pauseCalls at the pace, and leastPause where no pace is known, is the first pause after a refusal,
	// longestHold the longest: about the longest span in which receivers count calls.
	pauseCalls, leastPause, longestHold = 0.5, 100 * time.Millisecond, time.Second
	// backgroundShare of the slots may have calls out in all when one with a background message goes, and
	// backgroundSlots of them with such messages: what is fresh finds a slot all the same. A queue must have
	// backgroundTokens of its pace.
	backgroundShare, backgroundSlots, backgroundTokens = 0.5, 1.0 / 8, 2
	// subscribeAgain is the wait before a failed subscription is asked for again.
	subscribeAgain = 500 * time.Millisecond
)

// New returns a dispatcher that knows nothing yet. Settings that make no sense give an error.
func New(s Settings, seed int64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{
		s: s, endpoints: map[string]*endpoint{}, dests: map[int]*destination{},
		messages: map[string]*message{}, keys: map[string][]*message{},
		pools: map[int]*latencies{}, chance: rand.New(rand.NewPCG(uint64(seed), 0)), resub: never,
	}
	if s.WatchEndpoints {
		d.resub = 0 // at once
	}
	d.weighClasses()
	return d, nil
}

// Handle takes in the events of one batch and returns what is to be done, in order.
func (d *Dispatcher) Handle(now time.Duration, events []Event) []Action {
	d.now, d.actions = max(now, d.now), nil
	for _, m := range slices.Clone(d.resting) {
		d.retire(m)
	}
	var fresh []*message
	for _, e := range events {
		switch e := e.(type) {
		case Arrived:
			if m := d.take(e); m != nil {
				fresh = append(fresh, m)
			}
		case AttemptEnded:
			d.ended(e)
		case DeadlineExceeded:
			if m := d.messages[e.ID]; m != nil && !m.over {
				d.giveUp(m)
			}
		case Acknowledged:
			d.settle(e.ID)
		case Cancelled:
			d.withdraw(e.ID)
		case EndpointsChanged:
			d.listed(e)
		case WatchFailed:
			if d.s.WatchEndpoints {
				d.resub = d.now + subscribeAgain
			}
		case HealthRecovered:
			d.recall(e)
		case SettingsChanged:
			d.retune(e.Settings)
		case SnapshotRestored:
			d.inherit(e.Snapshot)
		case Quiesced:
			d.stopping = true
		case Resumed:
			d.stopping = false
		}
	}
	if d.now >= d.resub {
		d.resub = never
		d.act(WatchEndpoints{})
	}
	for _, m := range fresh {
		if !m.over {
			d.admit(m)
		}
	}
	d.expire()
	d.dispatch()
	d.closeIdle()
	d.reap()
	d.rest()
	d.arm()
	return d.actions
}

// --- Admission: the paper's mechanism ---

// admit refuses an arriving message at once or puts it into a queue.
func (d *Dispatcher) admit(m *message) {
	q := d.route(m)
	if m.Background {
		// Neither λ nor the copy hears of it: it makes no fresh message late.
		if d.idle(q) {
			d.hold(q, m)
		} else {
			d.refuse(m, 0)
		}
		return
	}
	q.arrivals.add(d.now, 1)
	left := (m.expires - d.now).Seconds()
	u, x := d.backlog(q), q.class[m.Class]
	λ, r := q.arrivals.rate(d.now), q.misses.rate(d.now)
	d.virtual(q, left-x)
	if λ*q.pitch() > 1 {
		left = math.Min(left, d.lateAge(m.class).Seconds()) // little time left need not be age
	}
	room := roomShare * float64(d.s.MaxQueued)
	crowded := float64(len(d.live)) > room && float64(len(q.held)) > room/2 || len(d.live) > d.s.MaxQueued
	if refusing(u, x, left-x, λ-r, len(q.held) > 0) || crowded {
		d.refuse(m, u+2*x-left)
		return
	}
	d.hold(q, m)
}

// idle tells whether a queue has nothing better to do than to send a background message at once: nothing is
// held there or out with another one, none of its endpoints is or was out, and slots and pace leave room for
// what is fresh.
func (d *Dispatcher) idle(q *queue) bool {
	if len(q.held) > 0 || d.now < q.pausedUntil() || d.stopping ||
		float64(d.out+1) > backgroundShare*float64(d.s.MaxInFlight) ||
		float64(len(d.live)) > backgroundShare*float64(d.s.MaxQueued) {
		return false
	}
	if q.pace > 0 && d.tokens(q) < backgroundTokens {
		return false
	}
	for _, ep := range q.eps {
		d.epTokens(ep) // ends a ramp that is over
		if ep.sick || ep.ramping || d.silent(ep) {
			return false
		}
	}
	out := 0
	for _, other := range d.active {
		for _, c := range other.out {
			if c.msgs[0].Background {
				if out++; other == q || float64(out+1) > math.Max(1, backgroundSlots*float64(d.s.MaxInFlight)) {
					return false
				}
			}
		}
	}
	return q.usable()
}

// lateAge is the age at which a class, or one worth as much or more that would wait behind it, falls
// under keepWorth: messages worth little and patient must not fill a queue against urgent ones.
func (d *Dispatcher) lateAge(c *Class) time.Duration {
	age := c.ageAt(keepWorth)
	for i := range d.s.Classes {
		if k := &d.s.Classes[i]; k.PriorityWeight >= c.PriorityWeight && !k.Retired {
			age = min(age, k.ageAt(keepWorth))
		}
	}
	return age
}

// pitch is the time between messages that a queue sends one after another.
func (q *queue) pitch() float64 {
	pitch := q.mean / math.Max(1, float64(len(q.out)))
	if q.pace > 0 {
		pitch = math.Max(pitch, 1/(q.pace*float64(q.bundle)))
	}
	return pitch
}

// refusing is the rule of the paper: the basic rule u > τ, and where messages are held the
// value-function bound (λ−r)(u+x−τ) ≥ 1 (which holds for every u once x ≥ τ + 1/(λ−r)).
func refusing(u, x, τ, net float64, held bool) bool {
	if u > τ {
		return true
	}
	return net > 0 && held && u > 0 && (net*(u+x-τ) >= 1 || x >= τ+1/net)
}

// backlog is u: messages held ahead × mean latency ÷ calls out, and at least what a wait, a pace or a
// ramp implies; zero with a slot free and nothing held.
func (d *Dispatcher) backlog(q *queue) float64 {
	u := float64(len(q.held)) * d.latency(q) / math.Max(1, float64(len(q.out)))
	return math.Max(u, d.opens(q, len(q.held)))
}

// latency is the mean latency of a queue with the ages of calls out counted in, so that a hang shows
// before any outcome.
func (d *Dispatcher) latency(q *queue) float64 {
	mean := q.mean
	for _, c := range q.out {
		if age := (d.now - c.sent).Seconds(); age > mean {
			mean += latencyGain * (age - mean)
		}
	}
	return mean
}

// virtual feeds an arrival to the copy of a queue under the basic rule alone.
func (d *Dispatcher) virtual(q *queue, τ float64) {
	q.copyWork = math.Max(0, q.copyWork-(d.now-q.copyAt).Seconds())
	q.copyAt = d.now
	if q.copyWork > τ {
		q.misses.add(d.now, 1)
		return
	}
	q.copyWork += q.pitch()
}

// opens is the time until the next call of a queue may leave with n messages ahead of it, as far as
// waits, pace and health tell.
func (d *Dispatcher) opens(q *queue, n int) float64 {
	wait := math.Max(0, (q.pausedUntil() - d.now).Seconds())
	calls := float64(n) / float64(q.bundle)
	if q.pace > 0 {
		wait = math.Max(wait, (calls+1-d.tokens(q))/q.pace)
	}
	ramp := math.Inf(1)
	for _, ep := range q.eps {
		if !ep.sick && !ep.ramping {
			return wait
		}
		// The next trial, and if it succeeds the others at the budget of a half-warm endpoint.
		first := math.Max(0, 1-d.epTokens(ep)) / math.Max(1e-9, d.budget(ep, d.coldFor(ep)))
		half := d.budget(ep, max(d.coldFor(ep), d.s.SlowStartTime/2)) * float64(len(q.eps))
		ramp = math.Min(ramp, first+calls/math.Max(1e-9, half))
	}
	if len(q.eps) == 0 {
		return wait
	}
	return math.Max(wait, ramp)
}

// route chooses the queue of a message. Among routes apart it takes the least added cost, in the manner
// of the paper's rule (25): worth lost by lateness, the fee, and the work left (priced so that a whole
// deadline of it costs one message).
func (d *Dispatcher) route(m *message) *queue {
	dest := d.dest(m.Destination)
	best, least := dest.queues[0], math.Inf(1)
	for _, q := range dest.queues {
		d.borrow(q)
		if !q.apart || !q.usable() {
			continue
		}
		done := d.backlog(q) + math.Max(q.class[m.Class], d.latency(q))
		late := m.expires - d.now - time.Duration(math.Min(done, 1e6)*float64(time.Second))
		cost := m.class.PriorityWeight*(1-m.class.worthAt(m.class.Deadline-late)) +
			d.meanWorth*done/m.class.Deadline.Seconds()
		if zone := q.eps[0].Zone; zone >= 0 && zone < len(d.s.ZoneCost) {
			cost += d.s.ZoneCost[zone] * d.meanWorth
		}
		if cost < least {
			best, least = q, cost
		}
	}
	return best
}

// --- Sending ---

// dispatch gives free slots in turns to the queues that can send: fewest calls out first, and among these
// the message whose worth falls first.
func (d *Dispatcher) dispatch() {
	for d.out < d.s.MaxInFlight && !d.stopping {
		var best *queue
		var ep *endpoint
		var first *message
		for _, q := range d.active {
			if best != nil && len(q.out) > len(best.out) {
				continue
			}
			e, m := d.ready(q)
			if m != nil && (best == nil || len(q.out) < len(best.out) || d.falls(m) < d.falls(first)) {
				best, ep, first = q, e, m
			}
		}
		if best == nil {
			return
		}
		d.send(best, ep, first)
	}
}

// falls is when a message falls under keepWorth; what is under it already comes after all others.
func (d *Dispatcher) falls(m *message) time.Duration {
	at := m.expires - m.class.Deadline + m.class.ageAt(keepWorth)
	if at < d.now {
		at += time.Hour
	}
	return at
}

// reap calls off calls that are out far longer than usual, so that their messages can be sent again. It
// guards against lost calls and answers, and against hangs that fill the slots, whatever the cause; it
// costs the work of a call that was merely slow, so calls are taken later with each attempt, and those
// that no later call has overtaken only for want of a slot. A call that may not be repeated is taken for
// want of a slot alone, finalFactor times as late: its message fails, but the slot serves others.
func (d *Dispatcher) reap() {
	if !d.s.CanCancel {
		return
	}
	want := d.out >= d.s.MaxInFlight && slices.ContainsFunc(d.active, func(q *queue) bool {
		_, m := d.ready(q)
		return m != nil
	})
	for _, q := range d.active {
		for _, c := range q.out {
			again := d.expendable(c)
			lost := again && c.ep.lastBegun > c.sent // a call that began later has succeeded
			factor := d.stuckFactor()
			if !again {
				factor *= finalFactor
			}
			due := lost && d.now >= d.lateAt(c, silentAfter) || want && d.now >= d.lateAt(c, factor)
			if c.canceled || !due {
				continue
			}
			c.canceled, want = true, want && lost
			for _, m := range c.msgs {
				if i := len(m.attempts) - 1; m.attempts[i].call == c && m.attempts[i].open {
					d.act(CancelAttempt{ID: m.ID, Attempt: i})
				}
			}
		}
	}
}

// stuckFactor is the number of mean latencies after which a wanted slot is taken back: sooner where late
// calls have mostly not been answered at all (loss, hangs) than where they have (slowness, heavy work).
func (d *Dispatcher) stuckFactor() float64 {
	if d.unanswered > mostly {
		return stuckAfter
	}
	return silentAfter
}

// expendable tells whether every message of a call may be sent again after it.
func (d *Dispatcher) expendable(c *call) bool {
	for _, m := range c.msgs {
		if m.class.Idempotency == NotIdempotent || !d.repeatable(m, nil) || len(m.attempts) >= d.s.MaxAttempts {
			return false
		}
	}
	return true
}

// lateAt is when a call has been out for far longer than usual.
func (d *Dispatcher) lateAt(c *call, factor float64) time.Duration {
	usual := math.Max(c.ep.q.mean, c.ep.lastTook)
	for _, m := range c.msgs {
		usual = math.Max(usual, c.ep.q.class[m.Class])
	}
	if usual == 0 {
		return never
	}
	tries := math.Pow(2, float64(len(c.msgs[0].attempts)-1))
	return c.sent + time.Duration(factor*tries*usual*float64(time.Second))
}

// ready tells which message a queue would send now and where, if any.
func (d *Dispatcher) ready(q *queue) (*endpoint, *message) {
	most := max(1, int(math.Ceil(slotShare*float64(d.s.MaxInFlight))))
	if len(q.held) == 0 || d.now < q.waitUntil || d.now < q.holdUntil || len(q.out) >= most {
		return nil, nil
	}
	if ep := q.warm; ep != nil && d.open(ep) && (q.pace == 0 || d.tokens(q) >= 1-d.ahead(q)) {
		for _, m := range q.held {
			if d.sendable(m) && d.repeatable(m, ep) {
				return ep, m
			}
		}
	}
	if d.now < q.doorUntil || q.pace > 0 && d.tokens(q) < 1 {
		return nil, nil
	}
	for _, m := range q.held {
		if d.sendable(m) {
			if ep := d.endpoint(q, m); ep != nil {
				return ep, m
			}
		}
	}
	return nil, nil
}

// ahead is how many calls a queue may send before its pace allows them: none where the limit was lowered
// or has refused a call not long ago, since there the pace is what keeps the sum of all relays to it.
func (d *Dispatcher) ahead(q *queue) float64 {
	if q.rate() < q.weight || q.limitAt > 0 && d.now-q.limitAt < shutAfter {
		return 0
	}
	return math.Min(aheadCalls, aheadShare*q.rate()*burstSpan.Seconds())
}

// closeIdle closes connections that have ended their calls and carry no further one, where they are not
// worth keeping, and lets go of those that stood for one.
func (d *Dispatcher) closeIdle() {
	for _, ep := range d.done {
		ep.q.warm = nil
		if ep.lastUsed != d.now && (len(ep.out) == 0 || !d.keeps()) && d.seldom(ep) {
			d.act(CloseIdleConns{Endpoint: ep.ID})
		}
	}
	d.done = nil
}

// sendable tells whether the rules allow another attempt of a held message now.
func (d *Dispatcher) sendable(m *message) bool {
	if len(m.attempts) >= d.s.MaxAttempts || d.now >= m.expires {
		return false
	}
	if m.class.Ordered && m.OrderKey != "" {
		if line := d.keys[m.OrderKey]; line[0] != m {
			return false
		}
	}
	return true
}

// repeatable tells whether effects allow another attempt, at ep if it is given.
func (d *Dispatcher) repeatable(m *message, ep *endpoint) bool {
	first := m.firstRun()
	switch {
	case first == nil || m.class.Idempotency == Idempotent:
		return true
	case m.class.Idempotency == NotIdempotent:
		return false
	case ep != nil && m.class.KeyPerZone && (first.call.ep.Zone != ep.Zone || ep.Zone <= nowhere):
		return false
	}
	return d.now < d.forgotten(m)
}

// forgotten is when a destination may not remember any more that a keyed message has run there.
func (d *Dispatcher) forgotten(m *message) time.Duration {
	return m.firstRun().sent + m.class.KeyTTL - 2*d.s.BatchInterval
}

// endpoint chooses where in a queue a message goes: a sick endpoint whose trial is due, else a healthy
// one with the fewest calls out, in the relay's own zone; of these the one used last, whose connection may
// still stand, or in turns, from a lot of the relay's own on, where relays are too many to keep connections.
func (d *Dispatcher) endpoint(q *queue, m *message) *endpoint {
	var best *endpoint
	for _, ep := range q.eps {
		if !d.open(ep) || !d.repeatable(m, ep) || ep.sick && len(m.attempts) > 0 && len(q.eps) > 1 {
			continue
		}
		if best == nil || d.better(m, ep, best) {
			best = ep
		}
	}
	return best
}

func (d *Dispatcher) better(m *message, a, b *endpoint) bool {
	if a.sick != b.sick {
		return a.sick // its trial is due
	}
	if s, t := d.silent(a), d.silent(b); s != t {
		return t
	}
	if s, t := m.against(a), m.against(b); s != t {
		return s < t
	}
	if len(a.out) != len(b.out) {
		return len(a.out) < len(b.out)
	}
	if near, far := a.Zone == d.s.Zone, b.Zone == d.s.Zone; near != far {
		return near
	}
	if d.keeps() {
		return a.lastUsed > b.lastUsed // its connection may still stand
	}
	// Guards against a fleet in which each relay has reason to take the same endpoint: the first listed, then
	// the one it took last.
	return a.lastUsed < b.lastUsed || a.lastUsed == b.lastUsed && a.lot < b.lot
}

// against counts what speaks against an endpoint for a message: failures of its class in a row, and a
// try of its own, the last, that did not succeed. An endpoint may fail one class and serve the others.
func (m *message) against(ep *endpoint) float64 {
	n := ep.strikes[m.Class]
	if i := len(m.attempts); i > 0 && m.attempts[i-1].call.ep == ep {
		n++
	}
	return n
}

// open tells whether an endpoint may get a call now.
func (d *Dispatcher) open(ep *endpoint) bool {
	if ep.Draining || ep.Removed || ep.connCap > 0 && float64(len(ep.out)+1) > ep.connCap {
		return false
	}
	if ep.sick {
		trials := 0
		for _, c := range ep.out {
			if c.sent >= ep.sickAt {
				trials++
			}
		}
		return trials < fewSlots && d.epTokens(ep) >= 1
	}
	if ep.ramping && d.epTokens(ep) < 1 {
		return false
	}
	return !d.silent(ep) || len(ep.out) < fewSlots
}

// silent tells whether an endpoint has a call out for far longer than usual and no success since it.
func (d *Dispatcher) silent(ep *endpoint) bool {
	if len(ep.out) == 0 || ep.q.mean == 0 {
		return false
	}
	return ep.lastOK <= ep.out[0].sent && d.now >= d.lateAt(ep.out[0], silentAfter)
}

// send starts a call with a message and, where the kind allows it, others of the queue.
func (d *Dispatcher) send(q *queue, ep *endpoint, first *message) {
	c := &call{ep: ep, sent: d.now}
	d.turn++
	q.served = d.turn
	if q.warm == ep {
		q.warm = nil // that connection is taken
	}
	d.out++
	d.wake(q)
	q.out, ep.out = append(q.out, c), append(ep.out, c)
	ep.lastUsed = d.now
	d.spend(q)
	if ep.sick || ep.ramping {
		d.epTokens(ep)
		ep.tokens--
	}
	d.attempt(first, c)
	for i := 0; i < len(q.held) && c.open < q.bundle && !ep.sick; {
		m := q.held[i]
		if d.sendable(m) && d.repeatable(m, ep) {
			d.attempt(m, c)
			continue
		}
		i++
	}
}

// attempt adds one message to a call.
func (d *Dispatcher) attempt(m *message, c *call) {
	m.release()
	within := time.Duration(0)
	if m.firstRun() != nil && m.class.Idempotency == IdempotentByKey {
		within = d.forgotten(m) - d.now // and that may pass while a connection is made
	}
	m.attempts = append(m.attempts, attempt{call: c, sent: d.now, open: true})
	m.open++
	c.open++
	c.msgs = append(c.msgs, m)
	d.act(Send{ID: m.ID, Endpoint: c.ep.ID, Timeout: d.timeout(m, c), WriteWithin: within})
}

// timeout is how long an answer is waited for; an unsafe message waits to its end, since after a
// time-out it could only be failed.
func (d *Dispatcher) timeout(m *message, c *call) time.Duration {
	left := m.expires - d.now
	if m.class.Idempotency == NotIdempotent || len(m.attempts) >= d.s.MaxAttempts {
		return 0
	}
	wait := math.Max(answerShare*left.Seconds(), timeoutMeans*c.ep.q.mean)
	return min(left, time.Duration(wait*float64(time.Second)))
}

// --- Pace ---

// tokens is what the pace of a queue allows to be sent now.
func (d *Dispatcher) tokens(q *queue) float64 {
	return q.fill(d.now, q.pace, math.Max(1, q.pace*burstSpan.Seconds()))
}

// epTokens is what the budget of a sick or ramping endpoint allows to be sent now.
func (d *Dispatcher) epTokens(ep *endpoint) float64 {
	if ep.ramping && d.coldFor(ep) >= d.s.SlowStartTime {
		ep.ramping = false
	}
	rate := d.budget(ep, d.coldFor(ep))
	return ep.fill(d.now, rate, math.Max(1, rampBurst*rate*d.s.OverloadWindow.Seconds()))
}

// coldFor is how long an endpoint has been back.
func (d *Dispatcher) coldFor(ep *endpoint) time.Duration {
	if ep.sick {
		return 0
	}
	return min(d.now-ep.recovered, d.s.SlowStartTime)
}

// budget is the calls a second that this relay may make to an endpoint that has been back for so long:
// its part of what the rule on returning destinations allows. Where no weight is told, one call in
// each span of the rule.
func (d *Dispatcher) budget(ep *endpoint, back time.Duration) float64 {
	share := 1.0
	if d.s.SlowStartTime > 0 {
		share = d.s.ColdCapacity + (1-d.s.ColdCapacity)*float64(back)/float64(d.s.SlowStartTime)
	}
	weight := ep.q.weight
	if weight == 0 {
		weight = float64(d.s.Instances)
	}
	safety := rampSafety
	if d.sparse(ep.q) {
		safety = sparseSafety
	}
	all := safety * d.s.OverloadFactor * share * weight
	return all / float64(d.s.Instances*max(1, len(ep.q.eps)))
}

// --- Outcomes ---

// ended takes in the outcome of an attempt.
func (d *Dispatcher) ended(e AttemptEnded) {
	m := d.messages[e.ID]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || !m.attempts[e.Attempt].open {
		return
	}
	a := &m.attempts[e.Attempt]
	a.open = false
	m.open--
	a.unrun = !e.OutcomeUnknown && (e.Outcome == Rejected || e.Outcome == ConnectError || e.Outcome == NotSent)
	c := a.call
	if e.LoadReport != nil {
		d.reported(c.ep.q, e.LoadReport.RateLimit)
	}
	if e.Outcome == Rejected && e.RetryAfter > 0 {
		c.ep.q.waitUntil = max(c.ep.q.waitUntil, d.now+min(e.RetryAfter, never-d.now))
		d.unsend(c.ep.q.out, c)
	}
	if c.open--; c.open == 0 {
		d.out--
		c.ep.out, c.ep.q.out = remove(c.ep.out, c), remove(c.ep.q.out, c)
		d.learn(c, m, e)
		if !slices.Contains(d.done, c.ep) {
			d.done = append(d.done, c.ep)
		}
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Canceled {
		m.rest = d.now + d.s.OrderKeyCooldown
	}
	switch {
	case e.Final || e.Outcome == Succeeded:
		d.finish(m)
	case m.over:
		d.retire(m)
	case m.open > 0:
	case m.Background, e.AttemptsExhausted || len(m.attempts) >= d.s.MaxAttempts, d.now >= m.expires-d.s.BatchInterval,
		!d.repeatable(m, nil):
		d.giveUp(m)
	default:
		d.hold(d.route(m), m)
	}
}

// unsend takes back those calls that have not left yet, as while their connections are made: their
// destination has told one to wait, or their endpoint takes nothing new any more.
func (d *Dispatcher) unsend(calls []*call, told *call) {
	for _, c := range calls {
		for _, m := range c.msgs {
			if i := len(m.attempts) - 1; c != told && m.attempts[i].call == c && m.attempts[i].open {
				d.act(CancelBeforeSend{ID: m.ID, Attempt: i})
			}
		}
	}
}

// seldom tells whether a connection to an endpoint would close unused, or the endpoint takes few: many
// relays that keep idle ones leave no room for each other. It costs a handshake where it is wrong.
func (d *Dispatcher) seldom(ep *endpoint) bool {
	// Counted, not as a rate: at the start one arrival looks like many.
	expected := ep.q.arrivals.count(d.now) * float64(d.s.IdleConnTimeout) / float64(counterAge)
	return ep.connCap > 0 || !d.keeps() ||
		d.s.Instances > idleRoom && expected < reuses*float64(max(1, len(ep.q.eps)))
}

// keeps tells whether relays are few enough for any of them to keep a connection that idles.
func (d *Dispatcher) keeps() bool { return d.s.Instances <= connRoom }

// learn draws from a call's end what it tells, by its own time: a relay without turns hears late of it.
func (d *Dispatcher) learn(c *call, m *message, e AttemptEnded) {
	ep, q := c.ep, c.ep.q
	if e.Latency <= 0 {
		e.Latency = d.now - c.sent
	}
	took := min(e.Latency, m.class.Deadline).Seconds()
	if c.sent+e.Latency >= d.lateAt(c, stuckAfter) {
		d.unanswered *= 1 - latencyGain
		if e.Outcome != Succeeded {
			d.unanswered += latencyGain
		}
	}
	switch e.Outcome {
	case Succeeded:
		ep.lastBegun, ep.lastTook = max(ep.lastBegun, c.sent), took
		q.observe(m.Class, took)
		d.pool(q.kind).observe(m.Class, took)
		ep.strikes[m.Class] = 0
		d.succeeded(ep, e.LoadReport == nil || e.LoadReport.Remaining >= roomLeft)
	case Rejected:
		if c.sent >= q.pausedAt {
			// A host that reports its limit in its answers, but not in this one, did not look at it: it has
			// all the connections it takes, or is shut.
			d.full(q, e.LoadReport == nil && q.limit > 0)
		}
	case ConnectError:
		if ep.lastOK > c.sent {
			// Others get through: the endpoint takes no more connections, it is not down.
			ep.connCap = math.Max(1, float64(len(ep.out)))
			return
		}
		d.unreached(ep, c)
		d.failed(ep, c, 1)
	case Failed, ConnectionReset:
		d.failed(ep, c, answeredFailure)
	case TimedOut, Canceled:
		if took > stuckAfter*q.mean && (e.Outcome == TimedOut || c.canceled) {
			d.failed(ep, c, 1)
		}
	}
}

// borrow fills what a queue does not know of its latencies from all destinations of its kind.
func (d *Dispatcher) borrow(q *queue) {
	pool := d.pool(q.kind)
	if pool.n == 0 {
		return
	}
	if q.n == 0 {
		q.mean = pool.mean
	}
	for i, mean := range q.class {
		if mean == 0 || q.n == 0 {
			q.class[i] = pool.class[i]
		}
	}
}

// succeeded notes a success: an endpoint that was sick starts its ramp.
func (d *Dispatcher) succeeded(ep *endpoint, room bool) {
	q := ep.q
	ep.failures, ep.lastOK, q.lastOK = 0, d.now, d.now
	if ep.connCap > 0 {
		ep.connCap += connRaise // other relays close idle connections
	}
	if ep.sick {
		d.epTokens(ep)
		ep.sick, ep.ramping, ep.recovered = false, true, d.now
		if !ep.Removed {
			d.down--
		}
		ep.tokens = math.Max(ep.tokens, d.phase(ep))
		d.act(PersistHealth{Endpoint: ep.ID, At: d.now})
		for _, other := range q.eps {
			other.tokens = math.Max(other.tokens, 1) // outages mostly end for a whole destination
		}
	}
	q.fulls, q.failures, q.ill = 0, 0, false
	if room && !ep.ramping && !d.keeps() {
		q.warm = ep
	}
	if q.pace > 0 && len(q.held) > 0 && room {
		own := math.Max(d.even(q), math.Min(q.pace, pacedCalls/burstSpan.Seconds()))
		q.pace = math.Min(q.pace+paceRaise*own*math.Min(1, raisesASecond/q.pace), q.rate())
	}
}

// failed notes a failure of an endpoint; one of a call sent before its last success tells nothing new.
func (d *Dispatcher) failed(ep *endpoint, c *call, n float64) {
	for _, m := range c.msgs {
		ep.strikes[m.Class] += n / float64(len(c.msgs))
	}
	if ep.lastOK > c.sent {
		return
	}
	ep.failures += n
	if ep.failures >= failuresToSick || d.once(ep.q, 1) && 2*ep.failures >= failuresToSick {
		d.sicken(ep)
	}
}

// unreached notes a connection that could not be had against all endpoints of a destination. It guards
// against an outage of them all that shows at each one late, where relays are so many that each has few
// calls; where they are so few that a third is long in coming, two do. An endpoint that is out by itself is
// sick before it is more than that. A link that is cut looks like machines that are gone: what is behind it
// is treated as cold as well, as it may be.
func (d *Dispatcher) unreached(ep *endpoint, c *call) {
	q := ep.q
	if d.keeps() || ep.sick || q.lastOK > c.sent {
		return
	}
	q.failures++
	if q.failures > failuresToSick || d.sparse(q) && q.failures >= failuresToSick {
		for _, other := range q.eps {
			d.sicken(other)
		}
	}
}

// phase is what a budget of less than a call a span starts with: a chance part of a call, so that of many
// relays with a call in a minute each some try at any time, and the total is what the rule allows.
func (d *Dispatcher) phase(ep *endpoint) float64 {
	return math.Max(0, d.chance.Float64()-d.budget(ep, d.coldFor(ep))*d.s.OverloadWindow.Seconds())
}

// sicken marks an endpoint sick and lets the messages of its route choose again.
func (d *Dispatcher) sicken(ep *endpoint) {
	if ep.sick {
		return
	}
	ep.sick, ep.ramping, ep.sickAt, ep.q.ill = true, false, d.now, true
	if !ep.Removed {
		d.down++
	}
	ep.tokens, ep.tokensAt = d.phase(ep), max(d.now, ep.q.waitUntil)
	d.act(PersistHealth{Endpoint: ep.ID, Unhealthy: true, At: d.now})
	if ep.q.apart {
		d.reroute(ep.q)
	}
}

// joins takes in a new endpoint: at a destination that is out it is as cold as the others.
func (d *Dispatcher) joins(ep *endpoint) {
	if ep.q.ill {
		d.sicken(ep)
	}
}

// reroute lets the held messages of a queue choose their route again.
func (d *Dispatcher) reroute(q *queue) {
	for _, m := range append([]*message(nil), q.held...) {
		m.release()
		d.hold(d.route(m), m)
	}
}

// full notes a refusal by the destination: a cut of the pace and a pause, twice as long for each
// refusal in a row, since refused calls may eat the limit; a run of them is a destination that is shut. A
// refusal at the door says nothing of the limit: it pauses, and leaves the pace.
func (d *Dispatcher) full(q *queue, door bool) {
	if q.fulls++; q.fulls == 1 {
		q.firstFull = d.now
	}
	if q.pace > 0 && !door {
		q.pace = math.Max(paceFloor*d.even(q), math.Min(q.pace*paceCut, (q.pace+d.even(q))/2))
		q.tokens = math.Min(q.tokens, 0)
	}
	hold := math.Max(leastPause.Seconds(), q.mean)
	if q.pace > 0 {
		hold = pauseCalls / math.Max(q.pace, pacedCalls/burstSpan.Seconds())
	}
	hold = math.Min(hold*math.Pow(2, float64(q.fulls-1)), math.Max(hold, longestHold.Seconds()))
	hold *= 0.5 + d.chance.Float64() // relays that were refused together do not come back together
	until := &q.holdUntil
	if door {
		until = &q.doorUntil // what is in already may go on
	} else {
		q.limitAt = d.now
	}
	*until, q.pausedAt = max(*until, d.now+time.Duration(hold*float64(time.Second))), d.now
	if d.once(q, q.fulls) || q.fulls > failuresToSick && d.now-q.firstFull > shutAfter {
		for _, ep := range q.eps {
			d.sicken(ep)
		}
	}
}

// --- Ends ---

// withdraw drops a message that nobody wants any more.
func (d *Dispatcher) withdraw(id string) {
	m := d.messages[id]
	if m == nil || m.over {
		return
	}
	d.finish(m)
	for i := range m.attempts {
		if m.attempts[i].open && d.s.CanCancel {
			d.act(CancelAttempt{ID: m.ID, Attempt: i})
		}
	}
}

// expire gives final answers to held messages that have no time left for another attempt of mean latency,
// and to those that cannot be sent again any more, also since new settings allow fewer attempts.
func (d *Dispatcher) expire() {
	var ended []*message
	for _, m := range d.live {
		spent := len(m.attempts) >= d.s.MaxAttempts
		if m.q != nil && (spent || d.now >= d.lastChance(m) || !d.repeatable(m, nil)) {
			ended = append(ended, m)
		}
	}
	for _, m := range ended {
		d.giveUp(m)
	}
}

// lastChance is when a held message is given up: its time left is then its expected latency.
func (d *Dispatcher) lastChance(m *message) time.Duration {
	x := time.Duration(m.q.class[m.Class] * float64(time.Second))
	return m.expires - max(2*d.s.BatchInterval, x)
}

// giveUp ends a message: a refusal where trying again is harmless, else a failure.
func (d *Dispatcher) giveUp(m *message) {
	if m.firstRun() == nil || m.class.Idempotency == Idempotent || m.class.Idempotency == IdempotentByKey && !m.class.KeyPerZone {
		d.refuse(m, 0)
		return
	}
	d.act(Fail{ID: m.ID})
	d.told(m)
}

func (d *Dispatcher) refuse(m *message, after float64) {
	stay := time.Duration(math.Min(math.Max(0, after), d.s.MaxRetryAfter.Seconds()) * float64(time.Second))
	d.act(Reject{ID: m.ID, RetryAfter: stay})
	d.told(m)
}

// even is this relay's even share of a queue's limit, in calls a second.
func (d *Dispatcher) even(q *queue) float64 { return q.rate() / float64(d.s.Instances) }

// rate is the calls a second that a queue's destination takes from all relays just now; 0 for unknown.
func (q *queue) rate() float64 {
	if q.limit > 0 && q.limit < throttled*q.weight {
		return q.limit
	}
	return q.weight
}

// reported takes in the limit that a destination tells of itself: it may lower what it is listed with for a
// while, and what goes there above that is refused. The pace begins anew at the even share of what it is now.
func (d *Dispatcher) reported(q *queue, limit float64) {
	if !(limit > 0) || math.IsInf(limit, 0) || q.weight == 0 {
		return
	}
	before := q.rate()
	if q.limit == 0 || limit < throttled*q.limit || q.limit < throttled*limit {
		q.limit = limit
	} else {
		q.limit += limitGain * (limit - q.limit)
	}
	if now := q.rate(); q.pace > 0 && (now < throttled*before || before < throttled*now) {
		q.pace = math.Max(d.even(q), math.Min(now, pacedCalls/burstSpan.Seconds()))
	}
}

// sparse tells whether a second knock is more than this relay's part of what a cold destination takes.
func (d *Dispatcher) sparse(q *queue) bool {
	return q.weight > 0 && d.even(q)*burstSpan.Seconds() < pacedCalls
}

// once tells whether n failures or refusals are all that may be seen before the budget is kept to. That
// costs what the budget holds back where the destination was only at its limit; others, who were not
// refused, use the room. Half of the relays may knock once more, by chance, but not after a told wait,
// when all would; and an outage that began after a success just now is not about to end.
func (d *Dispatcher) once(q *queue, n int) bool {
	if !d.sparse(q) || q.lastOK > 0 && d.now-q.lastOK <= shutAfter {
		return false
	}
	return n >= failuresToSick || d.now < q.waitUntil || d.chance.Float64() < onceShare
}

// weigh takes in the rate that a queue's destination is listed with.
func (d *Dispatcher) weigh(q *queue, weight float64) {
	if d.s.Weights == WeightsOff || !(weight > 0) || math.IsInf(weight, 0) || weight == q.weight {
		return
	}
	q.weight = weight
	q.pace = math.Max(d.even(q), pacedCalls/burstSpan.Seconds())
	q.tokens, q.tokensAt = math.Max(1, q.pace*burstSpan.Seconds()), d.now
}

// --- New settings ---

// retune takes over new settings. Messages under way keep the terms of their class; where its effect is
// stricter now, both hold.
func (d *Dispatcher) retune(s Settings) {
	d.s = s
	d.weighClasses()
	d.widen()
	for _, m := range d.messages {
		m.class = m.class.stricter(&d.s.Classes[m.Class])
	}
	for _, q := range d.queues {
		if q.pace > 0 {
			q.pace = math.Min(math.Max(q.pace, paceFloor*d.even(q)), q.weight)
		}
	}
	if !s.WatchEndpoints {
		d.resub = never
	}
}

// stricter gives the terms of a class under which an attempt needs leave from it and from what the settings
// say now. A message of a class that was safe has no key for a destination to remember: where the class is
// keyed now, it is repeated only if it never ran.
func (c *Class) stricter(now *Class) *Class {
	as := c.Idempotency != IdempotentByKey || now.KeyTTL >= c.KeyTTL && (c.KeyPerZone || !now.KeyPerZone) // as strict
	if now.Retired || now.Idempotency == c.Idempotency && as {
		return c
	}
	both := *c
	switch {
	case c.Idempotency == NotIdempotent || now.Idempotency == NotIdempotent || c.Idempotency == Idempotent && now.Idempotency == IdempotentByKey:
		both.Idempotency = NotIdempotent
	case now.Idempotency == IdempotentByKey: // and so is c
		both.KeyTTL, both.KeyPerZone = min(c.KeyTTL, now.KeyTTL), c.KeyPerZone || now.KeyPerZone
	}
	return &both
}

// --- Timers ---

// arm asks for a timer when something is next due by time alone.
func (d *Dispatcher) arm() {
	next := never
	soon := func(t time.Duration) { next = min(next, max(t, d.now+d.s.BatchInterval)) }
	soon(d.resub)
	for _, m := range d.live {
		if m.q != nil {
			soon(d.lastChance(m))
			if m.firstRun() != nil && m.class.Idempotency == IdempotentByKey {
				soon(d.forgotten(m))
			}
		}
	}
	for _, q := range d.active {
		for _, c := range q.out {
			for _, factor := range []float64{stuckAfter, silentAfter, silentAfter * finalFactor} {
				if at := d.lateAt(c, factor); at > d.now && !c.canceled {
					soon(at)
				}
			}
		}
		if len(q.held) == 0 {
			continue
		}
		at := max(q.pausedUntil(), d.now)
		if q.pace > 0 && d.tokens(q) < 1 {
			at = max(at, d.now+wait(1-q.tokens, q.pace))
		}
		if at > d.now {
			soon(at)
		}
		for _, ep := range q.eps {
			if (ep.sick || ep.ramping) && d.epTokens(ep) < 1 {
				soon(max(at, d.now+wait(1-ep.tokens, d.budget(ep, d.coldFor(ep)))))
			}
		}
	}
	for _, m := range d.resting {
		soon(m.rest)
	}
	// A clock with coarser steps than ours may wake us a little before the time: that timer is used up.
	if next < never && (d.wakeAt < d.now+d.s.BatchInterval || next < d.wakeAt) {
		d.wakeAt = next
		d.act(SetTimer{After: next - d.now})
	}
}
