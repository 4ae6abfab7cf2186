package deadletter

import (
	"testing"
	"time"
)

func TestRedeliverer_OffersOneAtATimeUntilDelivered(t *testing.T) {
	h := newRedelivererHarness(t, NotIdempotent, always)
	h.storeDue("a", "b")
	if got := h.round(0); got != "a=r1 " {
		t.Fatalf("offered %q", got)
	}
	h.expect("a", Redelivering, 2)
	if got := h.round(10 * time.Second); got != "" {
		t.Errorf("offered %q while one is in flight", got)
	}
	h.complete("r1", true, Attempt{Endpoint: "h", StartedAt: h.now, Execution: Executed})
	r := h.expect("a", Delivered, 2)
	if r.Last().ID != "r1" || len(r.Last().Attempts) != 1 {
		t.Errorf("last incarnation: %+v", r.Last())
	}
	if got := h.round(time.Second); got != "b=r2 " {
		t.Errorf("offered %q after the delivery", got)
	}
}

// A message whose redelivery an operator asks for is redelivered once, if Allowed permits it. A sweep applies changed rules
// to messages that were held under the old ones.
func TestRedeliverer_ServesOperatorRequestsAndNewRules(t *testing.T) {
	h := newRedelivererHarness(t, NotIdempotent)
	h.storeDue("a", "b")
	if got := h.round(0); got != "" {
		t.Fatalf("offered %q without a rule", got)
	}
	if err := h.store.Put([]Message{newMessage("unknown")}); err != nil {
		t.Fatal(err)
	}
	admin := &Admin{Store: h.store, Now: func() time.Time { return h.now }}
	for _, id := range []string{"a", "unknown"} {
		if code := serve(t, admin, "POST", "/messages/"+id+"/resend", `{"by":"Amina"}`, nil); code != 200 {
			t.Fatal(code)
		}
	}
	if got := h.round(time.Second); got != "a=r1 " {
		t.Errorf("offered %q after the operator's requests", got)
	}
	h.complete("r1", true, Attempt{Execution: Executed})
	h.round(time.Second)
	h.expect("unknown", Held, 1) // it may have been executed, so an operator's request does not redeliver it
	if changed, err := h.store.SetRules([]byte("new")); err != nil || !changed {
		t.Errorf("SetRules of new rules: changed %v, %v", changed, err)
	}
	if changed, _ := h.store.SetRules([]byte("new")); changed {
		t.Error("SetRules of the same rules reports a change")
	}
	h.rules = []Rule{always}
	if got := h.round(time.Second); got != "" {
		t.Errorf("offered %q before a sweep", got)
	}
	h.Sweep()
	if got := h.round(time.Second); got != "b=r2 " {
		t.Errorf("offered %q after a sweep", got)
	}
}
