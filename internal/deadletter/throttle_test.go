package deadletter

import (
	"fmt"
	"testing"
	"time"
)

// While the destination is down, it gets few redeliveries, at growing intervals.
func TestRedeliverer_BacksOffWhileDestinationIsDown(t *testing.T) {
	h := newRedelivererHarness(t, Idempotent, always)
	for i := range 50 {
		h.storeDue(fmt.Sprint("m", i))
	}
	offered := 0
	for range 4 * 60 { // an hour with a round every 15 s
		got := h.round(15 * time.Second)
		if got == "" {
			continue
		}
		offered++
		h.complete(fmt.Sprint("r", offered), false, Attempt{Endpoint: "h", StartedAt: h.now, Execution: NotExecuted})
	}
	if offered < 10 || offered > 25 {
		t.Errorf("%d redeliveries in an hour to a destination that is down, want 10 to 25", offered)
	}
}

func TestRedeliverer_LimitsRateOfEachDestination(t *testing.T) {
	h := newRedelivererHarness(t, Idempotent, Rule{Action: Redeliver, MaxIncarnations: 9, Rate: 0.5})
	h.storeDue("a", "b", "c")
	other := newMessage("o")
	other.Destination, other.Due = 8, noon
	if err := h.store.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	if got := h.round(0); got != "a=r1 o=r2 " {
		t.Errorf("offered %q, want one message for each destination", got)
	}
	offered := 1
	for range 60 { // half a minute
		h.complete(fmt.Sprint("r", len(h.inFlight)+1), true, Attempt{Execution: Executed})
		h.complete("r3", true, Attempt{Execution: Executed})
		if h.round(500*time.Millisecond) != "" {
			offered++
		}
	}
	if offered != 3 {
		t.Errorf("%d of three messages were offered", offered)
	}
}

// If 5,000 messages of a destination are due at once, one is in flight at a time, the rule's rate is kept, failures cause a
// backoff, and the message of another destination is not delayed.
func TestRedeliverer_PacesBacklogOfOneDestination(t *testing.T) {
	const backlog, rate, roundsPerMinute = 5_000, 5.0, 300
	const interval = time.Minute / roundsPerMinute
	h := newRedelivererHarness(t, Idempotent, Rule{Action: Redeliver, MaxIncarnations: 9, Rate: rate})
	var batch []Message
	for i := range backlog {
		m := newMessage(fmt.Sprint("m", i))
		m.Due = noon
		batch = append(batch, m)
	}
	if err := h.store.Put(batch); err != nil {
		t.Fatal(err)
	}
	other := newMessage("o")
	other.Destination, other.Due = 8, noon
	if err := h.store.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	runMinute := func(delivered bool) (offered int, otherOffered bool) {
		for range roundsPerMinute {
			h.now = h.now.Add(interval)
			offers, err := h.Round(h.now, func(id string) bool { return h.inFlight[id] })
			if err != nil {
				t.Fatal(err)
			}
			inRound := 0
			for _, o := range offers {
				attempt := Attempt{StartedAt: h.now, Execution: Executed}
				if o.Record.Destination == 8 {
					otherOffered = true
					h.complete(o.Incarnation.ID, true, attempt)
					continue
				}
				inRound++
				if !delivered {
					attempt.Execution = NotExecuted
				}
				h.complete(o.Incarnation.ID, delivered, attempt)
			}
			if offered += inRound; inRound > 1 {
				t.Fatalf("one round offered %d redeliveries to a destination, want one", inRound)
			}
		}
		return offered, otherOffered
	}
	if offered, otherOffered := runMinute(true); offered < 250 || offered > 60*rate+1 || !otherOffered {
		t.Errorf("offered in a minute: %d, to the other destination: %v", offered, otherOffered)
	}
	if offered, _ := runMinute(false); offered > 5 { // the backoff is 5, 10, 20 and 40 s
		t.Errorf("%d redeliveries in a minute to a destination that is down, want at most 5", offered)
	}
}

// No message is redelivered without a grant of the gate. A grant begins with an empty token bucket, because another relay may
// have redelivered to the destination at the full rate just before.
func TestRedeliverer_WaitsForGate(t *testing.T) {
	rule := always
	rule.Rate = 1
	h := newRedelivererHarness(t, Idempotent, rule)
	gate := &manualGate{}
	h.SetGate(gate)
	h.storeDue("a", "b", "c")
	if got := h.round(time.Minute); got != "" {
		t.Fatalf("offered %q without a grant", got)
	}
	gate.token = 1
	if got := h.round(gatePause); got != "" {
		t.Errorf("offered %q at the start of a grant", got)
	}
	if got := h.round(time.Second); got != "a=r1 " {
		t.Errorf("offered %q a second later", got)
	}
	h.complete("r1", true)
	gate.token = 0
	if got := h.round(time.Minute); got != "" {
		t.Errorf("offered %q after the end of the grant", got)
	}
	gate.token = 2
	if got := h.round(time.Minute); got != "" {
		t.Errorf("offered %q at the start of the next grant", got)
	}
	if got := h.round(time.Second); got != "b=r2 " {
		t.Errorf("offered %q in the next grant", got)
	}
}
