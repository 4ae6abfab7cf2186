package policy

import (
	"fmt"
	"testing"
	"time"
)

// A background message is sent if there is spare capacity, and rejected immediately otherwise.
func TestBackground_AdmittedOnlyToSpareCapacity(t *testing.T) {
	s := testSettings()
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
		"idle":                     {func(*Dispatcher) {}, backgroundArrival("m", 0), "m>a"},
		"one in flight here":       {func(d *Dispatcher) { d.Handle(ms, []Event{backgroundArrival("n", 0)}) }, backgroundArrival("m", 0), "reject m"},
		"one in flight elsewhere":  {func(d *Dispatcher) { d.Handle(ms, []Event{backgroundArrival("n", 0)}) }, to("m", 1), "m>b"},
		"eighth of the slots used": {func(d *Dispatcher) { d.Handle(ms, []Event{to("n", 0), to("o", 2)}) }, to("m", 1), "reject m"},
		"half of the slots used":   {func(d *Dispatcher) { submitMany(d, 8) }, to("m", 1), "reject m"},
		"less than half used":      {func(d *Dispatcher) { submitMany(d, 7) }, to("m", 1), "m>b"},
		"others are queued":        {func(d *Dispatcher) { submitMany(d, 12) }, backgroundArrival("m", 0), "reject m"},
		"during Retry-After":       {func(d *Dispatcher) { failOne(d, AttemptEnded{Outcome: Rejected, RetryAfter: 5 * time.Second}) }, backgroundArrival("m", 0), "reject m"},
		"unhealthy": {func(d *Dispatcher) {
			failOne(d, AttemptEnded{Outcome: ConnectError})
			failOne(d, AttemptEnded{Outcome: ConnectError})
		}, backgroundArrival("m", 0), "reject m"},
		"no endpoint is listed": {func(*Dispatcher) {}, to("m", 9), "reject m"},
		"all connections used":  {func(d *Dispatcher) { d.endpoints["a"].connLimit = 1; submitMany(d, 1) }, backgroundArrival("m", 0), "reject m"},
		"behind its order key": {
			func(d *Dispatcher) { d.Handle(ms, []Event{arrival("n", 2)}) },
			Arrived{ID: "m", Class: 2, OrderKey: "k", TimeLeft: 10 * time.Second, Background: true},
			"reject m",
		},
		"quiesced": {func(d *Dispatcher) { d.Handle(ms, []Event{Quiesced{}}) }, backgroundArrival("m", 0), "reject m"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(t, s, ep, other, Endpoint{ID: "c", Destination: 2})
			c.before(d)
			wantActions(t, "background message", d.Handle(time.Second, []Event{c.send}), c.want)
		})
	}
}

// submitMany submits n messages to destination 0.
func submitMany(d *Dispatcher, n int) {
	var events []Event
	for i := range n {
		events = append(events, Arrived{ID: fmt.Sprint("f", i), TimeLeft: 10 * time.Second})
	}
	d.Handle(ms, events)
}

// failOne submits a message to destination 0, ends its attempt with e and cancels it.
func failOne(d *Dispatcher, e AttemptEnded) {
	e.ID, e.Endpoint = fmt.Sprint("x", d.lastSeq), "a"
	d.Handle(d.now+ms, []Event{Arrived{ID: e.ID, TimeLeft: 10 * time.Second}})
	d.Handle(d.now+2*ms, []Event{e, MessageCanceled{ID: e.ID}})
}

// A background message has one attempt. If that does not deliver the message, the message is ended
// without a retry, whatever the outcome.
func TestBackground_HasOneAttempt(t *testing.T) {
	for class, outcomes := range map[int]map[Outcome]string{
		0: {Succeeded: "", Failed: "reject m", Rejected: "reject m", TimedOut: "reject m"},
		2: {Succeeded: "", Failed: "fail m", Rejected: "reject m", ConnectionReset: "fail m"},
	} {
		for outcome, want := range outcomes {
			d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
			wantActions(t, "sent", d.Handle(time.Second, []Event{backgroundArrival("m", class)}), "m>a")
			wantActions(t, fmt.Sprint("class ", class, ", outcome ", outcome), d.Handle(2*time.Second,
				[]Event{AttemptEnded{ID: "m", Endpoint: "a", Outcome: outcome, Final: outcome == Succeeded}}), want)
			if len(d.messages) > 0 && len(d.coolingDown) == 0 {
				t.Errorf("class %d, outcome %d: not evicted", class, outcome)
			}
		}
	}
}

// A recovered background message is sent if it has no attempt yet, and given up otherwise.
func TestBackground_Recovered(t *testing.T) {
	d := newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	prior := []PriorAttempt{{Endpoint: "a", SentAt: ms}}
	got := d.Handle(time.Second, []Event{
		Arrived{ID: "new", TimeLeft: time.Second, Background: true, Recovered: true},
		Arrived{ID: "old", TimeLeft: time.Second, Background: true, Recovered: true, PriorAttempts: prior},
	})
	wantActions(t, "recovered after a restart", got, "reject old new>a")
}

// Background messages count neither in the arrival rate nor in the shadow queue, so that they do
// not affect the admission of other messages.
func TestBackground_NotCountedAsArrival(t *testing.T) {
	with, without := newDispatcher(t, testSettings(), Endpoint{ID: "a"}), newDispatcher(t, testSettings(), Endpoint{ID: "a"})
	for i := range 200 {
		at := time.Duration(i+1) * 20 * ms
		id := fmt.Sprint("b", i)
		with.Handle(at, []Event{backgroundArrival(id, 0)})
		with.Handle(at+10*ms, []Event{
			AttemptEnded{ID: id, Endpoint: "a", Outcome: Succeeded, Final: true, Latency: 10 * ms},
		})
		without.Handle(at, nil)
	}
	a, b := with.destinations[0].queues[0], without.destinations[0].queues[0]
	rateWith, rateWithout := a.arrivals.rate(with.now), b.arrivals.rate(without.now)
	if rateWith != rateWithout || a.shadowRejections != b.shadowRejections || a.shadowBacklog != b.shadowBacklog {
		t.Errorf("arrival rate %v with background messages, %v without", rateWith, rateWithout)
	}
}
