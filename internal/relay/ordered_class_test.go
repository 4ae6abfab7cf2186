package relay

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/notification"
)

// Messages of a class in order that are about the same thing go one at a time, in the order in which they came; others go
// beside them. Before, the relay did not read what a message is about, and all went at once.
func TestOrderedClass_SendsOneRequestPerKey(t *testing.T) {
	p := newPlatform(t)
	p.orderClass("status")
	p.addEndpoint("h1", 7)
	open := p.blockAttempts("a1")
	p.start()
	hand := func(class, id string, change ...func(*http.Request)) {
		t.Helper()
		if resp := p.submit(class, id, "20", change...); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", id, resp.Status)
		}
	}
	hand("status", "a1", orderKey("a"))
	hand("status", "a2", orderKey("a"))
	hand("status", "a3", orderKey("a"))
	hand("status", "b1", orderKey("b"))     // about something else
	hand("status", "free")                  // about nothing
	hand("payment", "other", orderKey("a")) // of a class without order
	p.waitFor("what is free goes", func() bool { return len(p.firstAttempts()) == 4 })
	open()
	p.waitFor("all go", func() bool { return len(p.firstAttempts()) == 6 })
	sent := p.firstAttempts()
	if sent[0] != "a1" || sent[4] != "a2" || sent[5] != "a3" {
		t.Errorf("sent %v", sent)
	}
	for _, change := range []func(*http.Request){orderKey("a; subject=b"), orderKey(strings.Repeat("x", 300))} {
		if resp := p.submit("status", "odd", "20", change); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("what it is about can't be told: %s", resp.Status)
		}
	}
}

// The next of a line goes once the platform has the notice of the one before it, and not when that is merely decided: also
// where posts fail for a while.
func TestOrderedClass_WaitsForNotice(t *testing.T) {
	p := newPlatform(t)
	p.changeSettings = func(s string) string {
		return strings.Replace(s, `{"name":"order",`, `{"name":"order","fifo_by_key":true,`, 1)
	}
	p.addEndpoint("h1", 7)
	var early atomic.Bool
	p.respond = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == "first" {
			return http.StatusInternalServerError // it may have run, and can't be sent again
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
	p.waitFor("the second goes", func() bool { return slices.Contains(p.attempts(), "second") })
	if early.Load() {
		t.Error("sent before the notice of the first was received")
	}
	p.waitFor("nothing is left", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// The notice of a message that an earlier process ended is still owed: the next of its key, taken on by that process as well, goes
// once it was received, and what has another key before.
func TestOrderedClass_WaitsForNoticeOfEarlierProcess(t *testing.T) {
	p := newPlatform(t)
	p.orderClass("status")
	p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	for _, id := range []string{"a1", "a2", "b1"} {
		j.Accept(&journal.Entry{ID: id, Class: "status", Destination: 7, OrderKey: id[:1], Deadline: j.Timeline().Now().Add(time.Minute)})
	}
	mustCommit(t, j)
	j.DecideOutcome(j.Get("a1"), notification.Notice{ID: "a1", Status: notification.Deferred}, "", j.Timeline().Now())
	mustCommit(t, j)
	p.failingPosts = 1 << 30
	p.start()
	p.mustAccept("status", "free", "20")
	p.waitFor("what is free goes", func() bool { return slices.Contains(p.attempts(), "b1") && slices.Contains(p.attempts(), "free") })
	p.update(func() {
		p.failingPosts = 0
		if slices.Contains(p.attemptIDs, "a2") {
			t.Error("a2 was sent before the notice of a1 was received")
		}
	})
	p.waitFor("nothing is left", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if sent := p.attempts(); !slices.Contains(sent, "a2") || slices.Contains(sent, "a1") {
		t.Errorf("sent %v", sent)
	}
}

// Order outlasts a kill: what was taken on before goes first, one at a time.
func TestOrderedClass_KeepsOrderAfterKill(t *testing.T) {
	p := newPlatform(t)
	p.orderClass("status")
	p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	for _, id := range []string{"a1", "a2"} {
		j.Accept(&journal.Entry{ID: id, Class: "status", Destination: 7, OrderKey: "a", Deadline: j.Timeline().Now().Add(time.Minute)})
	}
	mustCommit(t, j)
	open := p.blockAttempts("a1")
	p.start()
	if resp := p.submit("status", "a3", "20", orderKey("a")); resp.StatusCode != http.StatusAccepted {
		t.Fatal(resp.Status)
	}
	p.mustAccept("status", "free", "20")
	p.waitFor("what is free goes", func() bool { return len(p.firstAttempts()) == 2 })
	open()
	p.waitFor("all go", func() bool { return len(p.firstAttempts()) == 4 })
	if sent := p.firstAttempts(); sent[2] != "a2" || sent[3] != "a3" || !slices.Contains(sent[:2], "a1") {
		t.Errorf("sent %v", sent)
	}
}
