package policy

import (
	"math"
	"testing"
	"time"
)

// TestSendRate_FallsOnRejectionAndRisesOnSuccess guards against a send rate that stays low after
// rejections, and against a send rate that rises although the destination reports that its rate
// limit allowance is used up.
func TestSendRate_FallsOnRejectionAndRisesOnSuccess(t *testing.T) {
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 4
	d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 8})
	q := d.queues[0]
	if q.sendRate != 2 {
		t.Fatalf("send rate %v, want 8 / 4", q.sendRate)
	}
	d.recordRejection(q, false)
	if q.sendRate != 2*rateDecrease {
		t.Errorf("send rate %v after a rejection", q.sendRate)
	}
	q.queued = []*message{{}}
	d.recordSuccess(d.endpoints["a"], false)
	if q.sendRate != 2*rateDecrease {
		t.Errorf("send rate %v: raised without allowance left", q.sendRate)
	}
	d.recordSuccess(d.endpoints["a"], true)
	if want := 2*rateDecrease + 2*rateIncrease; math.Abs(q.sendRate-want) > 1e-9 {
		t.Errorf("send rate %v, want %v", q.sendRate, want)
	}
}

// TestSendRate_StartsAtEvenShareOrMinimum guards against a send rate that starves relays whose even
// share is only one call in many seconds.
func TestSendRate_StartsAtEvenShareOrMinimum(t *testing.T) {
	for _, tt := range []struct {
		relays int
		want   float64
	}{{2, 2}, {400, minCallsPerWindow}} { // of 4 calls per second, the even share of each of 400 relays is 0.01, which is below the minimum
		s := testSettings()
		s.Instances, s.Weights = tt.relays, WeightsNominal
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: 4})
		if got := d.queues[0].sendRate; got != tt.want {
			t.Errorf("%d relays: send rate %v, want %v", tt.relays, got, tt.want)
		}
	}
}

// A listed rate that is absent, infinite, not a number or negative is ignored: a new queue gets no
// send rate, and an earlier rate is kept.
func TestListedRate_IgnoresUnusableRates(t *testing.T) {
	s := testSettings()
	s.Weights, s.Instances = WeightsNominal, 80
	for _, weight := range []float64{0, -4, math.Inf(1), math.Inf(-1), math.NaN()} {
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: weight})
		if q := d.queues[0]; q.sendRate != 0 || q.listedRate != 0 {
			t.Errorf("listed with %v: rate %v, send rate %v", weight, q.listedRate, q.sendRate)
		}
		d.Handle(time.Second, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Weight: 40}}}})
		d.Handle(2*time.Second, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Weight: weight}}}})
		if q := d.queues[0]; q.listedRate != 40 || !(q.sendRate > 0) {
			t.Errorf("listed with %v after 40: rate %v, send rate %v", weight, q.listedRate, q.sendRate)
		}
	}
}

// Relative to the even share, the send rate rises no faster for a destination with a high rate
// limit than for a destination with a low one.
func TestSendRate_BoundedIncreasePerSecond(t *testing.T) {
	for _, rate := range []float64{8, 80, 800} {
		s := testSettings()
		s.Weights, s.Instances = WeightsNominal, 2
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: rate})
		q := d.queues[0]
		for range int(q.sendRate) / 2 { // the successes of half a second at the even share
			q.queued = []*message{{}}
			d.recordSuccess(d.endpoints["a"], true)
		}
		if most := (1 + rateIncrease*maxIncreasesPerSecond/2) * d.evenShare(q); q.sendRate <= d.evenShare(q) || q.sendRate > most+1e-9 {
			t.Errorf("limit of %v per second: send rate %v after half a second, want more than %v and at most %v",
				rate, q.sendRate, d.evenShare(q), most)
		}
	}
}
