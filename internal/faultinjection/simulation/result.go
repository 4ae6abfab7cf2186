package simulation

import (
	"fmt"
	"math"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// Result is what a day came to.
type Result struct {
	Relays             int                  `json:"relays"`
	Messages           int                  `json:"messages"`
	DeliveredWeight    float64              `json:"worth"` // delivered, as a share of what was asked for
	AttemptedMessages  int                  `json:"first"` // messages of which a call was made
	GivenUp            int                  `json:"given_up"`
	Rejected           int                  `json:"refused"`     // calls, at a limit or a full queue
	ConnectionRejected int                  `json:"door"`        // calls, since a host had all the connections it takes
	Connections        int                  `json:"connections"` // made or tried
	Polls              int                  `json:"asks"`
	FailedPolls        int                  `json:"turned"`    // asks in vain
	PeakPolls          int                  `json:"ask_peak"`  // most in one second
	Unwatched          int                  `json:"unwatched"` // relays without a watch at the end
	Overloads          int                  `json:"falls"`     // partners pushed over
	Failures           []string             `json:"faults,omitempty"`
	Violations         map[checker.Rule]int `json:"breaches,omitempty"` // of the six rules, as the auditor of real runs finds them
	Destinations       []*Destination       `json:"partners"`

	worth, offered float64
	askSeconds     map[int]int
}

// Destination is what went to one partner, by second.
type Destination struct {
	Limit   float64   `json:"limit"` // calls a second
	Seconds []*Second `json:"seconds"`
}

// Second is one second at a partner.
type Second struct {
	Attempts  int     `json:"calls"` // that came, refused ones too
	Delivered int     `json:"delivered"`
	Rejected  int     `json:"refused"`
	Capacity  float64 `json:"capacity"` // calls a second that it could serve, by its slots
}

func (p *Destination) now(at time.Duration) *Second {
	for int(at/time.Second) >= len(p.Seconds) {
		p.Seconds = append(p.Seconds, &Second{})
	}
	return p.Seconds[at/time.Second]
}

// mostFaults are told one by one.
const mostFaults = 20

func (r *Result) fault(format string, args ...any) {
	if len(r.Failures) < mostFaults {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
}

// ask counts a call for the list.
func (r *Result) ask(at time.Duration) {
	if r.askSeconds == nil {
		r.askSeconds = map[int]int{}
	}
	r.Polls++
	r.askSeconds[int(at/time.Second)]++
	r.PeakPolls = max(r.PeakPolls, r.askSeconds[int(at/time.Second)])
}

// sample notes what partners can do in the second that begins.
func (f *fleet) sample() {
	for _, s := range f.sites {
		f.carryOut(s, s.Advance(f.now))
		f.res.Destinations[s.no].now(f.now).Capacity = s.Capacity()
	}
}

// worthOf is what a message is worth when it is delivered at an age.
func worthOf(c *scenario.Class, age time.Duration) float64 {
	a := age.Seconds()
	switch {
	case a <= c.LatencyObjective:
		return c.PriorityWeight
	case a > c.Deadline:
		return 0
	}
	return c.PriorityWeight * (1 - (1-c.LateFraction)*(a-c.LatencyObjective)/(c.Deadline-c.LatencyObjective))
}

// delivered notes that a message has its end.
func (f *fleet) delivered(m *scenario.Message) {
	f.res.worth += worthOf(&f.Scenario.Classes[m.Class], f.now-m.At)
	f.ends[m.Number] = true
}

// finish draws the sum.
func (f *fleet) finish(messages []*scenario.Message) {
	for _, m := range messages {
		f.res.offered += f.Scenario.Classes[m.Class].PriorityWeight
		if n := f.ran[m.Number]; n > 1 {
			f.res.fault("message %d had its effect %d times", m.Number, n)
		}
		if !f.ends[m.Number] {
			f.res.fault("message %d has no end", m.Number)
		}
	}
	for _, r := range f.relays {
		if _, ok := f.register.watchers[r]; !ok {
			f.res.Unwatched++
		}
		for _, h := range r.order {
			f.res.fault("%s was taken on and has no end", h.id)
		}
	}
	for _, s := range f.sites {
		f.res.Overloads += s.Overloads()
	}
	f.res.DeliveredWeight = f.res.worth / math.Max(1, f.res.offered)
}

// Over is the most calls in one second above a partner's limit times a share, from one second on up to another, as a part
// of that limit.
func (p *Destination) Over(from, to int, share float64) float64 {
	most := 0.0
	for i := from; i < min(to, len(p.Seconds)); i++ {
		most = math.Max(most, (float64(p.Seconds[i].Attempts)-p.Limit*share)/(p.Limit*share))
	}
	return most
}

// Attempts is the number of calls from one second on up to another.
func (p *Destination) Calls(from, to int) (n int) {
	for i := from; i < min(to, len(p.Seconds)); i++ {
		n += p.Seconds[i].Attempts
	}
	return n
}

// UsedAgain is how many seconds after one, the first second of two in which a partner delivers a share of what its limit
// and its present capacity allow begins; -1: none does.
func (p *Destination) UsedAgain(from int, share float64) int {
	for i := from; i+1 < len(p.Seconds); i++ {
		both := p.Seconds[i].Delivered + p.Seconds[i+1].Delivered
		if could := math.Min(p.Limit, p.Seconds[i].Capacity) + math.Min(p.Limit, p.Seconds[i+1].Capacity); float64(both) >= share*could && could > 0 {
			return i - from
		}
	}
	return -1
}
