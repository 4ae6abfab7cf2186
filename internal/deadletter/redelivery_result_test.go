package deadletter

import (
	"fmt"
	"testing"
	"time"
)

// A redelivery for which the relay had no capacity is no incarnation, uses no attestation, and is retried after a short backoff.
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
			t.Error("its attestation is used by nothing")
		}
	}
	if got := h.round(minBusyBackoff / 2); got != "" {
		t.Errorf("offered %q at once", got)
	}
	h.round(10 * time.Second)
	h.complete("r4", false, Attempt{Endpoint: "h", StartedAt: h.now, Execution: ExecutionUnknown})
	if got := h.round(time.Hour); got != "" {
		t.Errorf("offered %q again, though it may have been executed and the attestation is used", got)
	}
	h.expect("a", Held, 2)
}

// A redelivery that fails keeps the earlier incarnations, counts against the rule's limit, and does not loop for ever.
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
		t.Errorf("offered %q beyond the rule's incarnations", got)
	}
	if r := h.expect("a", Held, 3); r.Attempts() != 3 || r.Incarnations[1].ID != "r1" {
		t.Errorf("incarnations %+v", r.Incarnations)
	}
}

// A redelivery of which the relay knows nothing, long after its deadline, may have been executed.
func TestRedeliverer_TreatsLostRedeliveryAsMaybeExecuted(t *testing.T) {
	h := newRedelivererHarness(t, NotIdempotent, always)
	h.storeDue("a")
	h.round(0)
	h.inFlight["r1"] = true
	h.round(time.Hour)
	h.expect("a", Redelivering, 2)    // the relay still has it
	h.throttles = map[int]*throttle{} // another process
	delete(h.inFlight, "r1")
	h.round(time.Hour)
	if r := h.expect("a", Held, 2); r.MayHaveExecuted() == nil || r.Last().Reason != ProcessEnded {
		t.Errorf("%+v", r)
	}
	if got := h.round(time.Hour); got != "" {
		t.Errorf("offered %q", got)
	}
}
