package policy

import (
	"fmt"
	"testing"
	"time"
)

// A background message goes where nothing else is wanted, and is refused at once where anything is.
func TestBackground_AdmittedOnlyToSpareCapacity(t *testing.T) {
	s := plain()
	s.MaxInFlight = 16
	ep := Endpoint{ID: "a"}
	other := Endpoint{ID: "b", Destination: 1}
	to := func(id string, dest int) Event {
		return Arrived{ID: id, Destination: dest, TimeLeft: 10 * time.Second, Background: true}
	}
	for name, c := range map[string]struct {
		before func(d *Dispatcher)
		send   Event
		want   string
	}{
		"all is idle":          {func(*Dispatcher) {}, background("m", 0), "m>a"},
		"one is out already":   {func(d *Dispatcher) { d.Handle(ms, []Event{background("n", 0)}) }, background("m", 0), "refuse m"},
		"one is out elsewhere": {func(d *Dispatcher) { d.Handle(ms, []Event{background("n", 0)}) }, to("m", 1), "m>b"},
		"an eighth has them":   {func(d *Dispatcher) { d.Handle(ms, []Event{to("n", 0), to("o", 2)}) }, to("m", 1), "refuse m"},
		"half of the slots":    {func(d *Dispatcher) { flood(d, 8) }, to("m", 1), "refuse m"},
		"just under half":      {func(d *Dispatcher) { flood(d, 7) }, to("m", 1), "m>b"},
		"fresh ones are held":  {func(d *Dispatcher) { flood(d, 12) }, background("m", 0), "refuse m"},
		"a wait is on":         {func(d *Dispatcher) { fail(d, AttemptEnded{Outcome: Rejected, RetryAfter: 5 * time.Second}) }, background("m", 0), "refuse m"},
		"it is out": {func(d *Dispatcher) {
			fail(d, AttemptEnded{Outcome: ConnectError})
			fail(d, AttemptEnded{Outcome: ConnectError})
		}, background("m", 0), "refuse m"},
		"nothing is listed":     {func(*Dispatcher) {}, to("m", 9), "refuse m"},
		"the process is ending": {func(d *Dispatcher) { d.Handle(ms, []Event{Quiesced{}}) }, background("m", 0), "refuse m"},
	} {
		d := start(t, s, ep, other, Endpoint{ID: "c", Destination: 2})
		c.before(d)
		expect(t, name, d.Handle(time.Second, []Event{c.send}), c.want)
	}
}

// flood has so many fresh messages arrive at destination 0.
func flood(d *Dispatcher, n int) {
	var events []Event
	for i := range n {
		events = append(events, Arrived{ID: fmt.Sprint("f", i), TimeLeft: 10 * time.Second})
	}
	d.Handle(ms, events)
}

// fail has a fresh message fail at destination 0, and be withdrawn.
func fail(d *Dispatcher, e AttemptEnded) {
	e.ID, e.Endpoint = fmt.Sprint("x", d.lastSeq), "a"
	d.Handle(d.now+ms, []Event{Arrived{ID: e.ID, TimeLeft: 10 * time.Second}})
	d.Handle(d.now+2*ms, []Event{e, Cancelled{ID: e.ID}})
}

// It has one attempt: after that it goes back to where it came from, whatever became of it.
func TestBackground_HasOneAttempt(t *testing.T) {
	for class, outcomes := range map[int]map[Outcome]string{
		0: {Succeeded: "", Failed: "refuse m", Rejected: "refuse m", TimedOut: "refuse m"},
		2: {Succeeded: "", Failed: "fail m", Rejected: "refuse m", ConnectionReset: "fail m"},
	} {
		for outcome, want := range outcomes {
			d := start(t, plain(), Endpoint{ID: "a"})
			expect(t, "it goes", d.Handle(time.Second, []Event{background("m", class)}), "m>a")
			expect(t, fmt.Sprint("class ", class, ", outcome ", outcome), d.Handle(2*time.Second,
				[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: outcome, Final: outcome == Succeeded}}), want)
			if len(d.messages) > 0 && len(d.coolingDown) == 0 {
				t.Errorf("class %d, outcome %d: still held", class, outcome)
			}
		}
	}
}

// What a process left is taken up by the next: sent if it was not yet, given back if it was.
func TestBackground_Recovered(t *testing.T) {
	d := start(t, plain(), Endpoint{ID: "a"})
	tried := []PriorAttempt{{Endpoint: "a", SentAt: ms}}
	got := d.Handle(time.Second, []Event{
		Arrived{ID: "new", TimeLeft: time.Second, Background: true, Recovered: true},
		Arrived{ID: "old", TimeLeft: time.Second, Background: true, Recovered: true, PriorAttempts: tried},
	})
	expect(t, "a restart", got, "refuse old new>a")
}

// A fresh message sees neither arrivals nor a copy's work of background ones: it is decided on as if there were none.
func TestBackground_NotCountedAsArrival(t *testing.T) {
	with, without := start(t, plain(), Endpoint{ID: "a"}), start(t, plain(), Endpoint{ID: "a"})
	for i := range 200 {
		at := time.Duration(i+1) * 20 * ms
		id := fmt.Sprint("b", i)
		with.Handle(at, []Event{background(id, 0)})
		with.Handle(at+10*ms, []Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: Succeeded, Final: true, Latency: 10 * ms}})
		without.Handle(at, nil)
	}
	a, b := with.destinations[0].queues[0], without.destinations[0].queues[0]
	if x, y := a.arrivals.rate(with.now), b.arrivals.rate(without.now); x != y || a.shadowRejections != b.shadowRejections || a.shadowBacklog != b.shadowBacklog {
		t.Errorf("λ %v with background messages, %v without", x, y)
	}
}
