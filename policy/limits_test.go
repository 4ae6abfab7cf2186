package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A destination that lowers its limit says so in its answers: the pace goes to this relay's share of what is left, noise
// about the listed rate changes nothing, and the limit's return is heard with the next answer.
func TestReportedLimit(t *testing.T) {
	s := plain()
	s.Weights, s.Instances = WeightsNominal, 2
	d := start(t, s, Endpoint{ID: "a", Weight: 20})
	q := d.queues[0]
	for _, c := range []struct {
		limit, pace, even float64
	}{
		{18, 10, 10},
		{23, 10, 10},
		{0, 10, 10},
		{math.Inf(1), 10, 10},
		{math.NaN(), 10, 10},
		{-3, 10, 10}, // noise, and nonsense
		{4, 2, 2},
		{4.4, 2, 2.06}, // lowered
		{20, 10, 10},   // back
		{0.2, 0.2, 0.1},
		{1e9, 10, 10}, // what is listed bounds it
	} {
		d.recordReportedLimit(q, c.limit)
		if math.Abs(q.sendRate-c.pace) > 1e-9 || math.Abs(d.evenShare(q)-c.even) > 1e-9 {
			t.Errorf("told %v: pace %v, even share %v, want %v and %v", c.limit, q.sendRate, d.evenShare(q), c.pace, c.even)
		}
	}
	d.recordReportedLimit(q, 4)
	for range 100 {
		q.queued = []*message{{}}
		d.recordSuccess(d.endpoints["a"], true)
	}
	if q.sendRate != 4 {
		t.Errorf("pace %v after many successes, want the 4 that are told", q.sendRate)
	}
	unlisted := start(t, plain(), Endpoint{ID: "a"})
	if unlisted.recordReportedLimit(unlisted.queues[0], 4); unlisted.queues[0].sendRate != 0 {
		t.Errorf("pace %v where no rate is listed", unlisted.queues[0].sendRate)
	}
}

// Calls that were out together and are refused together are one refusal: they were sent before anything was heard.
func TestRefusedTogether(t *testing.T) {
	s := plain()
	s.Weights, s.MaxInFlight = WeightsNominal, 16
	d := start(t, s, Endpoint{ID: "a", Weight: 100})
	q := d.queues[0]
	var arrivals, refusals []Event
	for i := range 8 {
		id := fmt.Sprint("m", i)
		arrivals = append(arrivals, arrive(id, 0))
		refusals = append(refusals, AttemptEnded{ID: id, Endpoint: "a", Outcome: Rejected})
	}
	d.Handle(ms, arrivals)
	if len(q.inFlight) != 8 {
		t.Fatalf("%d calls out", len(q.inFlight))
	}
	d.Handle(50*ms, refusals)
	if q.rejections != 1 || q.sendRate != 100*rateDecrease && q.sendRate != (100+100)/2 || q.backoffUntil > 50*ms+20*ms {
		t.Errorf("%d refusals in a row, pace %v, pause %v", q.rejections, q.sendRate, q.backoffUntil-50*ms)
	}
	// The first that is sent after the pause and refused is the second.
	at := 50 * ms
	for n := 2; n < 6; n++ {
		at = max(q.backoffUntil, at) + 50*ms
		d.Handle(at, []Event{TimerFired{}})
		if len(q.inFlight) == 0 {
			t.Fatalf("nothing goes after the pause, at %v", at)
		}
		at += 10 * ms
		c := q.inFlight[len(q.inFlight)-1] // the latest
		m := c.messages[0]
		d.Handle(at, []Event{AttemptEnded{ID: m.ID, Endpoint: "a", Attempt: len(m.attempts) - 1, Outcome: Rejected}})
		if q.rejections != n {
			t.Errorf("%d refusals in a row, want %d", q.rejections, n)
		}
	}
	if q.backoffUntil-at > maxBackoff*3/2 {
		t.Errorf("pause of %v", q.backoffUntil-at)
	}
}

