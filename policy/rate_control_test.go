package policy

import (
	"math"
	"testing"
	"time"
)

// TestSendRate_FallsOnRejectionAndRisesOnSuccess guards against a pace that is cut by refusals and never comes back, and against one
// that rises although the destination reports that its allowance is used up.
func TestSendRate_FallsOnRejectionAndRisesOnSuccess(t *testing.T) {
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 4
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 8})
	q := d.queues[0]
	if q.sendRate != 2 {
		t.Fatalf("pace %v, want 8 / 4", q.sendRate)
	}
	d.recordRejection(q, false)
	if q.sendRate != 2*rateDecrease {
		t.Errorf("pace %v after a refusal", q.sendRate)
	}
	q.queued = []*message{{}}
	d.recordSuccess(d.endpoints["a"], false)
	if q.sendRate != 2*rateDecrease {
		t.Errorf("pace %v rose without room", q.sendRate)
	}
	d.recordSuccess(d.endpoints["a"], true)
	if want := 2*rateDecrease + 2*rateIncrease; math.Abs(q.sendRate-want) > 1e-9 {
		t.Errorf("pace %v, want %v", q.sendRate, want)
	}
}

// TestSendRate_StartsAtEvenShareOrMinimum guards against a pace that starves relays whose even share is a call in many seconds.
func TestSendRate_StartsAtEvenShareOrMinimum(t *testing.T) {
	for _, tt := range []struct {
		relays int
		want   float64
	}{{2, 2}, {400, minCallsPerSpan}} { // 4 a second are 2 for one of 2, 0.01 for one of 400: chance decides
		s := testSettings()
		s.Instances, s.Weights = tt.relays, WeightsNominal
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 4})
		if got := d.queues[0].sendRate; got != tt.want {
			t.Errorf("%d relays: pace %v, want %v", tt.relays, got, tt.want)
		}
	}
}

// A rate that is absent, no number or negative is none: there is no pace then, and what was known before stays.
func TestListedRate_IgnoresUnusableRates(t *testing.T) {
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 80
	for _, weight := range []float64{0, -4, math.Inf(1), math.Inf(-1), math.NaN()} {
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: weight})
		if q := d.queues[0]; q.sendRate != 0 || q.listedRate != 0 {
			t.Errorf("listed with %v: rate %v, pace %v", weight, q.listedRate, q.sendRate)
		}
		d.Handle(time.Second, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Weight: 40}}}})
		d.Handle(2*time.Second, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Weight: weight}}}})
		if q := d.queues[0]; q.listedRate != 40 || !(q.sendRate > 0) {
			t.Errorf("listed with %v after 40: rate %v, pace %v", weight, q.listedRate, q.sendRate)
		}
	}
}

// The pace of a destination that takes many calls rises no faster in a second than that of one that takes few.
func TestSendRate_BoundedIncreasePerSecond(t *testing.T) {
	for _, rate := range []float64{8, 80, 800} {
		s := testSettings()
		s.Weights, s.Instances = WeightsNominal, 2
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: rate})
		q := d.queues[0]
		for range int(q.sendRate) / 2 { // as many successes as in half a second at the even share
			q.queued = []*message{{}}
			d.recordSuccess(d.endpoints["a"], true)
		}
		if most := (1 + rateIncrease*maxIncreasesPerSecond/2) * d.evenShare(q); q.sendRate <= d.evenShare(q) || q.sendRate > most+1e-9 {
			t.Errorf("a limit of %v a second: pace %v after half a second, want more than %v and %v at most", rate, q.sendRate, d.evenShare(q), most)
		}
	}
}
