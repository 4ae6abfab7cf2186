package checker

import (
	"slices"
	"time"

	"frostlink/internal/settings"
)

// worstSpan is the width of the worst stretch, and worstStep by how much it is moved.
const worstSpan, worstStep = 10 * time.Second, time.Second

// Want is a message as the script drew it.
type Want struct {
	At        time.Duration
	Dest      int
	Class     int
	Tenant    int // -1: none
	OverShare bool
}

// Worth is worth delivered over worth asked for, from 0 to 1.
type Worth struct {
	Whole       float64            `json:"whole"`
	Worst10s    float64            `json:"worst_10_s"`
	WorstFrom   time.Duration      `json:"worst_from"`
	Classes     map[string]float64 `json:"classes"`
	WorstClass  float64            `json:"worst_class"`
	Tenants     map[string]float64 `json:"tenants_within_share,omitempty"`
	WorstTenant float64            `json:"worst_tenant"`
}

// Counts are what came of all messages. A message is counted once, however often its client came with it.
type Counts struct {
	Asked     int `json:"asked"`
	Delivered int `json:"delivered"`
	InTime    int `json:"in_time"` // within its class's aim
	Refused   int `json:"refused"` // not delivered; the last word was to come again
	Failed    int `json:"failed"`  // not delivered; the last word was that it failed
	Unserved  int `json:"unserved"`
	HandIns   int `json:"hand_ins"`
	Taken     int `json:"taken_on"`
	Unheard   int `json:"unheard"` // hand-ins without an answer
	Deferred  int `json:"notices_deferred"`
	GivenUp   int `json:"notices_undeliverable"`

	Calls       int            `json:"calls"`
	Outcomes    map[string]int `json:"calls_by_outcome"`
	Probes      int            `json:"probes"`
	Connections int            `json:"connections"`
	Effects     int            `json:"effects"`
	Wasted      int            `json:"effects_for_nothing"` // of messages that had it already, or had ended
}

// Report is what came of a run.
type Report struct {
	Breaches []Breach            `json:"breaches"`
	Worth    Worth               `json:"worth"`
	Counts   Counts              `json:"counts"`
	Relays   []Counts            `json:"relays"`
	Partners []Counts            `json:"partners"`
	Waits    map[string]Quantile `json:"time_to_delivery_s"` // by class
}

// Quantile is how long things took, in seconds.
type Quantile struct {
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Most   float64 `json:"most"`
}

// count fills in the figures that no rule needs.
func (j *judge) count(r *Report, log []Event) {
	r.Relays = make([]Counts, j.Settings.NInstances)
	r.Partners = make([]Counts, len(j.Destinations))
	all := []*Counts{&r.Counts}
	for i := range r.Relays {
		all = append(all, &r.Relays[i])
	}
	for i := range r.Partners {
		all = append(all, &r.Partners[i])
	}
	for _, c := range all {
		c.Outcomes = map[string]int{}
	}
	add := func(e Event, relay bool, do func(*Counts)) {
		do(&r.Counts)
		if relay && e.Relay < len(r.Relays) {
			do(&r.Relays[e.Relay])
		}
		if e.Dest < len(r.Partners) {
			do(&r.Partners[e.Dest])
		}
	}
	for _, e := range log {
		switch c := j.charges[e.ID]; e.Kind {
		case HandedIn:
			add(e, true, func(n *Counts) { n.HandIns++ })
		case Answered:
			if c != nil && c.taken && c.answered == e.At {
				e.Dest = c.dest
				add(e, true, func(n *Counts) { n.Taken++ })
			}
		case Unheard:
			if c != nil {
				e.Dest = c.dest
				add(e, true, func(n *Counts) { n.Unheard++ })
			}
		case Noticed:
			if c != nil && c.notices[0].At == e.At {
				e.Dest = c.dest
				if e.State == Deferred {
					add(e, true, func(n *Counts) { n.Deferred++ })
				} else {
					add(e, true, func(n *Counts) { n.GivenUp++ })
				}
			}
		case Called:
			add(e, true, func(n *Counts) { n.Calls++ })
		case Probed:
			add(e, true, func(n *Counts) { n.Probes++ })
		case Connected:
			add(e, true, func(n *Counts) { n.Connections++ })
		case Ended:
			if a := j.calls[e.Call]; a != nil && !a.probe {
				e.Relay, e.Dest = a.relay, a.dest
				add(e, true, func(n *Counts) { n.Outcomes[e.Outcome]++ })
			}
		case Effect:
			add(e, false, func(n *Counts) { n.Effects++ })
		}
	}
}