// What a destination told of its limit goes on to the process that takes the place.
func TestReportedLimitIsInherited(t *testing.T) {
	s := plain()
	s.Weights = WeightsNominal
	old, next := start(t, s, Endpoint{ID: "a", Weight: 20}), start(t, s, Endpoint{ID: "a", Weight: 20})
	old.recordReportedLimit(old.queues[0], 4)
	next.Handle(time.Second, []Event{SnapshotRestored{old.Snapshot()}})
	if q := next.queues[0]; q.sendRate != 4 || next.evenShare(q) != 4 {
		t.Errorf("pace %v, even share %v", q.sendRate, next.evenShare(q))
	}
}

// A host that reports its limit and refuses without a report has no connection left: the pace stays, and a run of such
// refusals is a destination that is shut all the same.
func TestRefusedAtTheDoor(t *testing.T) {
	for _, tt := range []struct {
		name    string
		reports bool
		report  *LoadReport
		cut     bool
	}{
		{"at the limit", true, &LoadReport{Remaining: 0, RateLimit: 20}, true},
		{"at the door", true, nil, false},
		{"where nothing is reported", false, nil, true},
	} {
		s := plain()
		s.Weights, s.Instances = WeightsNominal, 2
		d := start(t, s, Endpoint{ID: "a", Weight: 20})
		q := d.queues[0]
		if tt.reports {
			d.recordReportedLimit(q, 20)
		}
		before, now := q.sendRate, time.Second
		for i := 0; !d.endpoints["a"].health.isUnhealthy(); i++ {
			if i == 60 {
				t.Fatalf("%s: not sick after %d refusals", tt.name, i)
			}
			id := fmt.Sprint("m", i)
			d.Handle(now, []Event{arrive(id, 0)})
			if m := d.messages[id]; m != nil && m.openAttempts > 0 {
				d.Handle(now+40*ms, []Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: Rejected, LoadReport: tt.report}, Cancelled{id}})
				if i == 0 && (q.sendRate < before) != tt.cut {
					t.Errorf("%s: pace %v after %v", tt.name, q.sendRate, before)
				}
				if q.pausedUntil() <= now {
					t.Errorf("%s: no pause", tt.name)
				}
			} else {
				d.Handle(now+40*ms, []Event{Cancelled{id}})
			}
			now += 300 * ms
		}
	}
}

// Relays that keep no connections do not all take the endpoint that is listed first, and each goes to all in turns; a few
// relays stay with the one whose connection may still stand.
func TestEndpointsInTurns(t *testing.T) {
	for _, relays := range []int{3, 80} {
		first := map[string]int{}
		for seed := range int64(60) {
			s := plain()
			s.Instances = relays
			d, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}}})
			took := map[string]int{}
			for i := range 6 {
				now, id := time.Duration(i)*100*ms, fmt.Sprint("m", i)
				d.Handle(now, []Event{arrive(id, 0)})
				to := d.messages[id].attempts[0].call.endpoint.ID
				if took[to]++; i == 0 {
					first[to]++
				}
				d.Handle(now+50*ms, []Event{AttemptEnded{ID: id, Endpoint: to, Outcome: Succeeded, Final: true}})
			}
			if want := map[bool]int{true: 1, false: 3}[relays == 3]; len(took) != want {
				t.Errorf("%d relays, seed %d: took %v, want %d endpoints", relays, seed, took, want)
			}
		}
		if relays == 80 && (first["a"] < 8 || first["b"] < 8 || first["c"] < 8) {
			t.Errorf("first choices of %d relays: %v", 60, first)
		}
	}
}

// A rate that is absent, no number or negative is none: there is no pace then, and what was known before stays.
func TestSenselessRates(t *testing.T) {
	s := plain()
	s.Weights, s.Instances = WeightsNominal, 80
	for _, weight := range []float64{0, -4, math.Inf(1), math.Inf(-1), math.NaN()} {
		d := start(t, s, Endpoint{ID: "a", Weight: weight})
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
func TestRaisesASecond(t *testing.T) {
	for _, rate := range []float64{8, 80, 800} {
		s := plain()
		s.Weights, s.Instances = WeightsNominal, 2
		d := start(t, s, Endpoint{ID: "a", Weight: rate})
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
