package policy

import (
	"math"
	"testing"
	"time"
)

// TestLatency_UnknownFilledFromKind guards against queues without a known latency, in which a lost
// first call is never overdue and keeps its slot until the deadline.
func TestLatency_UnknownFilledFromKind(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.Handle(0, []Event{arrival("m", 0)})
	d.Handle(400*ms, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Outcome: Succeeded, Latency: 400 * ms, Final: true},
		Arrived{ID: "n", Destination: 1, TimeLeft: 10 * time.Second},
	})
	q := d.queues[1]
	if q.latency.byClass[0] != 0.4 || q.latency.mean != 0.4 {
		t.Errorf("latencies of b: %v and %v, want 0.4 as at a", q.latency.byClass[0], q.latency.mean)
	}
	q.latency.observe(0, 0.2)
	if got := q.latency.byClass[0]; math.Abs(got-0.3) > 1e-9 {
		t.Errorf("latency after the first sample: %v, want 0.3, the mean of sample and initial value", got)
	}
}
