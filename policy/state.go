package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// This file holds the state of a dispatcher and its bookkeeping; what is decided on it is in policy.go.

// UnhealthyEndpoints is how many listed endpoints are out: nothing goes there but trials.
func (d *Dispatcher) UnhealthyEndpoints() int { return d.down }

// Dispatcher decides for one relay. It is not safe for concurrent use.
type Dispatcher struct {
	s         Settings
	now       time.Duration
	endpoints map[string]*endpoint
	dests     map[int]*destination
	active    []*queue // those with messages held or calls out
	queues    []*queue // in the order in which they were first seen
	messages  map[string]*message
	live      []*message // unfinished, in the order of arrival
	resting   []*message // over, but their keys rest
	keys      map[string][]*message
	out       int // calls out
	down      int // listed endpoints that are sick
	// unanswered is the share of calls out for stuckAfter mean latencies that had no success.
	unanswered float64
	seq        int
	turn       int
	meanWorth  float64
	resub      time.Duration // when to subscribe
	wakeAt     time.Duration // when the next timer is due; 0 for none
	stopping   bool          // send nothing more
	done       []*endpoint   // at which calls ended in this batch
	actions    []Action
	chance     *rand.Rand
	pools      map[int]*latencies // by kind of destination
}

// never is later than every moment, and nowhere the zone of an endpoint whose zone is not known.
const (
	never   = time.Duration(math.MaxInt64)
	nowhere = -1
)

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }

// destination is where messages go: one queue, or one for each route.
type destination struct {
	queues []*queue // routes, or the one shared queue; queues[0] also serves while nothing is listed
}

// queue is one first-come queue of the paper.
type queue struct {
	dest   *destination
	eps    []*endpoint
	held   []*message
	out    []*call
	served int // the turn in which it was last served
	latencies
	kind      int
	waitUntil time.Duration
	holdUntil time.Duration // our own pause after a refusal without a wait
	doorUntil time.Duration // the same after a refusal at the door: for new connections only
	pausedAt  time.Duration // when that pause began
	limitAt   time.Duration // the last refusal that was not at the door; 0 for never
	fulls     int           // refusals in a row
	firstFull time.Duration // of the refusals in a row
	lastOK    time.Duration // 0 for never
	failures  float64       // connections in a row that were not to be had, at endpoints that were not sick
	weight    float64       // calls a second that all relays may make; 0 for unknown
	limit     float64       // the same as the destination tells it; 0 for unknown
	pace      float64       // calls a second of this relay; 0 for unknown
	bucket                  // of the pace
	arrivals  aged
	misses    aged // of the virtual copy under the basic rule
	copyWork  float64
	copyAt    time.Duration
	bundle    int
	apart     bool
	active    bool // among Dispatcher.active
	ill       bool // the last that was heard of an endpoint's health was bad
	// warm is an endpoint at which a call ended well in this batch: its connection may carry the next.
	warm *endpoint
}

// pausedUntil is when the next call may leave on a new connection, as far as waits and pauses tell.
func (q *queue) pausedUntil() time.Duration { return max(q.waitUntil, q.holdUntil, q.doorUntil) }

// latencies are mean latencies in seconds; 0 for unknown.
type latencies struct {
	n     int     // outcomes counted
	mean  float64 // of all classes
	class []float64
}

// observe adds a latency to the means; the first ones weigh more, as what was there is borrowed.
func (l *latencies) observe(class int, took float64) {
	l.n++
	gain := math.Max(latencyGain, 1/float64(l.n+1))
	for _, mean := range []*float64{&l.mean, &l.class[class]} {
		if *mean == 0 {
			*mean = took
		}
		*mean += gain * (took - *mean)
	}
}

// bucket is a token bucket.
type bucket struct {
	tokens   float64
	tokensAt time.Duration
}

// fill adds the tokens that came since the last time, up to depth, and gives how many there are.
func (b *bucket) fill(now time.Duration, rate, depth float64) float64 {
	b.tokens = math.Min(depth, b.tokens+rate*math.Max(0, (now-b.tokensAt).Seconds()))
	b.tokensAt = max(b.tokensAt, now)
	return b.tokens
}

