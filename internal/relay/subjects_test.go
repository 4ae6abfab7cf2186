package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/wait/waittest"
)

// parcels has messages of class status tell their parcel in a header and their place in the body, and what was given up
// resent as soon as it may.
const parcels = "subjects_stick = true\n" + resendRule + `[[undelivered.subject]]
class = "status"
header = "Parcel"
order = "number"
order_header = "Seq"
`

// parcelsSection is the same, in the store's terms.
var parcelsSection = deadletter.Section{
	SubjectsMost: 200_000, SubjectsStick: true, SubjectsSettle: 600,
	Subjects: []deadletter.Subject{{Class: "status", Header: "Parcel", Order: "number", OrderHeader: "Seq"}},
}

// of makes a message one of a parcel.
func of(parcel, seq string) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Parcel", parcel)
		r.Header.Set("Seq", seq)
	}
}

// longKnown has a store and a journal as if the relay had run with both for an hour.
func (p *platform) longKnown(folder string) {
	p.t.Helper()
	s, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		p.t.Fatal(err)
	}
	defer s.Close()
	if err := s.Topics(&parcelsSection, false, time.Now().Add(-time.Hour)); err != nil {
		p.t.Fatal(err)
	}
	id, err := s.ID()
	if err != nil {
		p.t.Fatal(err)
	}
	j, err := journal.Open(p.dir, 3, true)
	if err != nil {
		p.t.Fatal(err)
	}
	j.SetStore(id)
	if err := j.Commit(); err != nil {
		p.t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		p.t.Fatal(err)
	}
}

// takeOf hands a status of a parcel in.
func (p *platform) takeOf(id, timeout, parcel, seq string) {
	p.t.Helper()
	if resp := p.handIn("status", id, timeout, of(parcel, seq)); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("%s: %s", id, resp.Status)
	}
}

// readStore looks into the store of a relay that has ended.
func (p *platform) readStore(folder string, look func(s *deadletter.Store)) {
	p.t.Helper()
	s, err := deadletter.OpenToRead(folder)
	if err != nil {
		p.t.Fatal(err)
	}
	defer s.Close()
	look(s)
}

// A status that a newer one of its parcel has overtaken is not resent, and says by which; those of other parcels are,
// and an older one does not stand in the way. A killed process changes nothing of that.
func TestOvertakenMessagesAreNotResent(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(strings.Replace(parcels, "after_s = 0.2", "after_s = 2", 1))
	p.longKnown(folder)
	p.addHost("h1", 7)
	var up atomic.Bool
	p.answer = func(*http.Request) int {
		if up.Load() {
			return http.StatusOK
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.takeOf("old", "1", "k-1", "5")
	p.takeOf("other", "1", "k-2", "5")
	p.takeOf("waits", "1", "k-3", "5")
	p.takeOf("newer", "1", "k-3", "6.5")
	p.until("all are given up", func() bool { return len(p.told()) == 4 })
	up.Store(true)
	p.until("a newer one is delivered", func() bool {
		return p.handIn("status", "new", "9", of("k-1", "6")).StatusCode == http.StatusAccepted
	})
	p.until("an older one too", func() bool {
		return p.handIn("status", "late", "9", of("k-2", "4")).StatusCode == http.StatusAccepted
	})
	for _, id := range []string{"new", "late"} {
		p.until(id+" has come", func() bool { return strings.Contains(strings.Join(p.sent(), " "), id) })
	}
	p.kill(c)
	c = p.start()
	p.until("two are resent", func() bool { return len(p.again()) == 2 })
	p.until("the journal lets go of all", func() bool { return p.journalled() == 0 })
	p.kill(c)
	p.readStore(folder, func(s *deadletter.Store) {
		for id, want := range map[string]struct {
			state deadletter.State
			why   string
		}{
			"old": {deadletter.Superseded, `a newer message of "k-1", new, has overtaken it`}, "other": {deadletter.Delivered, "delivered as again-"},
			"waits": {deadletter.Superseded, `a newer message of "k-3", newer, has overtaken it`}, "newer": {deadletter.Delivered, "delivered as again-"},
		} {
			r, err := s.Get(id)
			if err != nil || r.State != want.state || !strings.HasPrefix(r.Why, want.why) {
				t.Errorf("%s: %+v, %v", id, r, err)
			}
		}
	})
}

// A newer status that comes while an older one is being resent has that given up at once.
func TestANewerOneComesWhileAResendIsOut(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(parcels)
	p.longKnown(folder)
	p.addHost("h1", 7)
	var stuck atomic.Bool
	gone := make(chan bool, 1)
	p.answer = func(r *http.Request) int {
		switch {
		case !stuck.Load():
			return http.StatusServiceUnavailable
		case strings.HasPrefix(r.Header.Get("Request-Id"), "again-"):
			go func() {
				<-r.Context().Done()
				gone <- true
			}()
			return 0
		}
		return http.StatusOK
	}
	c := p.start()
	p.takeOf("old", "1", "k-1", "5")
	p.until("it is given up", func() bool { return len(p.told()) == 1 })
	stuck.Store(true)
	p.until("a resend is out", func() bool { return len(p.again()) > 0 })
	p.until("a newer one is taken on", func() bool {
		return p.handIn("status", "new", "20", of("k-1", "6")).StatusCode == http.StatusAccepted
	})
	select {
	case <-gone:
	case <-time.After(waittest.Long):
		t.Error("the resend's call goes on")
	}
	p.until("the newer one has come", func() bool { return strings.Contains(strings.Join(p.sent(), " "), "new") })
	p.until("the journal lets go of all", func() bool { return p.journalled() == 0 })
	p.kill(c)
	p.readStore(folder, func(s *deadletter.Store) {
		r, err := s.Get("old")
		if err != nil || r.State != deadletter.Superseded || !strings.HasPrefix(r.Why, "new, newer of") {
			t.Errorf("%+v, %v", r, err)
		}
	})
}

// What can't be told is held: a parcel that nobody can read, and all of a store that has not been told for long.
func TestWhatCantBeToldIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		known  bool
		change func(*http.Request)
		why    string
	}{
		"no parcel":        {true, func(*http.Request) {}, "its subject can't be read"},
		"no place":         {true, of("k-1", "soon"), "its subject can't be read"},
		"a store of today": {false, of("k-1", "5"), `whether a newer message of "k-1" was delivered can't be told`},
	} {
		p := newPlatform(t)
		folder := p.keeping(parcels)
		if c.known {
			p.longKnown(folder)
		}
		p.addHost("h1", 7)
		p.answer = func(*http.Request) int { return http.StatusServiceUnavailable }
		child := p.start()
		if resp := p.handIn("status", "a", "1", c.change); resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp.Status)
		}
		p.until("it is given up", func() bool { return len(p.told()) == 1 })
		p.until("it is kept", func() bool { return p.journalled() == 0 })
		time.Sleep(500 * time.Millisecond) // some rounds of the resender: one that did resend would show
		p.kill(child)
		if len(p.again()) > 0 {
			t.Errorf("%s: it was resent", name)
		}
		p.readStore(folder, func(s *deadletter.Store) {
			if r, err := s.Get("a"); err != nil || r.State != deadletter.Held || !strings.HasPrefix(r.Why, c.why) {
				t.Errorf("%s: %+v, %v", name, r, err)
			}
		})
	}
}

