package journal

import (
	"testing"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/discovery"
	"frostlink/internal/goldentest"
	"frostlink/internal/notification"
	"frostlink/policy"
)

func TestGoldenForms(t *testing.T) {
	goldentest.JSON(t, "forms.txt",
		goldentest.Form{Name: "record", Value: &record{}},
		goldentest.Form{Name: "entry", Value: &Entry{}},
		goldentest.Form{Name: "health", Value: &Health{}},
		goldentest.Form{Name: "terms", Value: &policy.Class{}})
}

// goldenStart is the time at which the golden journals begin.
var goldenStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// goldenRecords returns the encoding of a journal with each kind of record except the anchor.
func goldenRecords() []byte {
	at := func(s int) clock.Instant { return clock.FromTime(goldenStart.Add(time.Duration(s) * time.Second)) }
	terms := policy.Class{
		Name: "fee-payment", LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 2,
		LateFraction: 0.25, Idempotency: policy.IdempotentByKey, KeyPerZone: true, KeyTTL: 30 * time.Second, Ordered: true,
	}
	b := appendRecord(nil, record{Kind: kindTerms, Terms: &terms, Count: 1})
	for _, id := range []string{"untried", "tried", "owed", "over", "delivered"} {
		b = appendRecord(b, record{Kind: kindAccepted, Entry: &Entry{
			ID: id, Class: "fee-payment", Destination: 3, Tenant: "lahore", AcceptedAt: at(1), IdempotencyKey: "k-" + id,
			OrderKey: "i-" + id, Deadline: at(61), TermsNumber: 1, Subject: "s-" + id, Order: &deadletter.Order{},
		}, Body: []byte("body of " + id)})
	}
	b = appendRecord(b, record{Kind: kindAttemptStarted, ID: "tried", Endpoint: "h1", At: at(2)})
	b = appendRecord(b, record{Kind: kindAttemptEnded, ID: "tried", NotExecuted: true, Reason: "queue-full", At: at(3)})
	b = appendRecord(b, record{Kind: kindAttemptStarted, ID: "tried", Endpoint: "h2", At: at(4)})
	b = appendRecord(b, record{
		Kind: kindOutcomeDecided, ID: "owed",
		Notice: &notification.Notice{ID: "owed", Status: notification.Deferred, RetryAfterMS: 250},
		Reason: "refused-late", At: at(5),
	})
	b = appendRecord(b, record{Kind: kindDelivered, ID: "delivered"})
	b = appendRecord(b, record{Kind: kindCompleted, ID: "over", At: at(6)})
	b = appendRecord(b, record{Kind: kindCompletedRequests, Body: encodeCompleted([]CompletedRequest{
		{ID: "old-1", At: at(-20)}, {ID: "old-2", At: at(-10)},
	})})
	b = appendRecord(b, record{Kind: kindEndpoints, Endpoints: &discovery.EndpointList{Seq: 7, Full: true, Endpoints: []discovery.Endpoint{{
		ID: "h1", Address: "127.0.0.1:9", Zone: "z",
		Kind: "k", Destination: 3, Health: "SERVING", Weight: 12.5,
	}}}, Source: "127.0.0.1:8"})
	b = appendRecord(b, record{Kind: kindStore, Source: "store-1", Count: 42})
	return appendRecord(b, record{Kind: kindHealth, Endpoint: "h1", Health: &Health{Unhealthy: true, At: at(7)}})
}

// Files that earlier versions of the program wrote are read completely. The unanchored file is from before
// the anchor record existed.
func TestReplay_ReadsGoldenFiles(t *testing.T) {
	anchor := clock.Anchor{Boot: "1f0e", Since: time.Hour, At: clock.FromTime(goldenStart)}
	goldentest.Bytes(t, "journal-unanchored.bin", goldenRecords())
	goldentest.Bytes(t, "journal-anchored.bin",
		append(appendRecord(nil, record{Kind: kindAnchor, Anchor: &anchor}), goldenRecords()...))
	for _, test := range []struct {
		file     string
		anchored bool
	}{
		{"journal-unanchored.bin", false},
		{"journal-anchored.bin", true},
	} {
		t.Run(test.file, func(t *testing.T) {
			j, corrupt, err := load(goldentest.Copy(t, test.file, FileName), false)
			if err != nil || corrupt != nil {
				t.Fatalf("corrupt: %v, err: %v", corrupt, err)
			}
			checkGoldenJournal(t, j)
			if anchored := j.anchor != nil; anchored != test.anchored {
				t.Errorf("anchored: %v, want %v", anchored, test.anchored)
			}
		})
	}
}

// checkGoldenJournal compares a journal with the contents of goldenRecords.
func checkGoldenJournal(t *testing.T, j *Journal) {
	t.Helper()
	if got := len(j.Entries()); got != 4 {
		t.Errorf("%d entries, want 4", got)
	}
	tried := j.Entry("tried")
	if tried == nil || string(tried.Body) != "body of tried" || len(tried.Attempts) != 2 ||
		!tried.Attempts[0].NotExecuted || tried.Attempts[1].Ended ||
		tried.Attempts[0].Outcome != "queue-full" || tried.OrderKey != "i-tried" {
		t.Errorf("request with attempts: %+v", tried)
	}
	if pending := j.Entry("owed"); pending == nil || pending.PendingNotice == nil ||
		pending.PendingNotice.RetryAfterMS != 250 || pending.Reason != "refused-late" {
		t.Errorf("request with a pending notice: %+v", pending)
	}
	if d := j.Entry("delivered"); d == nil || !d.Delivered {
		t.Errorf("delivered request: %+v", d)
	}
	if !j.IsCompleted("over") || !j.IsCompleted("old-1") || !j.IsCompleted("old-2") {
		t.Errorf("completed requests: %v", j.CompletedRequests())
	}
	if terms := j.Terms(tried); terms == nil || terms.Deadline != time.Minute ||
		terms.Idempotency != policy.IdempotentByKey || !terms.KeyPerZone || !terms.Ordered {
		t.Errorf("terms: %+v", terms)
	}
	list, source := j.Endpoints()
	if list == nil || list.Seq != 7 || len(list.Endpoints) != 1 || list.Endpoints[0].Weight != 12.5 || source != "127.0.0.1:8" {
		t.Errorf("endpoint list: %+v from %s", list, source)
	}
	if j.Store() != "store-1" || j.LastArrival() != 42 || !j.Health()["h1"].Unhealthy {
		t.Errorf("store %s, last arrival %d, health %v", j.Store(), j.LastArrival(), j.Health())
	}
}
