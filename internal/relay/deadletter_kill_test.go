package relay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"frostlink/internal/deadletter"
)

// killCount is the number of times that the real program is killed. lifetimes are the shortest and the longest time from a
// start to a kill.
const killCount = 50

var lifetimes = [2]time.Duration{20 * time.Millisecond, 450 * time.Millisecond}

// testKeyTTL is the key TTL of the settings, for which the endpoints drop repeats.
const testKeyTTL = 15 * time.Second

// ledger records what the endpoints and the clients observed.
type ledger struct {
	mu         sync.Mutex
	accepted   map[string]bool // ids of submissions that were answered 202
	delivered  map[string]bool // keys of attempts that an endpoint answered 200
	effects    map[string]int  // number of executed attempts by key, without repeats that an endpoint drops by their key
	executedAt map[string]time.Time
}

// respond selects an endpoint's response by draw, a random number below 1, and returns the status: the endpoint delivers,
// rejects, fails after the execution, or hangs.
func (l *ledger) respond(r *http.Request, draw float64) int {
	key := r.Header.Get("Idempotency-Key")
	l.mu.Lock()
	defer l.mu.Unlock()
	if draw < 0.25 {
		return http.StatusServiceUnavailable
	}
	if last, ok := l.executedAt[key]; !ok || !strings.HasPrefix(key, "key-payment") || time.Since(last) > testKeyTTL {
		l.effects[key]++
	}
	if _, ok := l.executedAt[key]; !ok {
		l.executedAt[key] = time.Now()
	}
	switch {
	case draw < 0.28:
		return 0
	case draw < 0.36:
		return http.StatusInternalServerError
	}
	l.delivered[key] = true
	return http.StatusOK
}

// The real program is killed at 50 random moments, while it accepts, delivers, fails, stores and redelivers requests: no
// request is lost or in the store twice, and no request that must not be repeated is executed twice.
func TestDeadLetters_KilledAtFiftyRandomMoments(t *testing.T) {
	p := newPlatform(t)
	p.program = filepath.Join(t.TempDir(), "frostlink")
	if out, err := exec.Command("go", "build", "-o", p.program, "frostlink/cmd/frostlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	p.keyTTL = testKeyTTL.Seconds()
	folder := p.enableDeadLetters(strings.Replace(redeliveryRule, "after_s = 0.2", "after_s = 0.05", 1))
	p.addEndpoint("h1", 7)
	p.addEndpoint("h2", 7)
	draw := rand.New(rand.NewPCG(20261201, 8))
	l := &ledger{accepted: map[string]bool{}, delivered: map[string]bool{}, effects: map[string]int{}, executedAt: map[string]time.Time{}}
	var drawMu sync.Mutex
	next := func() float64 {
		drawMu.Lock()
		defer drawMu.Unlock()
		return draw.Float64()
	}
	p.respond = func(r *http.Request) int { return l.respond(r, next()) }
	go func() { // discards the reports of single attempts, so that their channel does not fill up
		for {
			select {
			case <-p.begunAttempts:
			case <-p.released:
				return
			}
		}
	}()
	stop := make(chan bool)
	var clients sync.WaitGroup
	for n := range 3 {
		clients.Go(func() {
			class := []string{"status", "payment", "order"}[n]
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(6 * time.Millisecond):
				}
				if id := fmt.Sprint(class, i); p.trySubmit(class, id, fmt.Sprint(0.1+next())) == http.StatusAccepted {
					l.mu.Lock()
					l.accepted[id] = true
					l.mu.Unlock()
				}
			}
		})
	}
	for i := range killCount {
		var other *deadletter.Store
		if i%2 == 1 {
			// Another process holds the store during this lifetime: notices are posted, and dead letters wait in the journal.
			var err error
			if other, err = deadletter.Open(folder, 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		c := p.start()
		time.Sleep(lifetimes[0] + time.Duration(next()*float64(lifetimes[1]-lifetimes[0])))
		p.kill(c)
		if other != nil {
			_ = other.Close()
		}
	}
	close(stop)
	clients.Wait()
	p.update(func() { p.respond = func(r *http.Request) int { return l.respond(r, 1) } })
	c := p.start()
	p.waitFor("20 attempts of redeliveries have arrived", func() bool { return len(p.redeliveries()) >= 20 })
	p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
	p.kill(c)
	p.readStore(folder, func(s *deadletter.Store) { l.check(t, p, s) })
}

// check compares the store with what endpoints and clients observed.
func (l *ledger) check(t *testing.T, p *platform, s *deadletter.Store) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	notified := map[string]bool{}
	for _, n := range p.receivedNotices() {
		notified[n.ID] = true
	}
	stored, redelivered, delivered := map[string]*deadletter.Record{}, 0, 0
	for from, first := uint64(0), true; first || from > 0; first = false {
		page, following, damaged, err := s.Page(from, 1000, 1000, nil)
		if err != nil || damaged > 0 {
			t.Fatalf("%d damaged, %v", damaged, err)
		}
		for _, r := range page {
			if stored[r.ID] != nil {
				t.Errorf("%s is stored twice", r.ID)
			}
			stored[r.ID] = r
			redelivered += len(r.Incarnations) - 1
			if body, err := s.Body(r.ID); err != nil || string(body) != "body of "+r.ID {
				t.Errorf("%s: body %q, %v", r.ID, body, err)
			}
		}
		from = following
	}
	for id := range l.accepted {
		r := stored[id]
		switch {
		case r == nil && !l.delivered["key-"+id]:
			t.Errorf("%s was accepted, but is neither delivered nor stored", id)
		case r == nil:
			delivered++
		case r.State == deadletter.Delivered && !l.delivered["key-"+id]:
			t.Errorf("%s is stored as delivered, but no endpoint has answered it 200: %+v", id, r)
		case !notified[id]:
			t.Errorf("%s is stored, but the platform was not notified", id)
		}
		if notified[id] && r == nil {
			t.Errorf("%s has failed, but is not stored", id)
		}
	}
	for key, n := range l.effects {
		if n > 1 && !strings.HasPrefix(key, "key-status") {
			t.Errorf("%s was executed %d times: %+v", key, n, stored[strings.TrimPrefix(key, "key-")])
		}
	}
	t.Logf("%d accepted, %d of them delivered and not stored, %d stored, %d redeliveries", len(l.accepted), delivered, len(stored), redelivered)
	if len(stored) < 50 || redelivered < 20 || delivered < 50 {
		t.Errorf("%d stored, %d redeliveries, %d delivered: too few for the test to mean anything", len(stored), redelivered, delivered)
	}
}
