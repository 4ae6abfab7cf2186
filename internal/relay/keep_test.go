package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/operatorconfig"
	"frostlink/internal/wait/waittest"
)

// keeping has relays keep undelivered messages, and gives the store's folder.
func (p *platform) keeping(lines string) string {
	p.t.Helper()
	folder := filepath.Join(p.t.TempDir(), "kept")
	p.own = filepath.Join(p.t.TempDir(), "frostlink.toml")
	text := "version = 1\n[undelivered]\nfolder = \"" + folder + "\"\n" + lines
	if err := os.WriteFile(p.own, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return folder
}

// stored gives a message from the store of a relay that has ended.
func (p *platform) stored(folder, id string) (*deadletter.Record, *deadletter.Totals) {
	p.t.Helper()
	s, err := deadletter.OpenToRead(folder)
	if err != nil {
		p.t.Fatal(err)
	}
	defer s.Close()
	r, err := s.Get(id)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := s.Body(id)
	if err != nil || string(body) != "body of "+id {
		p.t.Errorf("%s: body %q, %v", id, body, err)
	}
	t, _, err := s.Totals()
	if err != nil {
		p.t.Fatal(err)
	}
	return r, t
}

// journalled counts what the journal of a running relay holds, in a copy.
func (p *platform) journalled() int {
	p.t.Helper()
	j, err := journal.Inspect(p.dir)
	if err != nil {
		p.t.Fatal(err)
	}
	return len(j.Entries())
}

// What is taken on and not delivered is in the store, with its whole history and the reason, once, also where the
// process is killed as soon as the platform has the notice.
func TestUndeliveredMessagesAreKept(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping("")
	p.addHost("h1", 7)
	p.answer = func(r *http.Request) int {
		if strings.HasPrefix(r.Header.Get("Request-Id"), "ran") {
			return http.StatusInternalServerError
		}
		return http.StatusServiceUnavailable
	}
	c := p.start()
	p.take("order", "ran", "20")
	p.take("status", "turned", "1.2")
	p.until("both have their notices", func() bool { return len(p.told()) == 2 })
	p.kill(c)
	// A later process hands over what the store may lack, and finds nothing more to do.
	c = p.start()
	p.until("the journal lets go of both", func() bool { return p.journalled() == 0 })
	p.kill(c)
	r, totals := p.stored(folder, "ran")
	if totals.Messages != 2 || totals.States[deadletter.Held] != 2 {
		t.Errorf("totals %+v", totals)
	}
	l := r.Last()
	if r.Class != "order" || r.Tenant != "acme" || r.Partner != 7 || r.Key != "key-ran" || l.Reason != deadletter.Doubtful ||
		l.Status != notification.Undeliverable || l.Relay != "n1" || len(l.Attempts) != 1 || l.Taken.IsZero() || !l.Over.After(l.Taken) {
		t.Errorf("record %+v", r)
	}
	if a := l.Attempts[0]; a.Host != "h1" || a.Ran != deadletter.May || a.Outcome != "error" || a.Ended.Before(a.Begun) {
		t.Errorf("attempt %+v", a)
	}
	r, _ = p.stored(folder, "turned")
	l = r.Last()
	if l.Reason != deadletter.OutOfTime || l.Status != notification.Deferred || r.MayHaveRun() != nil || len(l.Attempts) == 0 {
		t.Errorf("record %+v", r)
	}
}

// An attempt that was out when the process was killed may have run, and the record says so.
func TestAttemptsThatAProcessLeftMayHaveRun(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping("")
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 }
	c := p.start()
	p.take("order", "a", "20")
	p.called()
	p.kill(c)
	c = p.start()
	p.until("it is given up", func() bool { return len(p.told()) == 1 })
	p.until("it is kept", func() bool { return p.journalled() == 0 })
	p.kill(c)
	r, _ := p.stored(folder, "a")
	if len(r.Last().Attempts) != 1 || r.MayHaveRun() == nil || r.Last().Reason != deadletter.Doubtful {
		t.Errorf("record %+v", r)
	}
}

// A store that can't be opened, since another process has it, stops nothing: what it does not take waits in the
// journal, and is in the store once that is free.
func TestAStoreInUseStopsNothing(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping("")
	p.addHost("h1", 7)
	s, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.answer = func(*http.Request) int { return http.StatusServiceUnavailable }
	c := p.start()
	p.take("status", "a", "1")
	p.until("its notice came all the same", func() bool { return len(p.told()) == 1 })
	p.set(func() { p.answer = func(*http.Request) int { return http.StatusOK } })
	p.until("others are delivered", func() bool { return p.handIn("status", "b", "9").StatusCode == http.StatusAccepted })
	if _, err := s.Get("a"); !errors.Is(err, deadletter.ErrUnknown) {
		t.Errorf("it is in a store that another process has: %v", err)
	}
	_ = s.Close()
	p.until("it is kept", func() bool { return p.journalled() == 0 })
	p.kill(c)
	p.stored(folder, "a")
}

