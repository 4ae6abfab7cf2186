package checker

import (
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
				word[m] = statusOf(e.Status)
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
	var whole fraction
	classes, tenants := make([]fraction, len(f.Settings.Categories)), make([]fraction, len(f.Settings.Tenants))
	var last time.Duration
	for _, a := range asked {
		last = max(last, a.At)
	}
	stretches := make([]fraction, int(max(0, last+worstStep-worstSpan)/worstStep)+1)
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

// statusOf is what a client was told by an answer that took nothing on.
func statusOf(status int) string {
	if status == 429 || status == 503 {
		return Deferred
	}
	return Undeliverable
}

// fraction is worth got of worth asked for.
type fraction struct{ got, asked float64 }

func (p *fraction) add(got, asked float64) { p.got, p.asked = p.got+got, p.asked+asked }

func (p fraction) share() float64 {
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