// wait is the time in which tokens come at a rate, a little more than less.
func wait(tokens, rate float64) time.Duration {
	return time.Duration(math.Min(3600, math.Max(0, tokens)/rate)*float64(time.Second)) + time.Microsecond
}

// endpoint is one listed endpoint and what is known of its health.
type endpoint struct {
	Endpoint
	q         *queue
	out       []*call
	failures  float64   // in a row
	strikes   []float64 // failures in a row by class
	sick      bool
	sickAt    time.Duration
	recovered time.Duration // first success after an outage; 0 for never
	ramping   bool
	bucket    // of the budget while sick or ramping
	lastOK    time.Duration
	lastUsed  time.Duration
	lastBegun time.Duration // the start of the latest call that succeeded
	lastTook  float64       // the latency of the last success
	connCap   float64       // learned; 0 for none
	lot       float64       // which of those never used comes first
}

// call is one call out: one message, or a bundle.
type call struct {
	ep       *endpoint
	sent     time.Duration
	open     int // messages without an outcome
	msgs     []*message
	canceled bool // to take its slot back
}

// message is a message taken and not yet retired.
type message struct {
	Arrived
	class    *Class
	seq      int
	expires  time.Duration
	q        *queue // where it is held; nil while it is not
	attempts []attempt
	open     int // attempts without an outcome
	over     bool
	telling  bool          // its end is still to be known where it is owed
	rest     time.Duration // until when its key rests after it
}

type attempt struct {
	call  *call
	sent  time.Duration
	open  bool
	unrun bool // proved never to have run
}

// aged is a counter whose counts fade with time constant counterAge (in policy.go).
type aged struct {
	n     float64
	at    time.Duration
	since time.Duration // when it began to count
}

func (a *aged) add(now time.Duration, n float64) {
	a.n = a.n*math.Exp(-float64(now-a.at)/float64(counterAge)) + n
	a.at = now
}

// count is what is left of the counts.
func (a *aged) count(now time.Duration) float64 {
	return a.n * math.Exp(-float64(now-a.at)/float64(counterAge))
}

// rate is the count a second over the counter's age.
func (a *aged) rate(now time.Duration) float64 {
	age := counterAge.Seconds()
	return a.count(now) / (age * (1 - math.Exp(-math.Max(1, (now-a.since).Seconds())/age)))
}

// behindAll puts a background message behind whatever comes: more than any process takes on.
const behindAll = 1 << 40

// take notes a new message, or gives nil where it makes no sense.
func (d *Dispatcher) take(e Arrived) *message {
	if e.Class < 0 || e.Class >= len(d.s.Classes) || d.messages[e.ID] != nil {
		return nil
	}
	d.seq++
	m := &message{
		Arrived: e, class: &d.s.Classes[e.Class], seq: d.seq,
		expires: d.now + e.TimeLeft,
	}
	if e.Terms != nil {
		m.class = e.Terms.stricter(m.class)
	}
	if e.Background {
		m.seq += behindAll
	}
	d.messages[e.ID] = m
	d.live = append(d.live, m)
	if m.class.Ordered && m.OrderKey != "" {
		d.keys[m.OrderKey] = append(d.keys[m.OrderKey], m)
	}
	if e.Recovered {
		d.resume(m)
		return nil
	}
	return m
}

// resume puts a message that an earlier process admitted back into its queue, with the attempts made for it. One whose end is
// decided holds its key until that is known.
func (d *Dispatcher) resume(m *message) {
	if m.OutcomeDecided {
		d.told(m)
		return
	}
	for _, t := range m.PriorAttempts {
		ep := d.endpoints[t.Endpoint]
		if ep == nil {
			// Its zone is not known any more: a repeat that has to stay in it has nowhere to go.
			ep = &endpoint{
				Endpoint: Endpoint{ID: t.Endpoint, Destination: m.Destination, Zone: nowhere, Removed: true},
				q:        d.dest(m.Destination).queues[0], strikes: make([]float64, len(d.s.Classes)),
			}
		}
		c := &call{ep: ep, sent: t.SentAt, msgs: []*message{m}}
		m.attempts = append(m.attempts, attempt{call: c, sent: t.SentAt, unrun: t.NotExecuted, open: t.InFlight})
		if t.InFlight {
			c.open, m.open = 1, m.open+1
			d.out++
			ep.out, ep.q.out = append(ep.out, c), append(ep.q.out, c)
			d.wake(ep.q)
			continue
		}
		if !t.NotExecuted {
			m.rest = max(m.rest, d.now+d.s.OrderKeyCooldown)
		}
	}
	if m.open > 0 {
		return // its end tells what becomes of it
	}
	if m.Background && len(m.attempts) > 0 {
		d.giveUp(m) // it had its attempt
		return
	}
	d.hold(d.route(m), m)
}

