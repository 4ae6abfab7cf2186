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
	Relays      int                  `json:"relays"`
	Messages    int                  `json:"messages"`
	Worth       float64              `json:"worth"` // delivered, as a share of what was asked for
	First       int                  `json:"first"` // messages of which a call was made
	GivenUp     int                  `json:"given_up"`
	Refused     int                  `json:"refused"`     // calls, at a limit or a full queue
	Door        int                  `json:"door"`        // calls, since a host had all the connections it takes
	Connections int                  `json:"connections"` // made or tried
	Asks        int                  `json:"asks"`
	Turned      int                  `json:"turned"`    // asks in vain
	AskPeak     int                  `json:"ask_peak"`  // most in one second
	Unwatched   int                  `json:"unwatched"` // relays without a watch at the end
	Falls       int                  `json:"falls"`     // partners pushed over
	Faults      []string             `json:"faults,omitempty"`
	Breaches    map[checker.Rule]int `json:"breaches,omitempty"` // of the six rules, as the auditor of real runs finds them
	Partners    []*Partner           `json:"partners"`

	worth, offered float64
	askSeconds     map[int]int
}

// Partner is what went to one partner, by second.
type Partner struct {
	Limit   float64   `json:"limit"` // calls a second
	Seconds []*Second `json:"seconds"`
}

// Second is one second at a partner.
type Second struct {
	Calls     int     `json:"calls"` // that came, refused ones too
	Delivered int     `json:"delivered"`
	Refused   int     `json:"refused"`
	Capacity  float64 `json:"capacity"` // calls a second that it could serve, by its slots
}

func (p *Partner) now(at time.Duration) *Second {
	for int(at/time.Second) >= len(p.Seconds) {
		p.Seconds = append(p.Seconds, &Second{})
	}
	return p.Seconds[at/time.Second]
}

// mostFaults are told one by one.
const mostFaults = 20

func (r *Result) fault(format string, args ...any) {
	if len(r.Faults) < mostFaults {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// ask counts a call for the list.
func (r *Result) ask(at time.Duration) {
	if r.askSeconds == nil {
		r.askSeconds = map[int]int{}
	}
	r.Asks++
	r.askSeconds[int(at/time.Second)]++
	r.AskPeak = max(r.AskPeak, r.askSeconds[int(at/time.Second)])
}

// sample notes what partners can do in the second that begins.
func (f *fleet) sample() {
	for _, s := range f.sites {
		f.carryOut(s, s.Advance(f.now))
		f.res.Partners[s.no].now(f.now).Capacity = s.Capacity()
	}
}

// worthOf is what a message is worth when it is delivered at an age.
func worthOf(c *scenario.Class, age time.Duration) float64 {
	a := age.Seconds()
	switch {
	case a <= c.Aim:
		return c.Worth
	case a > c.Deadline:
		return 0
	}
	return c.Worth * (1 - (1-c.LateShare)*(a-c.Aim)/(c.Deadline-c.Aim))
}

// delivered notes that a message has its end.
func (f *fleet) delivered(m *scenario.Message) {
	f.res.worth += worthOf(&f.Script.Classes[m.Class], f.now-m.At)
	f.ends[m.No] = true
}

// finish draws the sum.
func (f *fleet) finish(messages []*scenario.Message) {
	for _, m := range messages {
		f.res.offered += f.Script.Classes[m.Class].Worth
		if n := f.ran[m.No]; n > 1 {
			f.res.fault("message %d had its effect %d times", m.No, n)
		}
		if !f.ends[m.No] {
			f.res.fault("message %d has no end", m.No)
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
		f.res.Falls += s.Falls()
	}
	f.res.Worth = f.res.worth / math.Max(1, f.res.offered)
}

// Over is the most calls in one second above a partner's limit times a share, from one second on up to another, as a part
// of that limit.
func (p *Partner) Over(from, to int, share float64) float64 {
	most := 0.0
	for i := from; i < min(to, len(p.Seconds)); i++ {
		most = math.Max(most, (float64(p.Seconds[i].Calls)-p.Limit*share)/(p.Limit*share))
	}
	return most
}

// Calls is the number of calls from one second on up to another.
func (p *Partner) Calls(from, to int) (n int) {
	for i := from; i < min(to, len(p.Seconds)); i++ {
		n += p.Seconds[i].Calls
	}
	return n
}

// UsedAgain is how many seconds after one, the first second of two in which a partner delivers a share of what its limit
// and its present capacity allow begins; -1: none does.
func (p *Partner) UsedAgain(from int, share float64) int {
	for i := from; i+1 < len(p.Seconds); i++ {
		both := p.Seconds[i].Delivered + p.Seconds[i+1].Delivered
		if could := math.Min(p.Limit, p.Seconds[i].Capacity) + math.Min(p.Limit, p.Seconds[i+1].Capacity); float64(both) >= share*could && could > 0 {
			return i - from
		}
	}
	return -1
}
