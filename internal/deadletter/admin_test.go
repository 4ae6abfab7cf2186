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

// serve makes an Admin serve a request, decodes a successful response and returns the status.
func serve(t *testing.T, a *Admin, method, path, body string, into any) int {
	t.Helper()
	recorder := httptest.NewRecorder()
	a.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	if into != nil && recorder.Code == http.StatusOK {
		if err := json.Unmarshal(recorder.Body.Bytes(), into); err != nil {
			t.Fatalf("%s %s: %v: %s", method, path, err, recorder.Body)
		}
	}
	return recorder.Code
}

// newAdmin returns an Admin with an empty store, whose clock always shows noon.
func newAdmin(t *testing.T) *Admin {
	t.Helper()
	return &Admin{Store: openStore(t, t.TempDir()), Now: func() time.Time { return noon }}
}

func TestAdmin_ListsAndCountsMessages(t *testing.T) {
	a := newAdmin(t)
	storeMessages(t, a.Store, "a", "b")
	other := newMessage("o")
	other.Class, other.Destination, other.Incarnations[0].Attempts = "parcel-status", 4, nil
	if err := a.Store.Put([]Message{other}); err != nil {
		t.Fatal(err)
	}
	for query, want := range map[string]string{
		"": "a b o", "?class=fee-payment": "a b", "?partner=4": "o", "?may_have_run=false": "o",
		"?tenant=lahore&state=held&reason=out-of-time": "a b o", "?most=2": "a b", "?from=3": "o", "?state=out": "",
	} {
		var listing Listing
		code := serve(t, a, "GET", "/messages"+query, "", &listing)
		var ids []string
		for _, r := range listing.Messages {
			ids = append(ids, r.ID)
		}
		if got := strings.Join(ids, " "); code != 200 || got != want {
			t.Errorf("%q: status %d, messages %q, want %q", query, code, got, want)
		}
	}
	for _, query := range []string{"?state=gone", "?reason=x", "?partner=x", "?most=0", "?from=-1", "?may_have_run=perhaps"} {
		if code := serve(t, a, "GET", "/messages"+query, "", nil); code != 400 {
			t.Errorf("%q: status %d, want 400", query, code)
		}
	}
	var s Stats
	if code := serve(t, a, "GET", "/stats", "", &s); code != 200 || s.Messages != 3 || len(s.Groups) != 2 || s.File == 0 {
		t.Errorf("stats: status %d, %+v", code, s)
	}
	var v Verified
	if code := serve(t, a, "GET", "/verify", "", &v); code != 200 || v.Good != 3 || len(v.Faults) != 0 {
		t.Errorf("verify: status %d, %+v", code, v)
	}
	var body struct{ Body []byte }
	if code := serve(t, a, "GET", "/messages/a/body", "", &body); code != 200 || string(body.Body) != "body of a" {
		t.Errorf("body: status %d, %q", code, body.Body)
	}
}

// A redelivery that is in flight at the export counts as one that may have been executed once it is imported. Guards against a second
// execution (review/3): after the import of a killed relay's store, a payment that its redelivery had executed was redelivered again.
func TestAdmin_ImportedRedeliveryInFlightMayHaveExecuted(t *testing.T) {
	target := newAdmin(t)
	acceptedAt := target.Now().Add(-time.Minute)
	refused := Attempt{Endpoint: "h", StartedAt: acceptedAt, EndedAt: acceptedAt, Outcome: "turned away", Execution: NotExecuted}
	record := Record{ID: "a", Version: Version, Class: "payment", State: Redelivering, Since: acceptedAt, Incarnations: []Incarnation{
		{ID: "a", AcceptedAt: acceptedAt, Deadline: acceptedAt, CompletedAt: acceptedAt, Reason: DeadlineExceeded, Attempts: []Attempt{refused}},
		{ID: "again-a", AcceptedAt: acceptedAt, Deadline: acceptedAt.Add(time.Second)},
	}}
	line, err := json.Marshal(Exported{record, []byte("body of a")})
	if err != nil {
		t.Fatal(err)
	}
	if code := serve(t, target, "POST", "/import", string(line), nil); code != 200 {
		t.Fatalf("import: status %d", code)
	}
	got, err := target.Store.Get("a")
	if err != nil {
		t.Fatal(err)
	}
	attempt := got.MayHaveExecuted()
	if got.State != Held || attempt == nil || !attempt.StartedAt.Equal(acceptedAt) || got.Last().CompletedAt.IsZero() {
		t.Fatalf("imported %+v", got)
	}
	class := &Class{Name: "payment", Idempotency: IdempotentByKey, KeyTTL: 15 * time.Second, MaxAttempts: 8}
	if permission := Allowed(class, got, nil, target.Now().Add(time.Second)); permission.Allowed {
		t.Errorf("redelivery a minute later is allowed: %s", permission.Reason)
	}
}

// A message exported from one store can be imported into another only once, and its attestations allow no redelivery there.
func TestAdmin_ImportsExportedMessageOnce(t *testing.T) {
	source, target := newAdmin(t), newAdmin(t)
	storeMessages(t, source.Store, "a")
	if serve(t, source, "POST", "/messages/a/attest", `{"by":"Amina","evidence":"ledger"}`, nil) != 200 {
		t.Fatal("the attest command failed")
	}
	r, err := source.Store.Get("a")
	if err != nil {
		t.Fatal(err)
	}
	line, err := json.Marshal(Exported{*r, []byte("body of a")})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, false} {
		var got map[string]bool
		if code := serve(t, target, "POST", "/import", string(line), &got); code != 200 || got["kept"] != want {
			t.Errorf("import %d: status %d, %v", i+1, code, got)
		}
	}
	got, err := target.Store.Get("a")
	if err != nil || got.Incarnations[0].ID != "a" || len(got.Incarnations[0].Attempts) != 1 || !got.Attestations[0].Used || got.State != Held {
		t.Errorf("imported %+v, %v", got, err)
	}
	if body, _ := target.Store.Body("a"); !bytes.Equal(body, []byte("body of a")) {
		t.Errorf("imported body: %q", body)
	}
	for _, invalid := range []string{"", "{}", `{"id":"x"}`, `{"id":"x","version":9,"lives":[{"id":"x"}]}`} {
		if code := serve(t, target, "POST", "/import", invalid, nil); code != 400 {
			t.Errorf("import of %q: status %d, want 400", invalid, code)
		}
	}
}
