// Package destination models a partner system: endpoints with slots and queues, a limit on calls, pauses, outages and
// the cold time after them. It has no sockets and no clock: calls and failures come in with their times, and what
// is to be answered comes out.
package destination

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// never is when what is not due is due.
const never = time.Duration(math.MaxInt64)

// Mode is how an endpoint meets what comes.
type Mode int

// The modes. What lies between Refusing and Gone answers no call.
const (
	ModeServing      Mode = iota
	ModeOverloaded        // answers "full" to all
	ModeFailing           // answers a share of its calls with an error
	ModeRefusing          // connections are refused, open ones were reset
	ModeUnresponsive      // takes connections and says nothing
	ModeUnreachable       // as a machine that vanished: nothing comes up
)

// Outcome is what becomes of a call.
type Outcome int

// The outcomes.
const (
	OutcomeDelivered   Outcome = iota // 200
	OutcomeError                      // 500; it may have run
	OutcomeUnavailable                // 503
	OutcomeRetryAfter                 // 429 with a wait
	OutcomeReset                      // the connection is reset after the body; it has run
)

// Attempt is one call that has come whole.
type Attempt struct {
	ID                  string
	Relay               int
	Key                 string        // keyed classes: a repeat within Memory is dropped
	KeyTTL              time.Duration // how long the key is kept
	ServiceTime         time.Duration // at a partner of pace 1
	Draw                float64       // 0 to 1: decides between what happens to a share of calls
	NewConnection       bool          // the first on its connection
	OverConnectionLimit bool          // its connection is one more than the endpoint takes
	Probe               bool

	endpoint int
	left     time.Duration // of the work
	since    time.Duration // as of when
	doomed   Outcome       // what it ends as
	repeat   bool
}

// Completion is the end of a call.
type Completion struct {
	Attempt    *Attempt
	At         time.Duration // when it was due
	Outcome    Outcome
	RetryAfter time.Duration // with Wait
	Executed   bool          // it had its effect
	LoadReport *LoadReport   // or nil
}

// ModeChange is a change of an endpoint's mode that the partner made by itself: it fell over, or is back.
type ModeChange struct {
	Endpoint int
	Mode     Mode
	At       time.Duration
}

// Action is something to be done: one of the two is set.
type Action struct {
	Completion *Completion
	ModeChange *ModeChange
}

// LoadReport is what a partner tells of its limit.
type LoadReport struct{ Left, Limit float64 }

// endpoint is one endpoint.
type endpoint struct {
	mode     Mode
	share    float64 // of calls that fail, when Failing
	resets   float64 // share of calls whose connection is reset after the body
	slow     float64 // divides the speed
	paused   bool    // by itself
	stopped  bool    // by the script
	nextTurn time.Duration
	turns    *rand.Rand
	warmFrom time.Duration // when it came back cold
	cold     bool
	draining bool
	removed  bool
	conns    int
	running  []*Attempt
	queue    []*Attempt
}

// Model is the model of one partner.
type Model struct {
	spec      *scenario.Destination
	script    *scenario.Scenario
	endpoints []*endpoint
	now       time.Duration
	actions   []Action

	lowered  float64 // share of its limit that it takes at present
	tokens   float64 // of a rate
	filled   time.Duration
	span     int64 // number of the span that count belongs to
	count    int
	keys     map[string]time.Duration // until when each is remembered
	arrivals []time.Duration          // while cold, the last of them
	fallen   time.Duration            // until when it stays down; 0 for standing
	falls    int

	reports  *rand.Rand
	refresh  time.Duration
	upcoming []shown
	report   *LoadReport
}

// shown is a report on its way.
type shown struct {
	at time.Duration
	LoadReport
}

// OverloadSlack is how many calls above the rule's budget a cold partner bears: the rule's "little slack for chance".
const OverloadSlack = 3