// recall takes over an endpoint's outage or ramp from an earlier process, so that a restart in the middle of
// either does not send to a cold destination as to a warm one.
func (d *Dispatcher) recall(e HealthRecovered) {
	ep := d.endpoints[e.Endpoint]
	switch {
	case ep == nil:
	case e.Unhealthy:
		d.sicken(ep)
	case d.now-e.At < d.s.SlowStartTime:
		ep.ramping, ep.recovered = true, e.At
	}
}

// MergeClasses gives the table of classes after new settings: a name that was there keeps its number and gets its new terms, new
// names follow, and what the settings no longer have stays as retired, so that nothing is renumbered under a message.
func MergeClasses(table, settings []Class) []Class {
	merged := slices.Clone(table)
	for i := range merged {
		merged[i].Retired = true
	}
	for _, c := range settings {
		if i := slices.IndexFunc(merged, func(k Class) bool { return k.Name == c.Name }); i >= 0 {
			merged[i] = c
		} else {
			merged = append(merged, c)
		}
	}
	return merged
}

// weighClasses computes what a message is worth in the mean.
func (d *Dispatcher) weighClasses() {
	n := 0.0
	d.meanWorth = 0
	for _, c := range d.s.Classes {
		if !c.Retired {
			d.meanWorth += c.PriorityWeight
			n++
		}
	}
	d.meanWorth /= math.Max(1, n)
}

// widen makes room for the classes that new settings brought, wherever something is kept by class.
func (d *Dispatcher) widen() {
	grow := func(list *[]float64) {
		if more := len(d.s.Classes) - len(*list); more > 0 {
			*list = append(*list, make([]float64, more)...)
		}
	}
	for _, p := range d.pools {
		grow(&p.class)
	}
	for _, q := range d.queues {
		grow(&q.class)
	}
	for _, ep := range d.endpoints {
		grow(&ep.strikes)
	}
	for _, m := range d.messages {
		for _, a := range m.attempts {
			grow(&a.call.ep.strikes) // also of an endpoint that has left the list
			grow(&a.call.ep.q.class) // and of its queue
		}
	}
}

// pool gives what is known of a kind.
func (d *Dispatcher) pool(kind int) *latencies {
	if d.pools[kind] == nil {
		d.pools[kind] = &latencies{class: make([]float64, len(d.s.Classes))}
	}
	return d.pools[kind]
}

// firstRun is the first attempt that may have run, or nil.
func (m *message) firstRun() *attempt {
	for i := range m.attempts {
		if !m.attempts[i].unrun {
			return &m.attempts[i]
		}
	}
	return nil
}

