package deadletter

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// ask makes a request of an admin and gives the status and the answer.
func ask(t *testing.T, a *Admin, method, path, body string, into any) int {
	t.Helper()
	w := httptest.NewRecorder()
	a.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if into != nil && w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), into); err != nil {
			t.Fatalf("%s %s: %v: %s", method, path, err, w.Body)
		}
	}
	return w.Code
}

func newAdmin(t *testing.T) *Admin {
	t.Helper()
	return &Admin{Store: openStore(t, t.TempDir()), Now: func() time.Time { return noon }}
}

func TestCommands(t *testing.T) {
	a := newAdmin(t)
	put(t, a.Store, "a", "b", "c")
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
		if code := ask(t, a, "POST", "/messages/"+c.path, c.body, &r); code != c.status || r.State != c.state {
			t.Errorf("%s %s: %d, state %q; want %d, %q", c.path, c.body, code, r.State, c.status, c.state)
		}
	}
	if r, _ := a.Store.Get("b"); len(r.Attestations) != 1 || r.Attestations[0].By != "Amina" || r.Attestations[0].Used {
		t.Errorf("attests %+v", r.Attestations)
	}
	if r, _ := a.Store.Get("a"); !strings.Contains(r.Reason, "Amina") || !strings.Contains(r.Reason, "booked by hand") {
		t.Errorf("why: %q", r.Reason)
	}
	// What an operator holds no rule resends.
	if ask(t, a, "POST", "/messages/c/hold", `{"by":"Amina"}`, nil) != 200 {
		t.Fatal("not held")
	}
	rec, _ := a.Store.Get("c")
	if p := Decide([]Rule{{Action: Redeliver, MaxIncarnations: 9, Rate: 1}}, class(Idempotent), rec, nil, noon.Add(time.Hour)); p.Action != Hold {
		t.Errorf("a rule makes of it %+v", p)
	}
}

func TestListingsAndStats(t *testing.T) {
	a := newAdmin(t)
	put(t, a.Store, "a", "b")
	other := kept("o")
	other.Class, other.Destination, other.Incarnations[0].Attempts = "parcel-status", 4, nil
	if err := a.Store.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	for query, want := range map[string]string{
		"": "a b o", "?class=fee-payment": "a b", "?partner=4": "o", "?may_have_run=false": "o",
		"?tenant=lahore&state=held&reason=out-of-time": "a b o", "?most=2": "a b", "?from=3": "o", "?state=out": "",
	} {
		var l Listing
		code := ask(t, a, "GET", "/messages"+query, "", &l)
		var ids []string
		for _, r := range l.Messages {
			ids = append(ids, r.ID)
		}
		if got := strings.Join(ids, " "); code != 200 || got != want {
			t.Errorf("%q: %d, %q, want %q", query, code, got, want)
		}
	}
	for _, query := range []string{"?state=gone", "?reason=x", "?partner=x", "?most=0", "?from=-1", "?may_have_run=perhaps"} {
		if code := ask(t, a, "GET", "/messages"+query, "", nil); code != 400 {
			t.Errorf("%q: %d", query, code)
		}
	}
	var s Stats
	if code := ask(t, a, "GET", "/stats", "", &s); code != 200 || s.Messages != 3 || len(s.Groups) != 2 || s.File == 0 {
		t.Errorf("%d, %+v", code, s)
	}
	var v Verified
	if code := ask(t, a, "GET", "/verify", "", &v); code != 200 || v.Good != 3 || len(v.Faults) != 0 {
		t.Errorf("%d, %+v", code, v)
	}
	var body struct{ Body []byte }
	if code := ask(t, a, "GET", "/messages/a/body", "", &body); code != 200 || string(body.Body) != "body of a" {
		t.Errorf("%d, %q", code, body.Body)
	}
}

// What is exported from one store is the same in another, once, and its attests serve for no second resend.
func TestImport(t *testing.T) {
	a, b := newAdmin(t), newAdmin(t)
	put(t, a.Store, "a")
	if ask(t, a, "POST", "/messages/a/attest", `{"by":"Amina","evidence":"ledger"}`, nil) != 200 {
		t.Fatal("not attested")
	}
	r, err := a.Store.Get("a")
	if err != nil {
		t.Fatal(err)
	}
	line, err := json.Marshal(Exported{*r, []byte("body of a")})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, false} {
		var got map[string]bool
		if code := ask(t, b, "POST", "/import", string(line), &got); code != 200 || got["kept"] != want {
			t.Errorf("import %d: %d, %v", i+1, code, got)
		}
	}
	got, err := b.Store.Get("a")
	if err != nil || got.Incarnations[0].ID != "a" || len(got.Incarnations[0].Attempts) != 1 || !got.Attestations[0].Used || got.State != Held {
		t.Errorf("imported %+v, %v", got, err)
	}
	if body, _ := b.Store.Body("a"); !bytes.Equal(body, []byte("body of a")) {
		t.Errorf("its body: %q", body)
	}
	for _, bad := range []string{"", "{}", `{"id":"x"}`, `{"id":"x","version":9,"lives":[{"id":"x"}]}`} {
		if code := ask(t, b, "POST", "/import", bad, nil); code != 400 {
			t.Errorf("%q: %d", bad, code)
		}
	}
}

// A check says what each rule would do, changes nothing, and refuses rules that break a class's allowance.
func TestCheck(t *testing.T) {
	a := newAdmin(t)
	put(t, a.Store, "a", "b")
	safe := kept("s")
	safe.Class = "parcel-status"
	if err := a.Store.Put([]Message{safe}); err != nil {
		t.Fatal(err)
	}
	yes := true
	classes := []Class{{Name: "fee-payment", Idempotency: IdempotentByKey, KeyTTL: 15 * time.Second, MaxAttempts: 12}, {Name: "parcel-status", MaxAttempts: 12}}
	order, err := json.Marshal(DryRunRequest{Classes: classes, Rules: []Rule{
		{Action: Redeliver, Class: "fee-payment", MayHaveExecuted: &yes, MaxIncarnations: 3, Rate: 1, Delay: 60}, {Action: Redeliver, MaxIncarnations: 3, Rate: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	var got []DryRunResult
	if code := ask(t, a, "POST", "/check", string(order), &got); code != 200 || len(got) != 3 {
		t.Fatalf("%d, %+v", code, got)
	}
	if got[1].Matches != 2 || got[1].Actions[Hold] != 2 || len(got[1].Faults) != 1 || len(got[1].Samples) != 2 {
		t.Errorf("a rule that its class forbids: %+v", got[1])
	}
	if got[2].Matches != 1 || got[2].Actions[Redeliver] != 1 || len(got[2].Faults) != 0 {
		t.Errorf("a rule that resends: %+v", got[2])
	}
	if r, _ := a.Store.Get("s"); r.State != Held || len(r.Incarnations) != 1 {
		t.Errorf("a dry run left %+v", r)
	}
	if code := ask(t, a, "POST", "/check", "{}", nil); code != 400 {
		t.Errorf("without classes: %d", code)
	}
}
