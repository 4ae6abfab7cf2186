// Package simulation plays a whole fleet of relays in virtual time: real decision modules, each with a seed of its own, among
// the models of partners and of an overbooked register, on one thread and without a socket. It shows in a second what so
// many processes can't show on one machine: what relays do to a partner or to the register together.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/destination"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// Kind goes wrong on a day.
const (
	Lower   = "lower"   // a partner takes a share of its limit
	Out     = "out"     // a partner is down
	Back    = "back"    // and returns cold
	Vanish  = "vanish"  // a partner says nothing for a while, as if its machines were gone, and returns cold
	Kill    = "kill"    // relays are killed at once, and start again 1 s later
	Replace = "replace" // a partner's endpoints are replaced by new ones
	Down    = "down"    // the register is down for a while
	Roll    = "roll"    // a tenth of the relays is restarted, the first at Share: every second by plan, the others killed
	Cut     = "cut"     // a zone of three is cut off: nothing passes between its relays or hosts and the others
	Harm    = "harm"    // answers get lost and connections are reset under requests, a share of each
	Slow    = "slow"    // a partner works so many times slower
	Errors  = "errors"  // a share of a partner's answers are errors
	Hasty   = "hasty"   // a share of the clients leaves before it has heard, and comes again elsewhere
)

// Fault is one of these.
type Fault struct {
	At          time.Duration
	Kind        string
	Destination int
	Share       float64       // of the limit, the relays, the calls or the clients
	From        float64       // with Kill and Roll: the first relay, as a share of them
	Factor      float64       // with Slow
	Zone        int           // with Cut
	Duration    time.Duration // with Vanish, Down, Cut, Harm, Slow, Errors and Hasty
}

// Plant is a fault put into the relays, so that tests see it caught.
type Plant struct {
	NoJitter bool // they ask the register at once and again after fixed delays
	OneCall  bool // an even share of less than one call a second counts as one
	Opens    bool // all take word of a return for leave to send
	Probes   bool // each probes a partner that is out, four times a second
	Forgets  bool // what was taken on dies with the process
	// Faults and Actions, where set, bend what a relay's module hears and what it wants done in a batch.
	Events  func(relay int, events []policy.Event) []policy.Event
	Actions func(relay int, now time.Duration, actions []policy.Action) []policy.Action
}

// Day is what is played.
type Day struct {
	Scenario  *scenario.Scenario
	Faults    []Fault
	Discovery Discovery
	Plant     Plant
	Skew      float64 // share of the messages that the first relay gets beside its own
	Seed      int64
}

// restartAfter is how long a killed relay is away, and stopWithin how long one that ends by plan may take.
const restartAfter, stopWithin = time.Second, 3700 * time.Millisecond

// oneWay is what a message takes between machines.
var oneWay = scenario.Range{Low: 15, High: 27}

// handshakeTrips are round trips before a new connection carries a call, beside that of the call.
const handshakeTrips = 2

// item is something due.
type item struct {
	at  time.Duration
	seq int
	do  func()
}

// agenda is a heap of what is due, earliest first, and in the order in which it was put there.
type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// host is one endpoint of a partner.
type host struct {
	id       string
	partner  *site
	endpoint int
}

// site is a partner with what is kept about it here.
type site struct {
	*destination.Model
	no      int
	limit   float64 // calls a second when it is not lowered
	hosts   []*host
	flights map[*destination.Attempt]*flight
	due     time.Duration // when it is advanced next
}

// fleet is a day under way.
type fleet struct {
	*Day
	now      time.Duration
	seq      int
	agenda   agenda
	draws    scenario.RandomStreams
	chance   *rand.Rand
	sites    []*site
	hosts    map[string]*host
	relays   []*relay
	register *register
	ends     map[int]bool // messages that are over, by number
	asked    map[string]*scenario.Message
	ran      map[int]int // effects of messages that may not be doubled, by number
	log      []checker.Event
	calls    int     // that have come to a host
	severed  int     // zone that is cut off, from 1; 0: none is
	places   []*host // of connections that their relays have given up behind the cut
	harm     float64 // share of calls that is harmed
	hasty    float64 // share of clients that leave at once
	res      *Result
}

// Play plays a day to its end.
func Play(day *Day) (*Result, error) { return newFleet(day).play() }