// worthAt is the share of its worth that a message has at an age.
func (c *Class) worthAt(age time.Duration) float64 {
	switch {
	case age <= c.LatencyObjective:
		return 1
	case age > c.Deadline:
		return 0
	case c.ExponentialDecay && c.LatencyObjective > 0:
		return math.Max(c.LateFraction, math.Pow(0.5, float64(age-c.LatencyObjective)/float64(c.LatencyObjective)))
	}
	return 1 - (1-c.LateFraction)*float64(age-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}

// ageAt is the age at which a message has only a share of its worth left.
func (c *Class) ageAt(share float64) time.Duration {
	switch {
	case share <= c.LateFraction:
		return c.Deadline
	case c.ExponentialDecay:
		return min(c.Deadline, c.LatencyObjective-time.Duration(math.Log2(share)*float64(c.LatencyObjective)))
	}
	return c.LatencyObjective + time.Duration((1-share)/(1-c.LateFraction)*float64(c.Deadline-c.LatencyObjective))
}

// hold puts a message into a queue, by its order of arrival.
func (d *Dispatcher) hold(q *queue, m *message) {
	i := sort.Search(len(q.held), func(i int) bool { return q.held[i].seq > m.seq })
	q.held = append(q.held, nil)
	copy(q.held[i+1:], q.held[i:])
	q.held[i] = m
	m.q = q
	d.wake(q)
}

// wake notes that a queue has something to do.
func (d *Dispatcher) wake(q *queue) {
	if !q.active {
		q.active = true
		d.active = append(d.active, q)
	}
}

// rest drops the queues that have nothing to do from the active ones, and forgets routes that left.
func (d *Dispatcher) rest() {
	d.active = slices.DeleteFunc(d.active, func(q *queue) bool {
		q.active = len(q.held) > 0 || len(q.out) > 0
		if !q.active {
			d.forget(q)
		}
		return !q.active
	})
}

// forget drops a queue without endpoints and work, unless it is the one that stands for its destination.
func (d *Dispatcher) forget(q *queue) {
	if len(q.eps) > 0 || q.active || q.dest.queues[0] == q && len(q.dest.queues) == 1 {
		return
	}
	q.dest.queues, d.queues = remove(q.dest.queues, q), remove(d.queues, q)
}

// release takes a message out of its queue.
func (m *message) release() {
	if m.q != nil {
		m.q.held = remove(m.q.held, m)
		m.q = nil
	}
}

// dest gives a destination, with one queue at least.
func (d *Dispatcher) dest(no int) *destination {
	if d.dests[no] == nil {
		dest := &destination{}
		d.dests[no] = dest
		d.addQueue(dest, 1, false)
	}
	return d.dests[no]
}

// addQueue adds a queue to a destination.
func (d *Dispatcher) addQueue(dest *destination, bundle int, apart bool) *queue {
	q := &queue{
		dest: dest, latencies: latencies{class: make([]float64, len(d.s.Classes))}, bundle: max(1, bundle), apart: apart,
		bucket: bucket{tokensAt: d.now}, arrivals: aged{since: d.now}, misses: aged{since: d.now},
	}
	dest.queues = append(dest.queues, q)
	d.queues = append(d.queues, q)
	return q
}

// usable tells whether a queue has an endpoint that takes new work.
func (q *queue) usable() bool {
	for _, ep := range q.eps {
		if !ep.Draining && !ep.Removed {
			return true
		}
	}
	return false
}

// check names the first setting that makes no sense.
func (s *Settings) check() error {
	for i, c := range s.Classes {
		switch {
		case c.Deadline <= 0:
			return fmt.Errorf("Classes[%d].Deadline: %v is not above 0", i, c.Deadline)
		case c.LatencyObjective < 0:
			return fmt.Errorf("Classes[%d].Aim: %v is negative", i, c.LatencyObjective)
		case c.KeyTTL < 0:
			return fmt.Errorf("Classes[%d].Memory: %v is negative", i, c.KeyTTL)
		case c.Idempotency < Idempotent || c.Idempotency > NotIdempotent:
			return fmt.Errorf("Classes[%d].Effect: %d is unknown", i, c.Idempotency)
		}
	}
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("Classes: there are none")
	case s.Instances < 1:
		return fmt.Errorf("Instances: %d is less than 1", s.Instances)
	case s.MaxInFlight < 1:
		return fmt.Errorf("Slots: %d is less than 1", s.MaxInFlight)
	case s.MaxQueued < 1:
		return fmt.Errorf("HoldRoom: %d is less than 1", s.MaxQueued)
	case s.MaxAttempts < 1:
		return fmt.Errorf("MaxAttempts: %d is less than 1", s.MaxAttempts)
	case s.Weights < WeightsOff || s.Weights > WeightsRough:
		return fmt.Errorf("Weights: %d is unknown", s.Weights)
	case s.BatchInterval < 0:
		return fmt.Errorf("Tick: %v is negative", s.BatchInterval)
	case s.OrderKeyCooldown < 0:
		return fmt.Errorf("OrderPause: %v is negative", s.OrderKeyCooldown)
	case s.SlowStartTime < 0 || s.OverloadWindow < 0 || s.OverloadFactor < 0 || s.ColdCapacity < 0:
		return fmt.Errorf("RampTime, OverloadFor, OverloadFactor, ColdShare: one is negative")
	}
	return nil
}

