package checker

import (
	"time"

	"frostlink/internal/settings"
)

// windowLength is the length of the windows of which the worst is reported, and windowStep how far apart they begin.
const windowLength, windowStep = 10 * time.Second, time.Second

// Request is a message as the scenario's workload has it.
type Request struct {
	At          time.Duration
	Destination int
	Class       int
	Tenant      int // -1: none
	OverQuota   bool
}

// DeliveredWeight is the delivered share of the priority weight that was requested, from 0 to 1.
type DeliveredWeight struct {
	Total            float64            `json:"whole"`
	WorstWindow      float64            `json:"worst_10_s"`
	WorstWindowStart time.Duration      `json:"worst_from"`
	ByClass          map[string]float64 `json:"classes"`
	WorstClass       float64            `json:"worst_class"`
	ByTenant         map[string]float64 `json:"tenants_within_share,omitempty"`
	WorstTenant      float64            `json:"worst_tenant"`
}

// MeasureWeight adds the outcomes of all messages of the workload to a report, and how much of their weight was delivered.
func (r *Report) MeasureWeight(parameters Parameters, workload []Request, log []Event) {
	served := readServed(log)
	totals := newWeightTotals(parameters, workload)
	r.TimeToDelivery = map[string]Quantiles{}
	r.Counts.Requested = len(workload)
	for message, drawn := range workload {
		r.countOutcome(served, message, drawn, &parameters.Settings.Classes[drawn.Class])
		totals.add(served, message, drawn)
	}
	r.DeliveredWeight = totals.deliveredWeight()
	for i, times := range totals.times {
		r.TimeToDelivery[parameters.Settings.Classes[i].Name] = QuantilesOf(times)
	}
}

// weightTotals adds up the weight that was requested and delivered.
type weightTotals struct {
	settings         *settings.Settings
	total            fraction
	classes, tenants []fraction
	windows          []fraction
	times            [][]float64 // to delivery in seconds, by class
}

// newWeightTotals returns totals of 0, with windows for a workload.
func newWeightTotals(parameters Parameters, workload []Request) *weightTotals {
	var last time.Duration
	for _, drawn := range workload {
		last = max(last, drawn.At)
	}
	return &weightTotals{
		settings: &parameters.Settings,
		classes:  make([]fraction, len(parameters.Settings.Classes)),
		tenants:  make([]fraction, len(parameters.Settings.Tenants)),
		windows:  make([]fraction, int(max(0, last+windowStep-windowLength)/windowStep)+1),
		times:    make([][]float64, len(parameters.Settings.Classes)),
	}
}

// add adds a message.
func (w *weightTotals) add(s *served, message int, drawn Request) {
	class := &w.settings.Classes[drawn.Class]
	requested, delivered := class.PriorityWeight, 0.0
	if drawn.OverQuota {
		requested *= w.settings.OverQuotaFraction
	}
	if at, ok := s.deliveredAt[message]; ok {
		delivered = requested * RemainingWeight(class, at-drawn.At)
		w.times[drawn.Class] = append(w.times[drawn.Class], (at - drawn.At).Seconds())
	}
	w.total.add(delivered, requested)
	w.classes[drawn.Class].add(delivered, requested)
	if drawn.Tenant >= 0 && !drawn.OverQuota {
		w.tenants[drawn.Tenant].add(delivered, requested)
	}
	for i := range w.windows {
		if from := time.Duration(i) * windowStep; drawn.At >= from && drawn.At < from+windowLength {
			w.windows[i].add(delivered, requested)
		}
	}
}

// deliveredWeight returns the result.
func (w *weightTotals) deliveredWeight() DeliveredWeight {
	result := DeliveredWeight{Total: w.total.share(), ByClass: map[string]float64{}, WorstClass: 1, WorstTenant: 1, WorstWindow: 1}
	for i, window := range w.windows {
		if share := window.share(); share < result.WorstWindow {
			result.WorstWindow, result.WorstWindowStart = share, time.Duration(i)*windowStep
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

// fraction is the weight that was delivered of what was requested.
type fraction struct{ delivered, requested float64 }

// add adds a message.
func (f *fraction) add(delivered, requested float64) {
	f.delivered, f.requested = f.delivered+delivered, f.requested+requested
}

// share is the delivered share; all of nothing.
func (f fraction) share() float64 {
	if f.requested == 0 {
		return 1
	}
	return f.delivered / f.requested
}

// RemainingWeight is the share of its weight that a message still has at an age: all of it up to the latency objective, then
// linearly less down to the late fraction at the deadline, and nothing after.
func RemainingWeight(class *settings.Class, age time.Duration) float64 {
	objective, deadline := settings.Seconds(class.LatencyObjectiveS), settings.Seconds(class.DeadlineS)
	switch {
	case age <= objective:
		return 1
	case age > deadline:
		return 0
	}
	return 1 - (1-class.LateFraction)*float64(age-objective)/float64(deadline-objective)
}
