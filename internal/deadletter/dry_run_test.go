package deadletter

import (
	"encoding/json"
	"testing"
	"time"
)

// A dry run counts what each rule would do, reports conflicts with classes, and changes nothing.
func TestAdmin_DryRunChangesNothing(t *testing.T) {
	a := newAdmin(t)
	storeMessages(t, a.Store, "a", "b")
	idempotent := newMessage("s")
	idempotent.Class = "parcel-status"
	if err := a.Store.Put([]Message{idempotent}); err != nil {
		t.Fatal(err)
	}
	yes := true
	classes := []Class{{Name: "fee-payment", Idempotency: IdempotentByKey, KeyTTL: 15 * time.Second, MaxAttempts: 12}, {Name: "parcel-status", MaxAttempts: 12}}
	request, err := json.Marshal(DryRunRequest{Classes: classes, Rules: []Rule{
		{Action: Redeliver, Class: "fee-payment", MayHaveExecuted: &yes, MaxIncarnations: 3, Rate: 1, Delay: 60}, {Action: Redeliver, MaxIncarnations: 3, Rate: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	var got []DryRunResult
	if code := serve(t, a, "POST", "/check", string(request), &got); code != 200 || len(got) != 3 {
		t.Fatalf("dry run: status %d, results %+v", code, got)
	}
	if got[1].Matches != 2 || got[1].Actions[Hold] != 2 || len(got[1].Faults) != 1 || len(got[1].Samples) != 2 {
		t.Errorf("a rule that conflicts with its class: %+v", got[1])
	}
	if got[2].Matches != 1 || got[2].Actions[Redeliver] != 1 || len(got[2].Faults) != 0 {
		t.Errorf("a rule that redelivers: %+v", got[2])
	}
	if r, _ := a.Store.Get("s"); r.State != Held || len(r.Incarnations) != 1 {
		t.Errorf("the dry run changed a message to %+v", r)
	}
	if code := serve(t, a, "POST", "/check", "{}", nil); code != 400 {
		t.Errorf("dry run without classes: status %d, want 400", code)
	}
}
