package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/wait/waittest"
)

// A dead letter is redelivered by a rule once its destination accepts it, under a new id and with its idempotency key. The
// platform is notified only of the first outcome.
func TestRedelivery_DeliversUnderNewID(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(redeliveryRule)
	p.addEndpoint("h1", 7)
	type attempt struct{ id, key, length string }
	attempts := make(chan attempt, 100)
	var up atomic.Bool
	p.closeAfterResponses()
	p.respond = func(r *http.Request) int {
		attempts <- attempt{r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), r.Header.Get("Content-Length")}
		if up.Load() {
			return http.StatusOK
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.mustAccept("order", "a", "1")
	p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
	up.Store(true)
	p.waitFor("the request is redelivered", func() bool { return len(p.redeliveries()) == 1 })
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	r, totals := p.readDeadLetter(folder, "a")
	if totals.States[deadletter.Delivered] != 1 || len(r.Incarnations) != 2 || r.Last().ID != p.redeliveries()[0] || r.Last().Attempts[0].Execution != deadletter.Executed {
		t.Errorf("%+v, %+v", totals, r)
	}
	close(attempts)
	first, last := attempt{}, attempt{}
	for k := range attempts {
		if first.id == "" {
			first = k
		}
		last = k
	}
	if first.id != "a" || last.id != r.Last().ID || first.key != last.key {
		t.Errorf("first attempt %+v, last %+v", first, last)
	}
	if len(p.receivedNotices()) != 1 {
		t.Errorf("notices %+v", p.receivedNotices())
	}
}

// A request with an unknown outcome that is not idempotent is held, although the rule matches it; a request that endpoints have
// rejected is redelivered.
func TestRedelivery_UnknownOutcomeIsHeld(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(redeliveryRule)
	p.addEndpoint("h1", 7)
	p.addEndpoint("h2", 8)
	p.closeAfterResponses()
	p.respond = func(r *http.Request) int {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "executed") {
			return http.StatusInternalServerError
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.mustAccept("order", "executed", "20")
	p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
	if resp := p.submit("order", "full", "1", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") }); resp.StatusCode != 202 {
		t.Fatal(resp.Status)
	}
	p.waitFor("the other request has failed", func() bool { return len(p.receivedNotices()) == 2 })
	p.waitFor("the other request is redelivered", func() bool { return len(p.redeliveries()) > 0 })
	p.kill(c)
	if r, _ := p.readDeadLetter(folder, "executed"); len(r.Incarnations) != 1 || r.State != deadletter.Held || !strings.Contains(r.Reason, "may have run") {
		t.Errorf("%+v", r)
	}
}

// The outcome of a redelivery that is in flight when its relay is killed is unknown, and stays so when the next process ends the
// redelivery.
func TestRedelivery_KilledInFlightHasUnknownOutcome(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(redeliveryRule)
	p.addEndpoint("h1", 7)
	var stuck atomic.Bool
	p.closeAfterResponses()
	p.respond = func(*http.Request) int {
		if stuck.Load() {
			return 0
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.mustAccept("order", "a", "1")
	p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
	stuck.Store(true)
	p.waitFor("a redelivery is in flight", func() bool { return len(p.redeliveries()) > 0 })
	p.kill(c)
	before := len(p.redeliveries())
	c = p.start()
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	r, totals := p.readDeadLetter(folder, "a")
	if totals.Messages != 1 || r.State != deadletter.Held || r.MayHaveExecuted() == nil || len(p.redeliveries()) != before {
		t.Errorf("%+v, %d more attempts", r, len(p.redeliveries())-before)
	}
}

// A status that a newer status of the same parcel has superseded is not redelivered, and its record names the newer status.
// Statuses that no newer status has superseded are redelivered, even if an older status of their parcel is delivered meanwhile.
// All this holds after a kill too.
func TestRedelivery_SupersededIsNotSent(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(strings.Replace(parcelSubjects, "after_s = 0.2", "after_s = 2", 1))
	p.seedKnownTopics(folder)
	p.addEndpoint("h1", 7)
	var up atomic.Bool
	p.closeAfterResponses()
	p.respond = func(*http.Request) int {
		if up.Load() {
			return http.StatusOK
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.mustAcceptStatus("old", "1", "k-1", "5")
	p.mustAcceptStatus("other", "1", "k-2", "5")
	p.mustAcceptStatus("waits", "1", "k-3", "5")
	p.mustAcceptStatus("newer", "1", "k-3", "6.5")
	p.waitFor("all four have failed", func() bool { return len(p.receivedNotices()) == 4 })
	up.Store(true)
	p.waitFor("a newer one is accepted", func() bool {
		return p.submit("status", "new", "9", parcelStatus("k-1", "6")).StatusCode == http.StatusAccepted
	})
	p.waitFor("an older one is accepted", func() bool {
		return p.submit("status", "late", "9", parcelStatus("k-2", "4")).StatusCode == http.StatusAccepted
	})
	for _, id := range []string{"new", "late"} {
		p.waitFor(id+" is sent", func() bool { return strings.Contains(strings.Join(p.attempts(), " "), id) })
	}
	p.kill(c)
	c = p.start()
	p.waitFor("two are redelivered", func() bool { return len(p.redeliveries()) == 2 })
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	p.readStore(folder, func(s *deadletter.Store) {
		for id, want := range map[string]struct {
			state  deadletter.State
			reason string
		}{
			"old": {deadletter.Superseded, `a newer message of "k-1", new, has overtaken it`}, "other": {deadletter.Delivered, "delivered as again-"},
			"waits": {deadletter.Superseded, `a newer message of "k-3", newer, has overtaken it`}, "newer": {deadletter.Delivered, "delivered as again-"},
		} {
			r, err := s.Get(id)
			if err != nil || r.State != want.state || !strings.HasPrefix(r.Reason, want.reason) {
				t.Errorf("%s: %+v, %v", id, r, err)
			}
		}
	})
}

// A status that is submitted while an older status of the same parcel is being redelivered cancels the redelivery at once.
func TestRedelivery_CancelledWhenSuperseded(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters(parcelSubjects)
	p.seedKnownTopics(folder)
	p.addEndpoint("h1", 7)
	var stuck atomic.Bool
	cancelled := make(chan bool, 1)
	p.closeAfterResponses()
	p.respond = func(r *http.Request) int {
		switch {
		case !stuck.Load():
			return http.StatusServiceUnavailable
		case strings.HasPrefix(r.Header.Get("Request-Id"), "again-"):
			go func() {
				<-r.Context().Done()
				cancelled <- true
			}()
			return 0
		}
		return http.StatusOK
	}
	c := p.start()
	p.mustAcceptStatus("old", "1", "k-1", "5")
	p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
	stuck.Store(true)
	p.waitFor("a redelivery is in flight", func() bool { return len(p.redeliveries()) > 0 })
	p.waitFor("a newer one is accepted", func() bool {
		return p.submit("status", "new", "20", parcelStatus("k-1", "6")).StatusCode == http.StatusAccepted
	})
	select {
	case <-cancelled:
	case <-time.After(waittest.Long):
		t.Error("the attempt of the redelivery is not cancelled")
	}
	p.waitFor("the newer one is sent", func() bool { return strings.Contains(strings.Join(p.attempts(), " "), "new") })
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	p.readStore(folder, func(s *deadletter.Store) {
		r, err := s.Get("old")
		if err != nil || r.State != deadletter.Superseded || !strings.HasPrefix(r.Reason, "new, newer of") {
			t.Errorf("%+v, %v", r, err)
		}
	})
}

// A request is held if the relay can't tell whether a newer request of the same parcel was delivered: because the parcel or the
// order can't be read, or because the store has not recorded all deliveries for long enough.
func TestRedelivery_UnknownOrderIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		known  bool
		change func(*http.Request)
		reason string
	}{
		"no parcel":        {true, func(*http.Request) {}, "its subject can't be read"},
		"unreadable order": {true, parcelStatus("k-1", "soon"), "its subject can't be read"},
		"a new store":      {false, parcelStatus("k-1", "5"), `whether a newer message of "k-1" was delivered can't be told`},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t)
			folder := p.enableDeadLetters(parcelSubjects)
			if c.known {
				p.seedKnownTopics(folder)
			}
			p.addEndpoint("h1", 7)
			p.closeAfterResponses()
			p.respond = func(*http.Request) int { return http.StatusServiceUnavailable }
			child := p.start()
			if resp := p.submit("status", "a", "1", c.change); resp.StatusCode != http.StatusAccepted {
				t.Fatal(resp.Status)
			}
			p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
			p.waitFor("the request is stored", func() bool { return p.journalEntryCount() == 0 })
			time.Sleep(500 * time.Millisecond) // several rounds of the redeliverer, in which a redelivery would happen
			p.kill(child)
			if len(p.redeliveries()) > 0 {
				t.Errorf("%s: the request was redelivered", name)
			}
			p.readStore(folder, func(s *deadletter.Store) {
				if r, err := s.Get("a"); err != nil || r.State != deadletter.Held || !strings.HasPrefix(r.Reason, c.reason) {
					t.Errorf("%s: %+v, %v", name, r, err)
				}
			})
		})
	}
}
