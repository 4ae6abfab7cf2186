package checker

import (
	"net/http"
	"time"

	"frostlink/internal/settings"
)

// worstSpan is the width of the worst stretch, and worstStep by how much it is moved.
const worstSpan, worstStep = 10 * time.Second, time.Second

// Request is a message as the script drew it.
type Request struct {
	At          time.Duration
	Destination int
	Class       int
	Tenant      int // -1: none
	OverQuota   bool
}

// DeliveredWeight is worth delivered over worth asked for, from 0 to 1.
type DeliveredWeight struct {
	Total            float64            `json:"whole"`
	WorstWindow      float64            `json:"worst_10_s"`
	WorstWindowStart time.Duration      `json:"worst_from"`
	ByClass          map[string]float64 `json:"classes"`
	WorstClass       float64            `json:"worst_class"`
	ByTenant         map[string]float64 `json:"tenants_within_share,omitempty"`
	WorstTenant      float64            `json:"worst_tenant"`
}

// MeasureWeight adds what was asked for, and how much of its worth was delivered.
func (r *Report) MeasureWeight(f Parameters, asked []Request, log []Event) {
	served := readServed(log)
	w := newWeightTotals(f, asked)
	r.TimeToDelivery = map[string]Quantiles{}
	r.Counts.Requested = len(asked)
	for n, want := range asked {
		r.countWant(served, n, want, &f.Settings.Classes[want.Class])
		w.add(served, n, want)
	}
	r.DeliveredWeight = w.deliveredWeight()
	for i, times := range w.times {
		r.TimeToDelivery[f.Settings.Classes[i].Name] = QuantilesOf(times)
	}
}

// served is what came of each message, by its number: under whichever id a client submitted it.
type served struct {
	deliveredAt map[int]time.Duration // once the client knew that it was accepted
	lastStatus  map[int]string        // Deferred, Undeliverable or none
	effects     map[int]int

	accepted map[string]int  // ids that were accepted, and their message
	message  map[string]int  // of each id
	early    map[string]bool // ids that were delivered before the client had the answer
}

// readServed reads what came of each message.
func readServed(log []Event) *served {
	s := &served{
		deliveredAt: map[int]time.Duration{}, lastStatus: map[int]string{}, effects: map[int]int{},
		accepted: map[string]int{}, message: map[string]int{}, early: map[string]bool{},
	}
	for _, e := range byTime(log) {
		s.read(e)
	}
	return s
}

func (s *served) read(e Event) {
	switch e.Kind {
	case Submitted:
		s.message[e.ID] = e.Message
	case Answered:
		s.answered(e)
	case AttemptEnded:
		if e.Outcome != OK {
			return
		}
		if m, ok := s.accepted[e.ID]; ok {
			s.delivered(m, e.At)
		} else {
			s.early[e.ID] = true
		}
	case Notified:
		if m, ok := s.accepted[e.ID]; ok {
			s.lastStatus[m] = e.State
		}
	case Executed:
		if m, ok := s.message[e.ID]; ok {
			s.effects[m]++
		}
	default:
	}
}

// answered reads a relay's answer to a client.
func (s *served) answered(e Event) {
	m, ok := s.message[e.ID]
	if !ok {
		return
	}
	if !isAcceptance(e.Status) {
		s.lastStatus[m] = statusOf(e.Status)
		return
	}
	s.accepted[e.ID] = m
	s.lastStatus[m] = ""
	if s.early[e.ID] {
		s.delivered(m, e.At)
	}
}

// delivered notes the first delivery of a message.
func (s *served) delivered(m int, at time.Duration) {
	if _, known := s.deliveredAt[m]; !known {
		s.deliveredAt[m] = at
	}
}

// countWant counts what came of a message, in all and by destination.
func (r *Report) countWant(s *served, n int, want Request, class *settings.Class) {
	for _, c := range []*Counts{&r.Counts, &r.Destinations[want.Destination]} {
		if c != &r.Counts {
			c.Requested++
		}
		if effects := s.effects[n]; effects > 1 {
			c.WastedExecutions += effects - 1
		}
		at, delivered := s.deliveredAt[n]
		switch {
		case delivered:
			c.Delivered++
			if RemainingWeight(class, at-want.At) == 1 {
				c.InTime++
			}
		case s.lastStatus[n] == Deferred:
			c.Rejected++
		case s.lastStatus[n] == Undeliverable:
			c.Failed++
		default:
			c.Unserved++
		}
	}
}

