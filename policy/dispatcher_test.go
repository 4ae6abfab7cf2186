package policy

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

func TestHandle_IgnoresUnknownIDs(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	got := d.Handle(time.Second, []Event{
		AttemptEnded{ID: "x"},
		MessageCanceled{ID: "x"},
		Arrived{ID: "y", Class: 99},
		EndpointsChanged{Endpoints: []Endpoint{{ID: "z", Removed: true}}},
	})
	wantActions(t, "unknown", got, "")
	d.Handle(0, []Event{TimerFired{}}) // the time decreases
	if d.now != time.Second {
		t.Errorf("time decreased to %v", d.now)
	}
}

// TestHandle_UnusableValuesChangeNothingLater guards against unusable values in an event that
// affect the decisions on later events.
func TestHandle_UnusableValuesChangeNothingLater(t *testing.T) {
	s := testSettings()
	s.Weights = WeightsNominal
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0} {
		d := newDispatcher(t, s, Endpoint{ID: "a", Weight: weight})
		d.Handle(0, []Event{EndpointsChanged{Endpoints: []Endpoint{{ID: "a", Weight: 5}}}, arrival("m", 0)})
		if q := d.queues[0]; q.sendRate != 5 || len(q.inFlight) != 1 {
			t.Errorf("after weight %v: send rate %v, %d calls in flight", weight, q.sendRate, len(q.inFlight))
		}
	}
	d := newDispatcher(t, s, Endpoint{ID: "a"})
	d.Handle(0, []Event{arrival("m", 0)})
	d.Handle(ms, []Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: Rejected, RetryAfter: math.MaxInt64}})
	wantActions(t, "longest possible Retry-After", d.Handle(time.Second, []Event{arrival("n", 0)}), "reject n")
	wantActions(t, "no time left", d.Handle(time.Second, []Event{
		Arrived{ID: "o", TimeLeft: -time.Second},
	}), "reject o")
}

func TestQuiesced_SendsNothing(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	wantActions(t, "in the batch of Quiesced", d.Handle(time.Second, []Event{Quiesced{}, arrival("m", 0)}), "")
	wantActions(t, "later", d.Handle(2*time.Second, []Event{TimerFired{}}), "")
}

// BenchmarkHandle measures a batch with 1,000 endpoints listed.
func BenchmarkHandle(b *testing.B) {
	s := testSettings()
	d, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Destination: i / 2})
	}
	d.Handle(0, []Event{EndpointsChanged{Full: true, Endpoints: list}})
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("m", i)
		now += 10 * ms
		for _, a := range d.Handle(now, []Event{Arrived{ID: id, Destination: i % 500, TimeLeft: 10 * time.Second}}) {
			if a, ok := a.(Send); ok {
				d.Handle(now+5*ms, []Event{delivered(id, a.Endpoint)})
			}
		}
	}
}

// TestApply_CoversEveryEvent guards against an event type that is declared but not handled: the
// compiler does not check that a type switch covers all implementations of an interface.
func TestApply_CoversEveryEvent(t *testing.T) {
	read := func(file string) string {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	declared := regexp.MustCompile(`(?m)^func \((\w+)\) event\(\)`).FindAllStringSubmatch(read("events.go"), -1)
	if len(declared) == 0 {
		t.Fatal("no events found")
	}
	for _, event := range declared {
		if !strings.Contains(read("dispatcher.go"), "\n\tcase "+event[1]+":") {
			t.Errorf("Dispatcher.apply has no case for %s", event[1])
		}
	}
}
