package checker

import (
	"time"

	"frostlink/internal/settings"
)

// windowLength is the length of the time windows, the worst of which is reported; windowStep is the time between the starts of
// successive windows.
const windowLength, windowStep = 10 * time.Second, time.Second

// Request is a message of the scenario's workload.
type Request struct {
	At          time.Duration
	Destination int
	Class       int
	Tenant      int  // -1: none
	OverQuota   bool // beyond the quota of its tenant
}

// DeliveredWeight is the share of the requested priority weight that was delivered, from 0 to 1.
type DeliveredWeight struct {
	Total            float64            `json:"whole"`
	WorstWindow      float64            `json:"worst_10_s"`
	WorstWindowStart time.Duration      `json:"worst_from"`
	ByClass          map[string]float64 `json:"classes"`
	WorstClass       float64            `json:"worst_class"`
	ByTenant         map[string]float64 `json:"tenants_within_share,omitempty"`
	WorstTenant      float64            `json:"worst_tenant"`
}

// MeasureWeight adds the outcomes of all messages of the workload, and the share of their weight that was delivered, to a report.
func (r *Report) MeasureWeight(parameters Parameters, workload []Request, log []Event) {
	outcomes := readMessageOutcomes(log)
	totals := newWeightTotals(parameters, workload)
	r.TimeToDelivery = map[string]Quantiles{}
	r.Counts.Requested = len(workload)
	for message, planned := range workload {
		r.countOutcome(outcomes, message, planned, &parameters.Settings.Classes[planned.Class])
		totals.add(outcomes, message, planned)
	}
	r.DeliveredWeight = totals.deliveredWeight()
	for i, times := range totals.times {
		r.TimeToDelivery[parameters.Settings.Classes[i].Name] = QuantilesOf(times)
	}
}

// weightTotals sums the requested and the delivered weight.
type weightTotals struct {
	settings         *settings.Settings
	total            fraction
	classes, tenants []fraction
	windows          []fraction
	times            [][]float64 // times to delivery in seconds, by class
}

// newWeightTotals returns totals of 0, with the windows that a workload needs.
func newWeightTotals(parameters Parameters, workload []Request) *weightTotals {
	var last time.Duration
	for _, planned := range workload {
		last = max(last, planned.At)
	}
	return &weightTotals{
		settings: &parameters.Settings,
		classes:  make([]fraction, len(parameters.Settings.Classes)),
		tenants:  make([]fraction, len(parameters.Settings.Tenants)),
		windows:  make([]fraction, int(max(0, last+windowStep-windowLength)/windowStep)+1),
		times:    make([][]float64, len(parameters.Settings.Classes)),
	}
}

// add adds a message to the totals.
func (w *weightTotals) add(s *messageOutcomes, message int, planned Request) {
	class := &w.settings.Classes[planned.Class]
	requested, delivered := class.PriorityWeight, 0.0
	if planned.OverQuota {
		requested *= w.settings.OverQuotaFraction
	}
	if at, ok := s.deliveredAt[message]; ok {
		delivered = requested * RemainingWeight(class, at-planned.At)
		w.times[planned.Class] = append(w.times[planned.Class], (at - planned.At).Seconds())
	}
	w.total.add(delivered, requested)
	w.classes[planned.Class].add(delivered, requested)
	if planned.Tenant >= 0 && !planned.OverQuota {
		w.tenants[planned.Tenant].add(delivered, requested)
	}
	for i := range w.windows {
		if from := time.Duration(i) * windowStep; planned.At >= from && planned.At < from+windowLength {
			w.windows[i].add(delivered, requested)
		}
	}
}

// deliveredWeight returns the delivered shares of the totals.
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

// fraction is a requested weight and the part of it that was delivered.
type fraction struct{ delivered, requested float64 }

// add adds the weights of a message.
func (f *fraction) add(delivered, requested float64) {
	f.delivered, f.requested = f.delivered+delivered, f.requested+requested
}

// share returns the delivered share; 1 if nothing was requested.
func (f fraction) share() float64 {
	if f.requested == 0 {
		return 1
	}
	return f.delivered / f.requested
}

// RemainingWeight returns the share of its weight that a message still has at an age: 1 up to the latency objective, from there
// falling linearly to the late fraction at the deadline, and 0 after the deadline.
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
