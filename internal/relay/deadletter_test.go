package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/notification"
)

// An accepted request that is not delivered is stored once, with its whole history and the reason, even if the process is
// killed as soon as the platform has the notice.
func TestDeadLetters_StoredWithHistory(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("")
	p.addEndpoint("h1", 7)
	p.closeAfterResponses()
	p.respond = func(r *http.Request) int {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "executed") {
			return http.StatusInternalServerError
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.mustAccept("order", "executed", "20")
	p.mustAccept("status", "rejected", "1.2")
	p.waitFor("the platform has both notices", func() bool { return len(p.receivedNotices()) == 2 })
	p.kill(c)
	// A later process writes the requests that the store may lack, and must store none twice.
	c = p.start()
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	r, totals := p.readDeadLetter(folder, "executed")
	if totals.Messages != 2 || totals.States[deadletter.Held] != 2 {
		t.Errorf("totals %+v", totals)
	}
	l := r.Last()
	if r.Class != "order" || r.Tenant != "acme" || r.Destination != 7 || r.IdempotencyKey != "key-executed" || l.Reason != deadletter.OutcomeUnknown ||
		l.Status != notification.Undeliverable || l.Relay != "n1" || len(l.Attempts) != 1 || l.AcceptedAt.IsZero() || !l.CompletedAt.After(l.AcceptedAt) {
		t.Errorf("record %+v", r)
	}
	if a := l.Attempts[0]; a.Endpoint != "h1" || a.Execution != deadletter.ExecutionUnknown || a.Outcome != "error" || a.EndedAt.Before(a.StartedAt) {
		t.Errorf("attempt %+v", a)
	}
	r, _ = p.readDeadLetter(folder, "rejected")
	l = r.Last()
	if l.Reason != deadletter.DeadlineExceeded || l.Status != notification.Deferred || r.MayHaveExecuted() != nil || len(l.Attempts) == 0 {
		t.Errorf("record %+v", r)
	}
}

// The outcome of an attempt that was in flight when the process was killed is unknown, and the store's record says so.
func TestDeadLetters_AttemptInFlightAtKillHasUnknownOutcome(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("")
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	c := p.start()
	p.mustAccept("order", "a", "20")
	p.nextAttempt()
	p.kill(c)
	c = p.start()
	p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
	p.waitFor("the request is stored", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	r, _ := p.readDeadLetter(folder, "a")
	if len(r.Last().Attempts) != 1 || r.MayHaveExecuted() == nil || r.Last().Reason != deadletter.OutcomeUnknown {
		t.Errorf("record %+v", r)
	}
}

// An endpoint that responds that a request's deadline has passed has not executed it: the request is stored, and the platform
// gets no notice. A redelivery with that response is returned to the store.
func TestDeadLetters_ExpiredAtEndpoint(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(redeliveryRule)
	p.addEndpoint("h1", 7)
	p.closeAfterResponses()
	var late atomic.Bool
	p.respond = func(r *http.Request) int {
		if !late.Load() && r.Header.Get("Request-Id") != "a" {
			return http.StatusServiceUnavailable
		}
		return http.StatusGone
	}
	c := p.start()
	p.mustAccept("status", "a", "0.9") // within the last second before its deadline
	p.waitFor("request a is attempted", func() bool { return len(p.attempts()) > 0 })
	p.mustAccept("status", "b", "1.2")
	p.waitFor("request b has failed", func() bool { return len(p.receivedNotices()) == 1 })
	late.Store(true)
	p.waitFor("two redeliveries are attempted", func() bool { return len(p.redeliveries()) >= 2 })
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	for _, id := range []string{"a", "b"} {
		r, _ := p.readDeadLetter(folder, id)
		if r.State != deadletter.Held || r.Incarnations[0].Reason != deadletter.DeadlineExceeded || r.MayHaveExecuted() != nil {
			t.Errorf("%s: %+v", id, r)
		}
	}
	if notices := p.receivedNotices(); len(notices) != 1 || notices[0].ID != "b" {
		t.Errorf("notices %+v", notices)
	}
}

// A rejected request is counted, and stored with its body if the operator's file says so.
func TestDeadLetters_RejectedAreCounted(t *testing.T) {
	for _, keep := range []bool{false, true} {
		t.Run(fmt.Sprint("keep ", keep), func(t *testing.T) {
			p := newPlatform(t)
			folder := p.enableDeadLetters("refused = " + map[bool]string{true: "true", false: "false"}[keep] + "\n")
			p.addEndpoint("h1", 7)
			p.respond = func(*http.Request) int { return http.StatusServiceUnavailable }
			c := p.start()
			if resp := p.submit("order", "a", "0.000001"); resp.StatusCode != http.StatusTooManyRequests {
				t.Fatal(resp.Status)
			}
			p.mustAccept("order", "b", "1")
			p.waitFor("the accepted request has failed", func() bool { return len(p.receivedNotices()) == 1 })
			p.waitFor("the accepted request is stored", func() bool { return p.journalEntryCount() == 0 })
			p.kill(c)
			p.readStore(folder, func(s *deadletter.Store) {
				totals, _, err := s.Totals()
				if err != nil || totals.Rejected["order of acme"] != 1 {
					t.Errorf("%+v, %v", totals, err)
				}
				r, err := s.Get("a")
				if keep != (err == nil) || keep && (r.Last().Reason != deadletter.RejectedOnArrival || r.Last().Status != notification.Deferred || len(r.Last().Attempts) > 0) {
					t.Errorf("stored %v: %+v, %v", keep, r, err)
				}
			})
		})
	}
}

// A request that is rejected, and accepted when it is submitted again under the same id, is stored as the accepted one. Guards
// against the fault that the store's acknowledgement of the rejected copy evicts the accepted one from the journal.
func TestDeadLetters_RejectedThenAccepted(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("refused = true\n")
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return http.StatusServiceUnavailable }
	other, err := deadletter.Open(folder, 0, 0) // holds the store, so that both copies wait for it together
	if err != nil {
		t.Fatal(err)
	}
	c := p.start()
	if resp := p.submit("order", "a", "0.000001"); resp.StatusCode != http.StatusTooManyRequests {
		t.Fatal(resp.Status)
	}
	p.mustAccept("order", "a", "1")
	p.waitFor("the accepted copy has failed", func() bool { return len(p.receivedNotices()) == 1 })
	_ = other.Close()
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	r, totals := p.readDeadLetter(folder, "a")
	if totals.Messages != 1 || r.Last().Reason == deadletter.RejectedOnArrival || len(r.Last().Attempts) == 0 {
		t.Errorf("%+v, %+v", totals, r)
	}
}

// A process that runs without the store may deliver requests that the store does not record. The next process with the store
// must not rely on the newest requests of topics that the store has recorded.
func TestDeadLetters_ProcessWithoutStoreInBetween(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(parcelSubjects)
	p.seedKnownTopics(folder)
	p.addEndpoint("h1", 7)
	known := func() (known bool) {
		s, err := deadletter.Open(folder, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		now := time.Now()
		if err := s.TrackSubjects(&parcelSection, false, now); err != nil {
			t.Fatal(err)
		}
		_, known = s.Newer(&deadletter.Record{
			Class: "status", Destination: 7, Subject: "k-9", Order: &deadletter.Order{Arrival: now.UnixNano()},
			Incarnations: []deadletter.Incarnation{{AcceptedAt: now}},
		})
		return known
	}
	// Each run submits a request of its own: a submission with a completed id would be answered from the journal, and the process
	// could be killed before it has opened the store.
	run := func(operatorPath, id string) {
		p.operatorPath = operatorPath
		c := p.start()
		p.mustAcceptStatus(id, "20", "k-1", "1")
		p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
		p.kill(c)
	}
	withStore := p.operatorPath
	run(withStore, "m1")
	if !known() {
		t.Error("after a restart the store does not know the newest requests")
	}
	run("", "m2")
	run(withStore, "m3")
	if known() {
		t.Error("the store claims to know the newest requests, though a process has recorded nothing in it")
	}
}