// weightTotals adds up worth delivered and worth asked for.
type weightTotals struct {
	settings         *settings.Settings
	total            fraction
	classes, tenants []fraction
	stretches        []fraction  // of worstSpan, worstStep apart
	times            [][]float64 // to delivery in seconds, by class
}

func newWeightTotals(f Parameters, asked []Request) *weightTotals {
	var last time.Duration
	for _, want := range asked {
		last = max(last, want.At)
	}
	return &weightTotals{
		settings:  &f.Settings,
		classes:   make([]fraction, len(f.Settings.Classes)),
		tenants:   make([]fraction, len(f.Settings.Tenants)),
		stretches: make([]fraction, int(max(0, last+worstStep-worstSpan)/worstStep)+1),
		times:     make([][]float64, len(f.Settings.Classes)),
	}
}

// add adds a message.
func (w *weightTotals) add(s *served, n int, want Request) {
	class := &w.settings.Classes[want.Class]
	full, got := class.PriorityWeight, 0.0
	if want.OverQuota {
		full *= w.settings.OverQuotaFraction
	}
	if at, delivered := s.deliveredAt[n]; delivered {
		got = full * RemainingWeight(class, at-want.At)
		w.times[want.Class] = append(w.times[want.Class], (at - want.At).Seconds())
	}
	w.total.add(got, full)
	w.classes[want.Class].add(got, full)
	if want.Tenant >= 0 && !want.OverQuota {
		w.tenants[want.Tenant].add(got, full)
	}
	for i := range w.stretches {
		if from := time.Duration(i) * worstStep; want.At >= from && want.At < from+worstSpan {
			w.stretches[i].add(got, full)
		}
	}
}

// deliveredWeight returns the result.
func (w *weightTotals) deliveredWeight() DeliveredWeight {
	result := DeliveredWeight{Total: w.total.share(), ByClass: map[string]float64{}, WorstClass: 1, WorstTenant: 1, WorstWindow: 1}
	for i, stretch := range w.stretches {
		if share := stretch.share(); share < result.WorstWindow {
			result.WorstWindow, result.WorstWindowStart = share, time.Duration(i)*worstStep
		}
	}
	for i, class := range w.classes {
		result.ByClass[w.settings.Classes[i].Name] = class.share()
		result.WorstClass = min(result.WorstClass, class.share())
	}
	if len(w.tenants) > 0 {
		result.ByTenant = map[string]float64{}
	}
	for i, tenant := range w.tenants {
		result.ByTenant[w.settings.Tenants[i].Name] = tenant.share()
		result.WorstTenant = min(result.WorstTenant, tenant.share())
	}
	return result
}

// isAcceptance reports whether an answer's status accepts a request.
func isAcceptance(status int) bool { return status == http.StatusOK || status == http.StatusAccepted }

// statusOf is the status of a notice that says the same as an answer that accepts nothing.
func statusOf(status int) string {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return Deferred
	}
	return Undeliverable
}

// fraction is worth delivered of worth asked for.
type fraction struct{ got, asked float64 }

func (p *fraction) add(got, asked float64) { p.got, p.asked = p.got+got, p.asked+asked }

func (p fraction) share() float64 {
	if p.asked == 0 {
		return 1
	}
	return p.got / p.asked
}

// RemainingWeight is the share of its worth that a message has at an age: all of it up to the aim, then evenly less down to
// the late share at the deadline, nothing after.
func RemainingWeight(k *settings.Class, age time.Duration) float64 {
	aim, deadline := settings.Seconds(k.LatencyObjectiveS), settings.Seconds(k.DeadlineS)
	switch {
	case age <= aim:
		return 1
	case age > deadline:
		return 0
	}
	return 1 - (1-k.LateFraction)*float64(age-aim)/float64(deadline-aim)
}