// Where the store takes nothing and the journal is full of what waits for it, the oldest leave, listed by id, and the
// relay goes on taking messages.
func TestAStoreThatTakesNothingDoesNotFillTheJournal(t *testing.T) {
	p := newPlatform(t)
	p.disk = 0.06
	folder := p.keeping("")
	p.addHost("h1", 7)
	s, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.answer = func(*http.Request) int { return http.StatusInternalServerError }
	c := p.start()
	const n = 30
	for i := range n {
		id := fmt.Sprint("m", i)
		p.take("order", id, "20")
		p.until("its notice came", func() bool { return len(p.told()) == i+1 })
	}
	_ = s.Close()
	p.until("the journal lets go", func() bool { return p.journalled() == 0 })
	p.kill(c)
	s, err = deadletter.OpenToRead(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if totals, _, err := s.Totals(); err != nil || totals.Unkept == 0 || totals.Messages == 0 || totals.Unkept+totals.Messages != n {
		t.Errorf("%d kept and %d listed as not kept of %d, %v", totals.Messages, totals.Unkept, n, err)
	}
}

// A host that says that a message's time is up has not delivered it: it is kept, and no notice is owed; a resend that is
// told so comes back.
func TestWhatAHostSaysIsOutOfTime(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping(resendRule)
	p.addHost("h1", 7)
	var late atomic.Bool
	p.answer = func(r *http.Request) int {
		if !late.Load() && r.Header.Get("Request-Id") != "a" {
			return http.StatusServiceUnavailable
		}
		return http.StatusGone
	}
	c := p.start()
	p.take("status", "a", "0.9") // within the last second of its time
	p.until("it is called", func() bool { return len(p.sent()) > 0 })
	p.take("status", "b", "1.2")
	p.until("the other one is given up", func() bool { return len(p.told()) == 1 })
	late.Store(true)
	p.until("resends are told so too", func() bool { return len(p.again()) >= 2 })
	p.until("the journal lets go", func() bool { return p.journalled() == 0 })
	p.kill(c)
	for _, id := range []string{"a", "b"} {
		r, _ := p.stored(folder, id)
		if r.State != deadletter.Held || r.Lives[0].Reason != deadletter.OutOfTime || r.MayHaveRun() != nil {
			t.Errorf("%s: %+v", id, r)
		}
	}
	if told := p.told(); len(told) != 1 || told[0].ID != "b" {
		t.Errorf("notices %+v", told)
	}
}

// What was refused at its arrival is in no journal: a process that ends, or hands over, writes it to the store first.
func TestRefusedAtArrivalOutlastsThePlannedEnd(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping("refused = true\n")
	p.addHost("h1", 7)
	cfg := readOwn(t, p)
	ctx, stop := context.WithCancel(t.Context())
	knows := make(chan any, 10)
	k := newDeadLetterWriter(cfg, "", clock.New(), func(e deadLetterEvent) { knows <- e })
	done := make(chan struct{})
	go func() { k.run(ctx); close(done) }()
	waittest.Receive(t, knows) // the store is open
	const n = 3*maxBatch + 7
	for i := range n {
		id := fmt.Sprint("m", i)
		k.queue.addRejected(deadletter.Kept{Record: deadletter.Record{
			ID: id, Class: "order", Tenant: "acme", Partner: 7, State: deadletter.Held,
			Lives: []deadletter.Life{{ID: id, Reason: deadletter.AtArrival}},
		}, Body: []byte("body of " + id)})
	}
	stop() // at once: hardly a batch can have gone
	waittest.Receive(t, done)
	_, totals := p.stored(folder, "m0")
	if totals.Refused["order of acme"] != n || totals.Messages != n {
		t.Errorf("%d counted and %d kept of %d", totals.Refused["order of acme"], totals.Messages, n)
	}
}

// readOwn reads the configuration and the operator's file as a process would.
func readOwn(t *testing.T, p *platform) *Config {
	t.Helper()
	cfg, err := ReadConfig(p.config())
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Own, err = operatorconfig.Read(p.own); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// A process that keeps undelivered messages is replaced while one is out, one waits for its partner and one is in the store:
// each is kept once, or delivered, and the new process has the store.
func TestReplacedWithAStore(t *testing.T) {
	p := newPlatform(t)
	folder := p.keeping("")
	p.addDoor()
	p.holdSocket()
	p.addHost("h1", 7)
	answer := make(chan int)
	p.answer = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == "out" {
			return <-answer
		}
		return http.StatusServiceUnavailable
	}
	old := p.start()
	p.take("status", "stored", "1")
	p.until("one is in the store", func() bool { return len(p.told()) == 1 && p.journalled() == 0 })
	p.take("order", "out", "25")
	p.until("it is out", func() bool { return slices.Contains(p.sent(), "out") })
	p.take("status", "waits", "4")
	next := p.replace()
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := waittest.Receive(t, old.exited); err != nil {
		t.Errorf("the old process ended with %v: %s", err, old.Stderr)
	}
	answer <- http.StatusOK
	p.until("all are over", func() bool { return len(p.told()) == 2 && p.journalled() == 0 })
	if f := p.figures(); f.Success["order"] != 1 || f.Busy["status"] != 1 {
		t.Errorf("figures %+v", f)
	}
	p.kill(next)
	for _, id := range []string{"stored", "waits"} {
		if r, totals := p.stored(folder, id); totals.Messages != 2 || len(r.Lives) != 1 || r.MayHaveRun() != nil {
			t.Errorf("%s: %+v of %+v", id, r, totals)
		}
	}
}