// A process that ran without the store may have delivered anything: the next one with it does not rely on it.
func TestAProcessWithoutTheStoreInBetween(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(parcels)
	p.longKnown(folder)
	p.addHost("h1", 7)
	known := func() (known bool) {
		s, err := deadletter.Open(folder, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		now := time.Now()
		if err := s.Topics(&parcelsSection, false, now); err != nil {
			t.Fatal(err)
		}
		_, known = s.Newer(&deadletter.Record{
			Class: "status", Partner: 7, Subject: "k-9", Order: &deadletter.Order{Arrival: now.UnixNano()},
			Lives: []deadletter.Life{{Taken: now}},
		})
		return known
	}
	run := func(own string) {
		p.own = own
		c := p.start()
		p.takeOf("m"+own, "20", "k-1", "1")
		p.until("the journal lets go", func() bool { return p.journalled() == 0 })
		p.kill(c)
	}
	with := p.own
	run(with)
	if !known() {
		t.Error("a restart makes it forget")
	}
	run("")
	run(with)
	if known() {
		t.Error("it is relied on, though a process told it nothing")
	}
}

// What is refused at its arrival is counted, and kept with its body where the operator wants that.
func TestWhatIsRefusedAtArrival(t *testing.T) {
	for _, keep := range []bool{false, true} {
		p := newPlatform(t)
		folder := p.keeping("refused = " + map[bool]string{true: "true", false: "false"}[keep] + "\n")
		p.addHost("h1", 7)
		p.answer = func(*http.Request) int { return http.StatusServiceUnavailable }
		c := p.start()
		if resp := p.handIn("order", "a", "0.000001"); resp.StatusCode != http.StatusTooManyRequests {
			t.Fatal(resp.Status)
		}
		p.take("order", "b", "1")
		p.until("another is given up", func() bool { return len(p.told()) == 1 })
		p.until("that is kept", func() bool { return p.journalled() == 0 })
		p.kill(c)
		p.readStore(folder, func(s *deadletter.Store) {
			totals, _, err := s.Totals()
			if err != nil || totals.Refused["order of acme"] != 1 {
				t.Errorf("%+v, %v", totals, err)
			}
			r, err := s.Get("a")
			if keep != (err == nil) || keep && (r.Last().Reason != deadletter.AtArrival || r.Last().Status != notification.Deferred || len(r.Last().Attempts) > 0) {
				t.Errorf("kept %v: %+v, %v", keep, r, err)
			}
		})
	}
}

// A message that was refused, and is taken on when it comes again under its id, is kept as what was taken on: the refused
// copy lets nothing go. Before, the store's receipt for the one stood for the other.
func TestRefusedAndThenTakenOn(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping("refused = true\n")
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return http.StatusServiceUnavailable }
	other, err := deadletter.Open(folder, 0, 0) // so that both wait for the store together
	if err != nil {
		t.Fatal(err)
	}
	c := p.start()
	if resp := p.handIn("order", "a", "0.000001"); resp.StatusCode != http.StatusTooManyRequests {
		t.Fatal(resp.Status)
	}
	p.take("order", "a", "1")
	p.until("it is given up", func() bool { return len(p.told()) == 1 })
	_ = other.Close()
	p.until("the journal lets go", func() bool { return p.journalled() == 0 })
	p.kill(c)
	r, totals := p.stored(folder, "a")
	if totals.Messages != 1 || r.Last().Reason == deadletter.AtArrival || len(r.Last().Attempts) == 0 {
		t.Errorf("%+v, %+v", totals, r)
	}
}
