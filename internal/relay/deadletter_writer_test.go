package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"frostlink/internal/clock"
	"frostlink/internal/deadletter"
	"frostlink/internal/wait/waittest"
)

// Rejected requests are in no journal, so a process writes them to the store before it ends or hands over.
func TestDeadLetterWriter_WritesRejectedBeforeItEnds(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("refused = true\n")
	p.addEndpoint("h1", 7)
	cfg := readConfigs(t, p)
	ctx, stop := context.WithCancel(t.Context())
	opened := make(chan deadLetterEvent, 10)
	w := newDeadLetterWriter(cfg, "", clock.New(), func(e deadLetterEvent) { opened <- e })
	done := make(chan struct{})
	go func() { w.run(ctx); close(done) }()
	waittest.Receive(t, opened) // the store is open
	const n = 3*maxBatch + 7
	for i := range n {
		id := fmt.Sprint("m", i)
		w.queue.addRejected(deadletter.Message{Record: deadletter.Record{
			ID: id, Class: "order", Tenant: "acme", Destination: 7, State: deadletter.Held,
			Incarnations: []deadletter.Incarnation{{ID: id, Reason: deadletter.RejectedOnArrival}},
		}, Body: []byte("body of " + id)})
	}
	stop() // at once, so that most of them are still in the queue
	waittest.Receive(t, done)
	_, totals := p.readDeadLetter(folder, "m0")
	if totals.Rejected["order of acme"] != n || totals.Messages != n {
		t.Errorf("%d counted and %d stored of %d", totals.Rejected["order of acme"], totals.Messages, n)
	}
}

// While the store can't be opened because another process holds it, the relay goes on: undelivered requests wait in the
// journal, and are stored once the store is free.
func TestDeadLetters_StoreInUseStopsNothing(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("")
	p.addEndpoint("h1", 7)
	s, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.respond = func(*http.Request) int { return http.StatusServiceUnavailable }
	c := p.start()
	p.mustAccept("status", "a", "1")
	p.waitFor("the platform has its notice", func() bool { return len(p.receivedNotices()) == 1 })
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.waitFor("another request is accepted", func() bool { return p.submit("status", "b", "9").StatusCode == http.StatusAccepted })
	if _, err := s.Get("a"); !errors.Is(err, deadletter.ErrUnknown) {
		t.Errorf("the request is in a store that another process holds: %v", err)
	}
	_ = s.Close()
	p.waitFor("the request is stored", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	p.readDeadLetter(folder, "a")
}

// If the store accepts nothing and the journal is full of requests that wait for it, the oldest of these are evicted and listed
// as lost by id, and the relay goes on accepting requests.
func TestDeadLetters_UnavailableStoreDoesNotFillJournal(t *testing.T) {
	p := newPlatform(t)
	p.diskMB = 0.06
	folder := p.enableDeadLetters("")
	p.addEndpoint("h1", 7)
	s, err := deadletter.Open(folder, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.respond = func(*http.Request) int { return http.StatusInternalServerError }
	c := p.start()
	const n = 30
	for i := range n {
		id := fmt.Sprint("m", i)
		p.mustAccept("order", id, "20")
		p.waitFor("the platform has its notice", func() bool { return len(p.receivedNotices()) == i+1 })
	}
	_ = s.Close()
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	s, err = deadletter.OpenToRead(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if totals, _, err := s.Totals(); err != nil || totals.Dropped == 0 || totals.Messages == 0 || totals.Dropped+totals.Messages != n {
		t.Errorf("%d stored and %d listed as lost of %d, %v", totals.Messages, totals.Dropped, n, err)
	}
}
