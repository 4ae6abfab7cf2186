package policy

import (
	"testing"
	"time"
)

// What is out to a destination that tells to wait is taken back, where it has not left: it never ran, and goes again once the wait
// is over. Calls to others, and refusals without a wait, take nothing back.
func TestWaitTakesBackWhatHasNotLeft(t *testing.T) {
	for _, tt := range []struct {
		name string
		wait time.Duration
		want []Action
	}{
		{"told to wait", 2 * time.Second, []Action{CancelBeforeSend{ID: "m1", Attempt: 0}}},
		{"refused without a wait", 0, nil},
	} {
		d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c", Destination: 1})
		other := arrive("other", 0).(Arrived)
		other.Destination = 1
		d.Handle(time.Second, []Event{arrive("m0", 0), arrive("m1", 0), other})
		if d.inFlight != 3 {
			t.Fatalf("%s: %d calls out", tt.name, d.inFlight)
		}
		var got []Action
		ep := d.messages["m0"].attempts[0].call.endpoint.ID
		for _, a := range d.Handle(1100*ms, []Event{AttemptEnded{ID: "m0", Endpoint: ep, Outcome: Rejected, RetryAfter: tt.wait, Latency: 100 * ms}}) {
			if u, ok := a.(CancelBeforeSend); ok {
				got = append(got, u)
			}
		}
		if len(got) != len(tt.want) || len(got) > 0 && got[0] != tt.want[0] {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
		if tt.wait == 0 {
			continue
		}
		ep = d.messages["m1"].attempts[0].call.endpoint.ID
		expect(t, "in the wait", d.Handle(1110*ms, []Event{AttemptEnded{ID: "m1", Endpoint: ep, Outcome: NotSent, Latency: 110 * ms}}), "")
		if m := d.messages["m1"]; m.firstExecuted() != nil || m.queue == nil {
			t.Errorf("held: %v, taken for run: %v", m.queue != nil, m.firstExecuted())
		}
		if after := said(d.Handle(3200*ms, []Event{TimerFired{}})); after == "" {
			t.Error("nothing goes after the wait")
		}
	}
}