// newFleet puts a day's fleet together.
func newFleet(day *Day) *fleet {
	f := &fleet{
		Day: day, draws: scenario.NewRandomStreams(day.Seed), hosts: map[string]*host{}, ends: map[int]bool{},
		asked: map[string]*scenario.Message{}, ran: map[int]int{},
		res: &Result{Relays: day.Scenario.Relays},
	}
	f.chance = f.draws.Stream("network")
	f.register = &register{f: f, Discovery: day.Discovery, watchers: map[*relay]int{}}
	for i := range day.Scenario.Destinations {
		p := &day.Scenario.Destinations[i]
		s := &site{
			Model: destination.New(day.Scenario, i, f.draws), no: i, limit: p.Limit.PerSecond(),
			flights: map[*destination.Attempt]*flight{}, due: forever,
		}
		f.sites = append(f.sites, s)
		for e := range p.Endpoints {
			f.register.show(f.addHost(s, e), serving)
		}
		f.res.Destinations = append(f.res.Destinations, &Destination{Limit: s.limit})
	}
	for i := range day.Scenario.Relays {
		f.relays = append(f.relays, newRelay(f, i))
	}
	return f
}

// play plays the day.
func (f *fleet) play() (*Result, error) {
	day := f.Day
	for _, r := range f.relays {
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	messages := day.Scenario.Messages(f.draws)
	for _, m := range messages {
		f.at(m.At, func() { f.handIn(m, 0) })
	}
	f.res.Messages = len(messages)
	for _, e := range day.Faults {
		f.at(e.At, func() { f.happen(e) })
	}
	length := scenario.Seconds(day.Scenario.Length)
	for at := time.Duration(0); at < length; at += time.Second {
		f.at(at, f.sample)
	}
	until := length
	for _, c := range day.Scenario.Classes {
		until = max(until, length+scenario.Seconds(c.Deadline)+5*time.Second)
	}
	for len(f.agenda) > 0 && f.agenda[0].at <= until {
		next := heap.Pop(&f.agenda).(item)
		f.now = next.at
		next.do()
	}
	f.finish(messages)
	f.judge()
	return f.res, nil
}

// forever is when what is not due is due.
const forever = time.Duration(1<<63 - 1)

func (f *fleet) at(at time.Duration, do func()) {
	f.seq++
	heap.Push(&f.agenda, item{max(at, f.now), f.seq, do})
}

func (f *fleet) after(d time.Duration, do func()) { f.at(f.now+d, do) }

// trip is what a message takes one way.
func (f *fleet) trip() time.Duration { return scenario.Milliseconds(oneWay.Draw(f.chance)) }

func (f *fleet) addHost(s *site, endpoint int) *host {
	h := &host{fmt.Sprintf("p%d-%d", s.no, endpoint), s, endpoint}
	s.hosts = append(s.hosts, h)
	f.hosts[h.id] = h
	return h
}

// happen has an event happen.
func (f *fleet) happen(e Fault) {
	s := f.sites[e.Destination]
	switch e.Kind {
	case Lower:
		f.carryOut(s, s.LowerLimit(f.now, e.Share))
	case Out:
		f.write(checker.Event{Kind: checker.OutageBegan, Destination: s.no, State: "refuse"})
		f.carryOut(s, s.Fail(f.now, -1, destination.ModeRefusing, 0))
		f.reset(s)
	case Back:
		f.write(checker.Event{Kind: checker.OutageEnded, Destination: s.no, OK: true})
		f.carryOut(s, s.Recover(f.now, -1, true))
		for _, r := range f.relays {
			if r.alive && f.Plant.Opens {
				r.open()
			}
		}
	case Vanish:
		f.write(checker.Event{Kind: checker.OutageBegan, Destination: s.no, State: "gone"})
		f.carryOut(s, s.Fail(f.now, -1, destination.ModeUnreachable, 0))
		f.after(e.Duration, func() { f.happen(Fault{Kind: Back, Destination: e.Destination}) })
	case Kill:
		for _, r := range f.part(e.From, e.Share) {
			r.kill()
		}
	case Roll:
		for i, r := range f.part(e.From, e.Share) {
			if i%2 == 0 {
				r.stop()
			} else {
				r.kill()
			}
		}
	case Cut:
		f.severed = e.Zone + 1
		f.after(e.Duration, f.join)
	case Harm:
		f.harm = e.Share
		f.after(e.Duration, func() { f.harm = 0 })
	case Hasty:
		f.hasty = e.Share
		f.after(e.Duration, func() { f.hasty = 0 })
	case Slow:
		f.carryOut(s, s.SetSlowdown(f.now, -1, e.Factor))
		f.after(e.Duration, func() { f.carryOut(s, s.SetSlowdown(f.now, -1, 1)) })
	case Errors:
		f.carryOut(s, s.Fail(f.now, -1, destination.ModeFailing, e.Share))
		f.after(e.Duration, func() { f.carryOut(s, s.Recover(f.now, -1, false)) })
	case Replace:
		old := s.hosts
		s.hosts = nil
		for i, h := range old {
			n, acts := s.AddEndpoint(f.now, f.draws.Stream("pause", s.no, len(old)+i))
			f.carryOut(s, acts)
			f.register.show(f.addHost(s, n), serving)
			f.after(time.Second, func() {
				f.carryOut(s, s.DrainEndpoint(f.now, h.endpoint))
				f.register.show(h, draining)
			})
			f.after(4*time.Second, func() {
				f.carryOut(s, s.RemoveEndpoint(f.now, h.endpoint))
				f.reset(s)
				f.register.show(h, deleted)
			})
		}
	case Down:
		f.register.fail(e.Duration)
	}
}

// handIn has a client hand a message in, for the n-th time, to a relay that runs.
func (f *fleet) handIn(m *scenario.Message, n int) {
	var there []*relay
	for _, r := range f.relays {
		if r.alive && !r.stopping {
			there = append(there, r)
		}
	}
	left := scenario.Seconds(f.Scenario.Classes[m.Class].Deadline) - (f.now - m.At)
	switch {
	case left <= 0:
		f.ends[m.Number] = true // its client has given up: nobody had taken it on
		return
	case len(there) == 0:
		f.after(m.ResubmitDelay, func() { f.handIn(m, n) })
		return
	}
	deal := m.RelayDraw
	if n > 0 {
		deal = f.draws.Stream("retry", m.Number, n).Float64()
	}
	to := there[int(deal*float64(len(there)))]
	if f.Skew > 0 && f.draws.Stream("skew", m.Number).Float64() < f.Skew {
		to = there[0]
	}
	to.take(m, n, left)
}

// carryOut carries out what a partner does.
func (f *fleet) carryOut(s *site, acts []destination.Action) {
	fell := false
	for _, a := range acts {
		switch {
		case a.ModeChange != nil && !fell: // one for each endpoint
			fell = true
			f.fell(s, a.ModeChange)
		case a.Completion != nil:
			if a.Completion.Executed {
				f.write(checker.Event{Kind: checker.Executed, ID: a.Completion.Attempt.ID, Destination: s.no})
			}
			// Also of a call whose relay waits no more: its effect counts.
			if m := f.asked[a.Completion.Attempt.ID]; m != nil && a.Completion.Executed && f.Scenario.Classes[m.Class].Idempotency != "safe" {
				f.ran[m.Number]++
			}
			if fl := s.flights[a.Completion.Attempt]; fl != nil {
				delete(s.flights, a.Completion.Attempt)
				f.answer(s, fl, a.Completion)
			}
		}
	}
	if next := s.NextDue(); next < s.due {
		s.due = next
		f.at(next, func() {
			s.due = forever
			f.carryOut(s, s.Advance(f.now))
		})
	}
}

// answer sends a call's end back to its relay.
func (f *fleet) answer(s *site, fl *flight, done *destination.Completion) {
	p := f.res.Destinations[s.no]
	how := outcomes[done.Outcome]
	if fl.mute || f.cut(fl.r, fl.host) {
		fl.closed(checker.Event{Outcome: checker.Interrupted, Executed: done.Executed})
		return
	}
	end := policy.AttemptEnded{Outcome: how.heard, Final: how.heard == policy.Succeeded, RetryAfter: done.RetryAfter}
	switch how.heard {
	case policy.Succeeded:
		p.now(f.now).Delivered++
	case policy.Rejected:
		p.now(f.now).Rejected++
		f.res.Rejected++
	}
	if done.LoadReport != nil {
		end.LoadReport = &policy.LoadReport{Remaining: done.LoadReport.Left, RateLimit: done.LoadReport.Limit}
	}
	written := f.now
	f.after(f.trip(), func() {
		fl.closedAt(written, checker.Event{Outcome: how.named, Duration: done.RetryAfter, Executed: done.Executed})
		fl.end(end, end.Outcome != policy.ConnectionReset)
	})
}

// reset breaks the connections of all calls that are at endpoints which answer no more.
func (f *fleet) reset(s *site) {
	for call, fl := range s.flights {
		if s.Mode(fl.host.endpoint) >= destination.ModeRefusing {
			delete(s.flights, call)
			fl.broken = true
			fl.closed(checker.Event{Outcome: checker.Interrupted})
		}
	}
	// In an order that does not hang on the map's.
	for _, r := range f.relays {
		for _, h := range r.order {
			if fl := h.out; fl != nil && fl.broken && !fl.told {
				fl.told = true
				f.after(f.trip(), func() { fl.end(policy.AttemptEnded{Outcome: policy.ConnectionReset}, false) })
			}
		}
	}
}
