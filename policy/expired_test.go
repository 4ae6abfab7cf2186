package policy

import (
	"testing"
	"time"
)

// A message whose time is up while the answer to its call is still listened to ends at once, and once. The call goes on: the next of
// its key waits for the end of that, and a wait that it brings binds the others.
func TestExpiredWhileOut(t *testing.T) {
	for _, tt := range []struct {
		name  string
		class int
		end   string
	}{{"safe", 0, "refuse m"}, {"keyed", 1, "refuse m"}, {"unsafe, in order", 2, "fail m"}} {
		d := start(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
		d.Handle(0, []Event{arrive("m", tt.class)})
		expect(t, tt.name+": in time", d.Handle(time.Second, []Event{DeadlineExceeded{ID: "other"}}), "")
		expect(t, tt.name, d.Handle(10*time.Second, []Event{DeadlineExceeded{ID: "m"}}), tt.end)
		expect(t, tt.name+": again", d.Handle(10*time.Second+ms, []Event{DeadlineExceeded{ID: "m"}}), "")
		if d.inFlight != 1 || d.messages["m"] == nil {
			t.Errorf("%s: %d calls out, known: %v", tt.name, d.inFlight, d.messages["m"] != nil)
		}
		next := "n>b"
		if tt.class == 2 {
			next = "" // in order, until the attempt has an end
		}
		expect(t, tt.name+": the next", d.Handle(10*time.Second+2*ms, []Event{arrive("n", tt.class)}), next)
		ep := d.messages["m"].attempts[0].call.endpoint.ID
		expect(t, tt.name+": told to wait", d.Handle(10*time.Second+10*ms,
			[]Event{AttemptEnded{ID: "m", Endpoint: ep, Outcome: Rejected, RetryAfter: 2 * time.Second, Latency: time.Second}, arrive("o", 0)}), "")
		if d.messages["m"] != nil {
			t.Errorf("%s: the message is still known", tt.name)
		}
		if got := said(d.Handle(12*time.Second+20*ms, []Event{TimerFired{}})); got == "" {
			t.Errorf("%s: nothing goes after the wait", tt.name)
		}
	}
}