// NewConnection gives a partner as it is at the start: warm and well.
func New(s *scenario.Scenario, number int, d scenario.RandomStreams) *Model {
	p := &Model{
		script: s, spec: &s.Destinations[number], keys: map[string]time.Duration{}, refresh: never, lowered: 1,
		reports: d.Stream("report", number),
	}
	for i := range p.spec.Endpoints {
		p.add(d.Stream("pause", number, i))
	}
	if l := p.spec.Limit; l != nil {
		p.tokens = l.Burst
	}
	if s.LoadReport != nil {
		p.refresh = scenario.Milliseconds(s.LoadReport.Every.Draw(p.reports))
	}
	return p
}

func (p *Model) add(turns *rand.Rand) int {
	e := &endpoint{slow: 1, turns: turns, nextTurn: never}
	if p.spec.Pause.High > 0 {
		e.nextTurn = p.now + scenario.Seconds(p.spec.PauseEvery.Draw(turns))
	}
	p.endpoints = append(p.endpoints, e)
	return len(p.endpoints) - 1
}

// AddEndpoint gives the partner a further endpoint, and its number.
func (p *Model) AddEndpoint(now time.Duration, turns *rand.Rand) (int, []Action) {
	p.advance(now)
	return p.add(turns), p.flush()
}

// Mode tells how an endpoint stands.
func (p *Model) Mode(e int) Mode { return p.endpoints[e].mode }

// Overloads is how often the partner was pushed over.
func (p *Model) Overloads() int { return p.falls }

// Connect counts a connection to an endpoint, and tells whether it is one more than that takes.
func (p *Model) Connect(e int) (overfull bool) {
	p.endpoints[e].conns++
	return p.spec.MaxConnections > 0 && p.endpoints[e].conns > p.spec.MaxConnections
}

// Disconnect counts a connection's end.
func (p *Model) Disconnect(e int) { p.endpoints[e].conns-- }

// NextDue is when something is due by itself.
func (p *Model) NextDue() time.Duration {
	next := p.refresh
	if len(p.upcoming) > 0 {
		next = min(next, p.upcoming[0].at)
	}
	if p.fallen > 0 {
		next = min(next, p.fallen)
	}
	for _, e := range p.endpoints {
		next = min(next, e.nextTurn)
		for _, c := range e.running {
			next = min(next, p.due(e, c))
		}
	}
	return next
}

// Advance brings the partner to a time.
func (p *Model) Advance(now time.Duration) []Action {
	p.advance(now)
	return p.flush()
}

// flush gives what is to be done, calls that took no time included.
func (p *Model) flush() []Action {
	p.advance(p.now)
	out := p.actions
	p.actions = nil
	return out
}

func (p *Model) advance(now time.Duration) {
	for {
		at := p.NextDue()
		if at > now {
			break
		}
		p.now = max(p.now, at)
		p.turn()
	}
	p.now = max(p.now, now)
}

// turn does what is due now.
func (p *Model) turn() {
	for i, e := range p.endpoints {
		for _, c := range slices.Clone(e.running) {
			if p.due(e, c) <= p.now {
				p.finish(e, c)
			}
		}
		if e.nextTurn <= p.now {
			p.settle(e)
			e.paused = !e.paused
			if e.paused {
				e.nextTurn = p.now + scenario.Milliseconds(p.spec.Pause.Draw(e.turns))
			} else {
				e.nextTurn = p.now + scenario.Seconds(p.spec.PauseEvery.Draw(e.turns))
			}
		}
		if p.fallen > 0 && p.fallen <= p.now {
			p.back(i)
		}
	}
	if p.fallen <= p.now {
		p.fallen = 0
	}
	for len(p.upcoming) > 0 && p.upcoming[0].at <= p.now {
		r := p.upcoming[0].LoadReport
		p.report = &r
		p.upcoming = p.upcoming[1:]
	}
	if p.refresh <= p.now {
		p.tell()
	}
}

