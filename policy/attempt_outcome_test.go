package policy

import (
	"math"
	"testing"
	"time"
)

// TestRecordOutcome_OwnStallIsNotLatency guards against attributing a stall of the relay to the
// latency of its destinations.
func TestRecordOutcome_OwnStallIsNotLatency(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.observe(0, 0.1)
	d.Handle(0, []Event{arrival("m", 0)})
	d.Handle(2*time.Second, []Event{
		AttemptEnded{ID: "m", Endpoint: "a", Outcome: Succeeded, Latency: 100 * ms, Final: true},
	})
	if math.Abs(q.latency.mean-0.1) > 1e-9 || d.unansweredShare != 0 {
		t.Errorf("mean latency %v, unanswered share %v after a stall of the relay", q.latency.mean, d.unansweredShare)
	}
}