// Weigh adds what was asked for, and how much of its worth was delivered.
func (r *Report) Weigh(f Figures, asked []Want, log []Event) {
	first, word := map[int]time.Duration{}, map[int]string{}
	heard := map[string]int{} // ids taken on, and what message each is
	ids := map[string]int{}
	effects := map[int]int{}
	early := map[string]bool{} // delivered before the client heard that they were taken on
	deliver := func(m int, at time.Duration) {
		if _, had := first[m]; !had {
			first[m] = at
		}
	}
	for _, e := range byTime(log) {
		switch e.Kind {
		case HandedIn:
			ids[e.ID] = e.Msg
		case Answered:
			if m, ok := ids[e.ID]; ok && (e.Status == 202 || e.Status == 200) {
				heard[e.ID] = m
				word[m] = ""
				if early[e.ID] {
					deliver(m, e.At)
				}
			} else if ok {
				word[m] = wordOf(e.Status)
			}
		case Ended:
			if m, ok := heard[e.ID]; ok && e.Outcome == OK {
				deliver(m, e.At)
			} else if e.Outcome == OK {
				early[e.ID] = true
			}
		case Noticed:
			if m, ok := heard[e.ID]; ok {
				word[m] = e.State
			}
		case Effect:
			if m, ok := ids[e.ID]; ok {
				effects[m]++
			}
		}
	}
	r.Waits = map[string]Quantile{}
	times := make([][]float64, len(f.Settings.Categories))
	var whole part
	classes, tenants := make([]part, len(f.Settings.Categories)), make([]part, len(f.Settings.Tenants))
	var last time.Duration
	for _, a := range asked {
		last = max(last, a.At)
	}
	stretches := make([]part, int(max(0, last+worstStep-worstSpan)/worstStep)+1)
	r.Counts.Asked = len(asked)
	for n, a := range asked {
		k := &f.Settings.Categories[a.Class]
		full, got := k.Points, 0.0
		if a.OverShare {
			full *= f.Settings.OverShare
		}
		p := &r.Partners[a.Dest]
		p.Asked++
		if at, ok := first[n]; ok {
			left := WorthLeft(k, at-a.At)
			got = full * left
			times[a.Class] = append(times[a.Class], (at - a.At).Seconds())
			r.Counts.Delivered++
			p.Delivered++
			if left == 1 {
				r.Counts.InTime++
				p.InTime++
			}
		} else {
			switch word[n] {
			case Deferred:
				r.Counts.Refused++
				p.Refused++
			case Undeliverable:
				r.Counts.Failed++
				p.Failed++
			default:
				r.Counts.Unserved++
				p.Unserved++
			}
		}
		if effects[n] > 1 {
			r.Counts.Wasted += effects[n] - 1
			p.Wasted += effects[n] - 1
		}
		whole.add(got, full)
		classes[a.Class].add(got, full)
		if a.Tenant >= 0 && !a.OverShare {
			tenants[a.Tenant].add(got, full)
		}
		for i := range stretches {
			if from := time.Duration(i) * worstStep; a.At >= from && a.At < from+worstSpan {
				stretches[i].add(got, full)
			}
		}
	}
	r.Worth = Worth{Whole: whole.share(), Classes: map[string]float64{}, WorstClass: 1, WorstTenant: 1, Worst10s: 1}
	for i, s := range stretches {
		if v := s.share(); v < r.Worth.Worst10s {
			r.Worth.Worst10s, r.Worth.WorstFrom = v, time.Duration(i)*worstStep
		}
	}
	for i, c := range classes {
		name := f.Settings.Categories[i].Name
		r.Worth.Classes[name] = c.share()
		r.Worth.WorstClass = min(r.Worth.WorstClass, c.share())
		r.Waits[name] = Quantiles(times[i])
	}
	if len(tenants) > 0 {
		r.Worth.Tenants = map[string]float64{}
	}
	for i, t := range tenants {
		r.Worth.Tenants[f.Settings.Tenants[i].Name] = t.share()
		r.Worth.WorstTenant = min(r.Worth.WorstTenant, t.share())
	}
}

// wordOf is what a client was told by an answer that took nothing on.
func wordOf(status int) string {
	if status == 429 || status == 503 {
		return Deferred
	}
	return Undeliverable
}

// part is worth got of worth asked for.
type part struct{ got, asked float64 }

func (p *part) add(got, asked float64) { p.got, p.asked = p.got+got, p.asked+asked }

func (p part) share() float64 {
	if p.asked == 0 {
		return 1
	}
	return p.got / p.asked
}

// WorthLeft is the share of its worth that a message has at an age: all of it up to the aim, then evenly less down to
// the late share at the deadline, nothing after.
func WorthLeft(k *settings.Category, age time.Duration) float64 {
	aim, deadline := settings.Seconds(k.AimS), settings.Seconds(k.DeadlineS)
	switch {
	case age <= aim:
		return 1
	case age > deadline:
		return 0
	}
	return 1 - (1-k.LateShare)*float64(age-aim)/float64(deadline-aim)
}

// Quantiles gives the quantiles of times in seconds, and puts these in order.
func Quantiles(v []float64) Quantile {
	if len(v) == 0 {
		return Quantile{}
	}
	slices.Sort(v)
	at := func(q float64) float64 { return v[min(len(v)-1, int(q*float64(len(v))))] }
	return Quantile{at(0.5), at(0.99), v[len(v)-1]}
}