// tell draws up a report, which is seen after a while.
func (p *Model) tell() {
	rep := p.script.LoadReport
	noise := func() float64 { return max(0, 1+rep.Noise*p.reports.NormFloat64()) }
	n1, n2 := noise(), noise()
	at := p.now + scenario.Milliseconds(rep.Delay.Draw(p.reports))
	p.refresh = p.now + scenario.Milliseconds(rep.Every.Draw(p.reports))
	if p.spec.Limit == nil {
		return
	}
	if k := len(p.upcoming); k > 0 {
		at = max(at, p.upcoming[k-1].at) // an older one does not overtake
	}
	p.upcoming = append(p.upcoming, shown{at, LoadReport{min(1, p.allowance()*n1), p.spec.Limit.PerSecond() * p.lowered * n2}})
}

// allowance is the share of the limit that is left.
func (p *Model) allowance() float64 {
	l := p.spec.Limit
	p.refill()
	if l.Rate > 0 {
		return max(0, p.tokens/l.Burst)
	}
	return max(0, 1-float64(p.count)/max(1, float64(p.most())))
}

// most is the count that the limit allows in a span at present.
func (p *Model) most() int { return int(float64(p.spec.Limit.Count) * p.lowered) }

// LowerLimit has the partner take a share of its limit from now on.
func (p *Model) LowerLimit(now time.Duration, share float64) []Action {
	p.advance(now)
	if l := p.spec.Limit; l != nil {
		p.refill()
		p.lowered = share
	}
	return p.flush()
}

// refill brings the limit to the present time.
func (p *Model) refill() {
	l := p.spec.Limit
	if l.Rate > 0 {
		p.tokens = min(l.Burst, p.tokens+l.Rate*p.lowered*(p.now-p.filled).Seconds())
		p.filled = p.now
		return
	}
	if n := int64(p.now / scenario.Seconds(l.Window)); n != p.span {
		p.span, p.count = n, 0
	}
}

// use takes a call out of the limit, if it has room for it; else it gives the wait until it has.
func (p *Model) use() (ok bool, wait time.Duration) {
	l := p.spec.Limit
	if l == nil {
		return true, 0
	}
	p.refill()
	if l.Rate > 0 {
		if p.tokens >= 1 {
			p.tokens--
			return true, 0
		}
		if p.spec.CountsRejected {
			p.tokens = max(-l.Burst, p.tokens-1)
		}
		return false, scenario.Seconds((1 - p.tokens) / max(l.Rate*p.lowered, 1e-3))
	}
	if p.count < p.most() {
		p.count++
		return true, 0
	}
	return false, scenario.Seconds(l.Window*float64(p.span+1)) - p.now
}

// giveBack undoes use for a call that was refused for another reason, where refused calls do not count.
func (p *Model) giveBack() {
	l := p.spec.Limit
	switch {
	case l == nil || p.spec.CountsRejected:
	case l.Rate > 0:
		p.tokens++
	default:
		p.count--
	}
}

// Arrive takes in a call whose last byte has come.
func (p *Model) Arrive(now time.Duration, at int, c *Attempt) []Action {
	p.advance(now)
	p.arrive(at, c)
	return p.flush()
}

func (p *Model) arrive(at int, c *Attempt) {
	e := p.endpoints[at]
	c.endpoint = at
	p.push()
	switch {
	case e.mode >= ModeRefusing:
		return // nothing comes back
	case e.mode == ModeOverloaded || e.draining || e.removed || c.OverConnectionLimit:
		p.refuse(c, 0)
		return
	}
	ok, wait := p.use()
	if !ok {
		p.refuse(c, wait)
		return
	}
	if c.Probe {
		p.actions = append(p.actions, Action{Completion: &Completion{Attempt: c, At: p.now, Outcome: OutcomeDelivered, LoadReport: p.report}})
		return
	}
	if until, known := p.keys[c.Key]; known && c.Key != "" && p.now < until {
		c.repeat, c.ServiceTime = true, 0
	}
	c.doomed = p.doom(e, c)
	if len(e.running) >= p.spec.Concurrency {
		if len(e.queue) >= p.spec.QueueLength {
			p.giveBack()
			p.refuse(c, p.soonest(e))
			return
		}
		p.remember(c)
		e.queue = append(e.queue, c)
		return
	}
	p.remember(c)
	p.begin(e, c)
}

