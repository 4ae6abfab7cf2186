package relay

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/wait/waittest"
)

// Requests of an ordered class with the same key are sent one at a time, in the order of their submission. Other requests do
// not wait for them.
func TestOrderedClass_SendsOneRequestPerKey(t *testing.T) {
	p := newPlatform(t)
	p.orderClass("status")
	p.addEndpoint("h1", 7)
	unblock := p.blockAttempts("a1")
	p.start()
	accept := func(class, id string, change ...func(*http.Request)) {
		t.Helper()
		if resp := p.submit(class, id, "20", change...); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", id, resp.Status)
		}
	}
	accept("status", "a1", orderKey("a"))
	accept("status", "a2", orderKey("a"))
	accept("status", "a3", orderKey("a"))
	accept("status", "b1", orderKey("b"))     // another key
	accept("status", "free")                  // no key
	accept("payment", "other", orderKey("a")) // a class that is not ordered
	p.waitFor("requests that need not wait are sent", func() bool { return len(p.firstAttempts()) == 4 })
	unblock()
	p.waitFor("all requests are sent", func() bool { return len(p.firstAttempts()) == 6 })
	sent := p.firstAttempts()
	if sent[0] != "a1" || sent[4] != "a2" || sent[5] != "a3" {
		t.Errorf("sent %v", sent)
	}
	for _, change := range []func(*http.Request){orderKey("a; subject=b"), orderKey(strings.Repeat("x", 300))} {
		if resp := p.submit("status", "odd", "20", change); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("submission with an invalid order key: %s", resp.Status)
		}
	}
}

// The next request of a key is sent only when the platform has the notice of the previous request, not when the previous outcome
// is decided. Posts of notices fail for a while in this test.
func TestOrderedClass_WaitsForNotice(t *testing.T) {
	p := newPlatform(t)
	p.changeSettings = func(s string) string {
		return strings.Replace(s, `{"name":"order",`, `{"name":"order","fifo_by_key":true,`, 1)
	}
	p.addEndpoint("h1", 7)
	var early atomic.Bool
	p.respond = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == "first" {
			return http.StatusInternalServerError // outcome unknown, so the request can't be sent again
		}
		early.Store(len(p.receivedNotices()) == 0)
		return http.StatusOK
	}
	p.failingPosts = 5
	p.start()
	for _, id := range []string{"first", "second"} {
		if resp := p.submit("order", id, "20", orderKey("a")); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", id, resp.Status)
		}
	}
	p.waitFor("the second is sent", func() bool { return slices.Contains(p.attempts(), "second") })
	if early.Load() {
		t.Error("the second request was sent before the notice of the first was received")
	}
	p.waitFor("the journal is empty", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// The notice of a request that an earlier process failed is still pending after a restart. The next request of the same key,
// which the earlier process accepted as well, is sent only when the notice has been received; requests with another key or
// none are sent before that.
func TestOrderedClass_WaitsForNoticeOfEarlierProcess(t *testing.T) {
	p := newPlatform(t)
	p.orderClass("status")
	p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	for _, id := range []string{"a1", "a2", "b1"} {
		j.Accept(&journal.Entry{ID: id, Class: "status", Destination: 7, OrderKey: id[:1], Deadline: j.Timeline().Now().Add(time.Minute)})
	}
	mustCommit(t, j)
	j.DecideOutcome(j.Entry("a1"), notification.Notice{ID: "a1", Status: notification.Deferred}, "", j.Timeline().Now())
	mustCommit(t, j)
	p.failingPosts = 1 << 30
	p.start()
	p.mustAccept("status", "free", "20")
	p.waitFor("requests that need not wait are sent", func() bool { return slices.Contains(p.attempts(), "b1") && slices.Contains(p.attempts(), "free") })
	p.update(func() {
		p.failingPosts = 0
		if slices.Contains(p.attemptIDs, "a2") {
			t.Error("a2 was sent before the notice of a1 was received")
		}
	})
	p.waitFor("the journal is empty", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if sent := p.attempts(); !slices.Contains(sent, "a2") || slices.Contains(sent, "a1") {
		t.Errorf("sent %v", sent)
	}
}

// The order of a key survives a kill: requests that were accepted before it are sent first, one at a time.
func TestOrderedClass_KeepsOrderAfterKill(t *testing.T) {
	p := newPlatform(t)
	p.orderClass("status")
	p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	for _, id := range []string{"a1", "a2"} {
		j.Accept(&journal.Entry{ID: id, Class: "status", Destination: 7, OrderKey: "a", Deadline: j.Timeline().Now().Add(time.Minute)})
	}
	mustCommit(t, j)
	unblock := p.blockAttempts("a1")
	p.start()
	if resp := p.submit("status", "a3", "20", orderKey("a")); resp.StatusCode != http.StatusAccepted {
		t.Fatal(resp.Status)
	}
	p.mustAccept("status", "free", "20")
	p.waitFor("requests that need not wait are sent", func() bool { return len(p.firstAttempts()) == 2 })
	unblock()
	p.waitFor("all requests are sent", func() bool { return len(p.firstAttempts()) == 4 })
	if sent := p.firstAttempts(); sent[2] != "a2" || sent[3] != "a3" || !slices.Contains(sent[:2], "a1") {
		t.Errorf("sent %v", sent)
	}
}

// Two hand-overs take place during the key cooldown after an attempt that may still be executing. Both must succeed, and the
// next request of the key is sent only after the cooldown. Guards against a nil pointer dereference in policy.Snapshot during
// the second hand-over, by which clients lost the connections that were to be handed over.
func TestOrderedClass_CooldownOutlastsTwoHandovers(t *testing.T) {
	const cooldown = 3 * time.Second
	p := newPlatform(t)
	p.changeSettings = func(s string) string {
		return strings.NewReplacer(`{"name":"order",`, `{"name":"order","fifo_by_key":true,`,
			`"ramp_time_s":10`, `"ramp_time_s":10,"order_pause_s":3`).Replace(s)
	}
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	var blockedAt, sentAt atomic.Int64
	p.serveAttempt = func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") == "first" {
			blockedAt.Store(time.Now().UnixNano())
			panic(http.ErrAbortHandler)
		}
		sentAt.Store(time.Now().UnixNano())
	}
	old := p.start()
	for _, id := range []string{"first", "second"} {
		if resp := p.submit("order", id, "20", orderKey("a")); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", id, resp.Status)
		}
	}
	p.waitFor("the notice of the first is received", func() bool { return len(p.receivedNotices()) == 1 })
	for range 2 {
		next := p.startSuccessor()
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := waittest.Receive(t, old.exited); err != nil {
			t.Fatalf("the old process ended with %v: %s", err, old.Stderr)
		}
		old = next
	}
	if sentAt.Load() != 0 {
		t.Error("the second request was sent before the hand-overs were over")
	}
	p.waitFor("the second is sent", func() bool { return sentAt.Load() != 0 })
	// The cooldown begins when the relay detects the connection reset, which is after the endpoint caused it.
	if waited := time.Duration(sentAt.Load() - blockedAt.Load()); waited < cooldown {
		t.Errorf("the second request was sent %v after the attempt of the first, want at least %v", waited, cooldown)
	}
}
