package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func TestMustReject(t *testing.T) {
	tests := []struct {
		name         string
		u, x, τ, net float64
		queued, want bool
	}{
		{"u exactly τ", 2, 0.1, 2, 0, true, false},
		{"u above τ", 2.01, 0.1, 2, 0, false, true},
		{"nothing queued", 0, 5, 3, 1, false, false},
		{"bound met exactly: 2(1.5+1-2) = 1", 1.5, 1, 2, 2, true, true},
		{"bound not met: 2(1.4+1-2) = 0.8", 1.4, 1, 2, 2, true, false},
		{"λ = r: no bound", 1.9, 5, 2, 0, true, false},
		{"λ below r: no bound", 1.9, 5, 2, -1, true, false},
		{"static rule: x = τ + 1/(λ-r)", 0.001, 2.5, 2, 2, true, true},
		{"no time left and idle", 0, 0.1, -0.1, 1, false, true},
		{"queued, but u is 0", 0, 9, 2, 2, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := mustReject(tt.u, tt.x, tt.τ, tt.net, tt.queued); got != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestBacklog_CountsQueuedMessagesAndAgesOfCalls(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	if u := d.backlog(q); u != 0 {
		t.Errorf("idle: u = %v, want 0", u)
	}
	q.latency.mean = 0.5
	q.queued = make([]*message, 6)
	if u := d.backlog(q); u != 3 {
		t.Errorf("six queued, none in flight: u = %v, want 6 × 0.5", u)
	}
	q.inFlight = []*call{{endpoint: q.endpoints[0]}, {endpoint: q.endpoints[0]}}
	if u := d.backlog(q); u != 1.5 {
		t.Errorf("six queued, two in flight: u = %v, want 6 × 0.5 / 2", u)
	}
	d.now = 5500 * ms // both calls have been in flight for 5.5 s: 0.5 + 0.1×5, then 1 + 0.1×4.5
	if got := d.agedLatency(q); math.Abs(got-1.45) > 1e-9 {
		t.Errorf("aged latency %v, want 1.45", got)
	}
	q.retryAfterUntil = d.now + 8*time.Second
	if u := d.backlog(q); u != 8 {
		t.Errorf("during Retry-After: u = %v, want the 8 s that remain", u)
	}
}

func TestShadowQueue_CountsRejections(t *testing.T) {
	var a decayingCounter
	if a.rate(0) != 0 {
		t.Error("rate of a new counter is not 0")
	}
	for i := range 400 {
		a.add(time.Duration(i)*100*ms, 1)
	}
	if got := a.rate(40 * time.Second); math.Abs(got-10) > 0.3 {
		t.Errorf("rate after ten arrivals per second: %v, want 10", got)
	}
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.mean = 2
	for i, want := range []float64{0, 0, 1, 1} { // backlogs of 0, 2 and 4 s with a longest wait of 3 s; a rejected message adds no backlog
		d.recordShadowArrival(q, 3)
		if q.shadowRejections.value != want {
			t.Errorf("arrival %d: %v shadow rejections, want %v", i, q.shadowRejections.value, want)
		}
		if i == 2 {
			d.now = 2 * time.Second // the shadow queue's backlog drains to 2
		}
	}
}

func TestAdmit_NewDispatcherUsesBasicRuleAlone(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	wantActions(t, "first message", d.Handle(0, []Event{arrival("m", 0)}), "m>a")
	if λ, r := d.queues[0].arrivals.rate(0), d.queues[0].shadowRejections.rate(0); λ <= 0 || r != 0 {
		t.Errorf("λ = %v, r = %v", λ, r)
	}
}

// TestAdmit_OverloadRejectsLateMessages guards against two failures under overload: a queue that
// delivers all messages late, and a queue that fills with messages of long deadlines ahead of
// urgent messages of higher priority weight.
func TestAdmit_OverloadRejectsLateMessages(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{
		{LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 2},                         // value falls to minUsefulValue at 2.4 s
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 1, LateFraction: 0.5}, // at 12.4 s
		{LatencyObjective: 4 * time.Second, Deadline: 16 * time.Second, PriorityWeight: 4, LateFraction: 0.5},
	}
	tests := []struct {
		class    int
		overload bool
		queued   int // messages with a latency of 0.5 s each
		rejected bool
	}{
		{0, false, 8, false},
		{0, true, 3, false},
		{0, true, 5, true},
		{1, false, 20, false},
		{1, true, 3, false},
		{1, true, 5, true}, // class 0 has a higher priority weight
		{2, true, 24, false},
		{2, true, 26, true},
	}
	for _, tt := range tests {
		d := newDispatcher(t, s, Endpoint{ID: "a"})
		q := d.queues[0]
		q.latency.mean = 0.5
		for range tt.queued {
			q.queued = append(q.queued, &message{terms: &s.Classes[1], deadline: time.Hour, queue: q})
		}
		if tt.overload {
			q.arrivals.add(0, 100)
		}
		m := &message{
			Arrived: Arrived{ID: "m", Class: tt.class}, terms: &d.settings.Classes[tt.class],
			deadline: d.settings.Classes[tt.class].Deadline,
		}
		d.unfinished = append(d.unfinished, m)
		q.shadowRejections.add(0, 1000) // λ - r < 0: the bound does not apply
		d.admit(m)
		if (m.state != messageActive) != tt.rejected {
			t.Errorf("class %d, overload %v, %d queued: rejected = %v", tt.class, tt.overload, tt.queued, m.state != messageActive)
		}
	}
}

// TestAdmit_OneQueueDoesNotTakeAllSpace guards against a single queue that uses up MaxQueued.
func TestAdmit_OneQueueDoesNotTakeAllSpace(t *testing.T) {
	s := testSettings()
	s.MaxQueued = 20
	d := newDispatcher(t, s, Endpoint{ID: "b", Destination: 1}) // no endpoint of destination 0 is listed
	rejected := 0
	for i := range 20 {
		got := d.Handle(0, []Event{Arrived{ID: fmt.Sprint("m", i), TimeLeft: 10 * time.Second}})
		if strings.HasPrefix(summary(got), "reject") {
			rejected++
		}
	}
	if rejected != 5 {
		t.Errorf("%d of 20 rejected, want the 5 above three quarters of MaxQueued", rejected)
	}
	wantActions(t, "another destination", d.Handle(0, []Event{
		Arrived{ID: "n", Destination: 1, TimeLeft: time.Second},
	}), "n>b")
}

func TestAdmit_MaxQueued(t *testing.T) {
	s := testSettings()
	s.MaxQueued, s.MaxInFlight = 2, 1
	d := newDispatcher(t, s, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1}, Endpoint{ID: "c", Destination: 2})
	var events []Event
	for i, id := range []string{"l", "m", "n"} {
		events = append(events, Arrived{ID: id, Destination: i, TimeLeft: 10 * time.Second})
	}
	wantActions(t, "third message with MaxQueued = 2", d.Handle(time.Second, events), "reject l m>b")
}

// TestAdmit_LittleTimeLeftIsNotAge guards against computing the age of a message from its time
// left: under overload, all messages that arrived with little time left were rejected.
func TestAdmit_LittleTimeLeftIsNotAge(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	q := d.queues[0]
	q.latency.mean = 0.5
	q.arrivals.add(0, 100)
	q.shadowRejections.add(0, 1000) // λ - r < 0: the bound does not apply
	wantActions(t, "2 s of 10 left, nothing queued", d.Handle(0, []Event{
		Arrived{ID: "m", TimeLeft: 2 * time.Second},
	}), "m>a")
}
