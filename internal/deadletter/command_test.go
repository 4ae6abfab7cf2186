package deadletter

import (
	"strings"
	"testing"
	"time"
)

func TestAdmin_AppliesCommands(t *testing.T) {
	a := newAdmin(t)
	storeMessages(t, a.Store, "a", "b", "c")
	var r Record
	for _, c := range []struct {
		path, body string
		status     int
		state      State
	}{
		{"a/hold", `{"by":"Amina","why":"asked the bank"}`, 200, Held},
		{"a/resend", `{"by":"Amina"}`, 200, Due},
		{"a/discard", `{"by":"Amina"}`, 409, ""},
		{"a/discard", `{"by":"Amina","why":"booked by hand"}`, 200, Discarded},
		{"a/resend", `{"by":"Amina"}`, 409, ""},
		{"b/attest", `{"by":"Amina"}`, 409, ""},
		{"b/attest", `{"evidence":"ledger"}`, 400, ""},
		{"b/attest", `{"by":"Amina","evidence":"ledger of 30 June"}`, 200, Held},
		{"b/attest", `{"by":"Bilal","evidence":"the same"}`, 409, ""},
		{"b/eat", `{"by":"Amina"}`, 400, ""},
		{"z/hold", `{"by":"Amina"}`, 404, ""},
		{"b/hold", `{`, 400, ""},
	} {
		r = Record{}
		if code := serve(t, a, "POST", "/messages/"+c.path, c.body, &r); code != c.status || r.State != c.state {
			t.Errorf("%s %s: status %d, state %q; want %d, %q", c.path, c.body, code, r.State, c.status, c.state)
		}
	}
	if r, _ := a.Store.Get("b"); len(r.Attestations) != 1 || r.Attestations[0].By != "Amina" || r.Attestations[0].Used {
		t.Errorf("attestations %+v", r.Attestations)
	}
	if r, _ := a.Store.Get("a"); !strings.Contains(r.Reason, "Amina") || !strings.Contains(r.Reason, "booked by hand") {
		t.Errorf("reason %q does not contain who discarded the message and why", r.Reason)
	}
	// No rule redelivers a message that an operator holds.
	if serve(t, a, "POST", "/messages/c/hold", `{"by":"Amina"}`, nil) != 200 {
		t.Fatal("the hold command failed")
	}
	rec, _ := a.Store.Get("c")
	if plan := Decide([]Rule{{Action: Redeliver, MaxIncarnations: 9, Rate: 1}}, testClass(Idempotent), rec, nil, noon.Add(time.Hour)); plan.Action != Hold {
		t.Errorf("a rule decides %+v on a message that an operator holds", plan)
	}
}
