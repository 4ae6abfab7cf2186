package deadletter

import (
	"fmt"
	"testing"
	"time"
)

// A redelivery for which the relay had no capacity adds no incarnation, uses up no attestation, and is retried after a short
// backoff.
func TestRedeliverer_RetriesWhenRelayHadNoCapacity(t *testing.T) {
	h := newRedelivererHarness(t, NotIdempotent, always)
	m := newMessage("a") // it may have been executed
	m.Due, m.Attestations = noon, []Attestation{{By: "Amina", Evidence: "ledger", At: noon}}
	if err := h.store.Put([]Message{m}); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 3; n++ {
		if got := h.round(10 * time.Second); got != fmt.Sprintf("a=r%d ", n) {
			t.Fatalf("round %d: %q", n, got)
		}
		if r := h.expect("a", Redelivering, 2); !r.Attestations[0].Used || r.Last().Attestation == nil {
			t.Errorf("offered without its attestation: %+v", r)
		}
		h.complete(fmt.Sprint("r", n), false)
		if r := h.expect("a", Held, 1); r.Attestations[0].Used {
			t.Error("the attestation is marked as used although the redelivery was not sent")
		}
	}
	if got := h.round(minBusyBackoff / 2); got != "" {
		t.Errorf("offered %q within the backoff", got)
	}
	h.round(10 * time.Second)
	h.complete("r4", false, Attempt{Endpoint: "h", StartedAt: h.now, Execution: ExecutionUnknown})
	if got := h.round(time.Hour); got != "" {
		t.Errorf("offered %q again, though it may have been executed and the attestation is used", got)
	}
	h.expect("a", Held, 2)
}

// A failed redelivery leaves the earlier incarnations in the record and counts towards the rule's limit, so that redelivery
// does not go on forever.
func TestRedeliverer_StopsAtMaxIncarnations(t *testing.T) {
	h := newRedelivererHarness(t, Idempotent, Rule{Action: Redeliver, MaxIncarnations: 3, Rate: 1000})
	h.storeDue("a")
	for n := 1; n <= 2; n++ {
		if got := h.round(time.Hour); got != fmt.Sprintf("a=r%d ", n) {
			t.Fatalf("round %d: %q", n, got)
		}
		h.complete(fmt.Sprint("r", n), false, Attempt{Endpoint: "h", StartedAt: h.now, Execution: NotExecuted})
	}
	if got := h.round(time.Hour); got != "" {
		t.Errorf("offered %q beyond the rule's limit of incarnations", got)
	}
	if r := h.expect("a", Held, 3); r.Attempts() != 3 || r.Incarnations[1].ID != "r1" {
		t.Errorf("incarnations %+v", r.Incarnations)
	}
}

// If the relay does not have a redelivery in flight long after its deadline, the redelivery counts as possibly executed.
func TestRedeliverer_TreatsLostRedeliveryAsMaybeExecuted(t *testing.T) {
	h := newRedelivererHarness(t, NotIdempotent, always)
	h.storeDue("a")
	h.round(0)
	h.inFlight["r1"] = true
	h.round(time.Hour)
	h.expect("a", Redelivering, 2)    // the relay still has it in flight
	h.throttles = map[int]*throttle{} // the relay is restarted
	delete(h.inFlight, "r1")
	h.round(time.Hour)
	if r := h.expect("a", Held, 2); r.MayHaveExecuted() == nil || r.Last().Reason != ProcessEnded {
		t.Errorf("the lost redelivery left %+v", r)
	}
	if got := h.round(time.Hour); got != "" {
		t.Errorf("offered %q, though the lost redelivery may have been executed", got)
	}
}