func (p *Model) remember(c *Attempt) {
	if c.Key != "" && !c.repeat {
		p.keys[c.Key] = p.now + c.KeyTTL
	}
}

// doom draws what a call that is served ends as.
func (p *Model) doom(e *endpoint, c *Attempt) Outcome {
	failing := p.spec.ErrorRate
	if e.mode == ModeFailing {
		failing = max(failing, e.share)
	}
	switch {
	case c.Draw < failing:
		return OutcomeError
	case c.Draw < failing+(1-failing)*e.resets:
		return OutcomeReset
	}
	return OutcomeDelivered
}

func (p *Model) refuse(c *Attempt, wait time.Duration) {
	d := &Completion{Attempt: c, At: p.now, Outcome: OutcomeUnavailable, LoadReport: p.report}
	if wait > 0 && p.spec.RejectionInfo == "wait" {
		d.Outcome, d.RetryAfter = OutcomeRetryAfter, wait
	}
	p.actions = append(p.actions, Action{Completion: d})
}

// soonest is the time until an endpoint's next call is done.
func (p *Model) soonest(e *endpoint) time.Duration {
	next := never
	for _, c := range e.running {
		next = min(next, p.due(e, c))
	}
	if next == never {
		return 0 // nobody knows
	}
	return max(time.Millisecond, next-p.now)
}

func (p *Model) begin(e *endpoint, c *Attempt) {
	c.left = time.Duration(float64(c.ServiceTime) * p.spec.ServiceTimeFactor)
	if c.NewConnection {
		c.left += scenario.Milliseconds(p.spec.HandshakeMS)
	}
	c.since = p.now
	e.running = append(e.running, c)
}

// finish ends a call and begins the next that waits.
func (p *Model) finish(e *endpoint, c *Attempt) {
	e.running = slices.DeleteFunc(e.running, func(o *Attempt) bool { return o == c })
	// Half of the errors come after the effect: nobody can tell from outside.
	ran := !c.repeat && (c.doomed != OutcomeError || c.Draw < p.errorShare(e)/2)
	if c.doomed == OutcomeError && !ran && !c.repeat {
		delete(p.keys, c.Key)
	}
	p.actions = append(p.actions, Action{Completion: &Completion{Attempt: c, At: p.now, Outcome: c.doomed, Executed: ran, LoadReport: p.report}})
	p.fill(e)
}

func (p *Model) errorShare(e *endpoint) float64 {
	if e.mode == ModeFailing {
		return max(p.spec.ErrorRate, e.share)
	}
	return p.spec.ErrorRate
}

func (p *Model) fill(e *endpoint) {
	for len(e.queue) > 0 && len(e.running) < p.spec.Concurrency {
		c := e.queue[0]
		e.queue = e.queue[1:]
		p.begin(e, c)
	}
}

// Cancel says that nobody waits for a call's answer any more: it is cancelled, timed out, or its connection broke.
func (p *Model) Cancel(now time.Duration, c *Attempt) []Action {
	p.advance(now)
	e := p.endpoints[c.endpoint]
	is := func(o *Attempt) bool { return o == c }
	if p.spec.CancelBehavior != "runs-on" && slices.ContainsFunc(e.queue, is) {
		e.queue = slices.DeleteFunc(e.queue, is)
		p.forget(c)
	}
	if p.spec.CancelBehavior == "stops" && slices.ContainsFunc(e.running, is) {
		e.running = slices.DeleteFunc(e.running, is)
		p.forget(c)
		p.fill(e)
	}
	return p.flush()
}

// forget drops the key of a call that will not have its effect.
func (p *Model) forget(c *Attempt) {
	if !c.repeat {
		delete(p.keys, c.Key)
	}
}

// ExpireKeys forgets keys whose time is over.
func (p *Model) ExpireKeys(now time.Duration) {
	for k, until := range p.keys {
		if until <= now {
			delete(p.keys, k)
		}
	}
}