// remove takes v out of a slice and keeps the order.
func remove[T comparable](list []T, v T) []T {
	for i := range list {
		if list[i] == v {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// listed takes in a change of the list.
func (d *Dispatcher) listed(e EndpointsChanged) {
	named := map[string]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		d.entry(entry)
	}
	if e.Full {
		for _, q := range slices.Clone(d.queues) {
			for _, ep := range append([]*endpoint(nil), q.eps...) {
				if !named[ep.ID] {
					d.drop(ep)
				}
			}
		}
	}
	for _, q := range slices.Clone(d.active) {
		if len(q.held) > 0 && !q.usable() {
			d.reroute(q)
		}
	}
}

// entry takes in one entry of the list.
func (d *Dispatcher) entry(e Endpoint) {
	ep := d.endpoints[e.ID]
	if e.Removed {
		if ep != nil {
			d.drop(ep)
		}
		return
	}
	if ep == nil {
		ep = &endpoint{strikes: make([]float64, len(d.s.Classes))}
		if !d.keeps() {
			ep.lot = d.chance.Float64()
		}
		d.endpoints[e.ID] = ep
		dest := d.dest(e.Destination)
		kind := DestinationKind{MaxBatch: 1}
		if e.Kind >= 0 && e.Kind < len(d.s.Kinds) {
			kind = d.s.Kinds[e.Kind]
		}
		ep.q = dest.queues[0]
		if kind.SeparateRoutes && (len(ep.q.eps) > 0 || len(dest.queues) > 1) {
			ep.q = d.addQueue(dest, 1, true)
		}
		ep.q.bundle, ep.q.apart, ep.q.kind = max(1, kind.MaxBatch), kind.SeparateRoutes, e.Kind
		ep.q.eps = append(ep.q.eps, ep)
		defer d.joins(ep)
	}
	if e.Draining && !ep.Draining {
		d.unsend(ep.out, nil)
	}
	ep.Endpoint = e
	d.weigh(ep.q, e.Weight)
}

// drop forgets an endpoint that left the list; calls out there still end.
func (d *Dispatcher) drop(ep *endpoint) {
	d.unsend(ep.out, nil)
	ep.Removed = true
	if ep.sick {
		d.down--
	}
	delete(d.endpoints, ep.ID)
	ep.q.eps = remove(ep.q.eps, ep)
	d.forget(ep.q)
}

// finish notes that a message has its final answer.
func (d *Dispatcher) finish(m *message) {
	if !m.over {
		m.over = true
		m.release()
		d.live = remove(d.live, m)
	}
	d.retire(m)
}

// told finishes a message whose end was just given: its key is free once that is known where it is owed.
func (d *Dispatcher) told(m *message) {
	m.telling = d.s.AwaitAcknowledgement && m.class.Ordered && m.OrderKey != ""
	d.finish(m)
}

// settle notes that a message's end is known where it is owed.
func (d *Dispatcher) settle(id string) {
	if m := d.messages[id]; m != nil && m.telling {
		m.telling = false
		d.retire(m)
	}
}

func (d *Dispatcher) spend(q *queue) {
	if q.pace > 0 {
		d.tokens(q)
		q.tokens--
	}
}

// retire forgets a message that is over and has nothing out, and lets the next of its key go.
func (d *Dispatcher) retire(m *message) {
	if !m.over || m.open > 0 || m.telling {
		return
	}
	if d.now < m.rest {
		if !slices.Contains(d.resting, m) {
			d.resting = append(d.resting, m)
		}
		return
	}
	d.resting = remove(d.resting, m)
	delete(d.messages, m.ID)
	if line := remove(d.keys[m.OrderKey], m); len(line) > 0 {
		d.keys[m.OrderKey] = line
	} else {
		delete(d.keys, m.OrderKey)
	}
}
