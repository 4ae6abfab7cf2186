package relay

import (
	"net/http"
	"testing"
	"time"

	"frostlink/internal/journal"
	"frostlink/internal/notification"
)

// A process is killed with an attempt in flight. The next process repeats the attempt only if the class allows it, and decides
// one outcome for each request.
func TestRecovery_AttemptInFlightAtKill(t *testing.T) {
	tests := []struct {
		name, class string
		keyTTL      float64
		repeated    bool
	}{
		{"idempotent", "status", 15, true},
		{"key remembered", "payment", 15, true},
		{"key expired", "payment", 0.05, false},
		{"not idempotent", "order", 15, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			p.keyTTL = tt.keyTTL
			p.addEndpoint("h1", 7)
			p.respond = func(*http.Request) int { return 0 }
			c := p.start()
			p.mustAccept(tt.class, "m", "25")
			p.nextAttempt()
			p.kill(c)
			time.Sleep(100 * time.Millisecond) // past the short key TTL
			var key string
			p.update(func() {
				p.respond = func(r *http.Request) int {
					key = r.Header.Get("Idempotency-Key")
					return http.StatusOK
				}
			})
			p.start()
			if tt.repeated {
				p.nextAttempt()
				if key != "key-m" {
					t.Errorf("key %q", key)
				}
			}
			p.waitFor("the request is completed", func() bool { return len(readEntries(t, p.dir)) == 0 })
			want := map[bool]int{true: 2, false: 1}[tt.repeated]
			if got := p.attempts(); len(got) != want {
				t.Errorf("attempts %v, want %d", got, want)
			}
			if n := p.receivedNotices(); len(n) != map[bool]int{true: 0, false: 1}[tt.repeated] {
				t.Errorf("notices %v", n)
			} else if tt.class == "order" && n[0].Status != notification.Undeliverable {
				t.Errorf("a request that is not idempotent, with unknown outcome, was deferred: %v", n)
			}
		})
	}
}

// Attempts that were not executed do not keep the next process from retrying, and a request keeps its deadline: a request whose
// deadline passes between two processes is failed by the second.
func TestRecovery_NotExecutedAttemptsAllowRetry(t *testing.T) {
	p := newPlatform(t)
	h := p.addEndpoint("h1", 7)
	p.endpoints[0].Address, p.endpoints[0].Weight = refusingAddress(t), 1 // tried rarely, so that not all attempts are used up
	c := p.start()
	p.mustAccept("order", "late", "0.6")
	p.mustAccept("order", "open", "25")
	p.waitFor("an attempt is in the journal", func() bool {
		e := readEntries(t, p.dir)
		return len(e) > 0 && len(e[0].Attempts) > 0 && e[0].Attempts[0].NotExecuted
	})
	p.kill(c)
	time.Sleep(600 * time.Millisecond)
	p.update(func() { p.endpoints[0] = h })
	p.start()
	if id := p.nextAttempt(); id != "open" {
		t.Errorf("attempt for %s", id)
	}
	p.waitFor("both requests are completed", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.receivedNotices(); len(n) != 1 || n[0].ID != "late" {
		t.Errorf("notices %v", n)
	}
}

// A request whose class is no longer in the settings, and whose terms are not in the journal, is failed with a notice.
func TestRecovery_FailsRequestOfRemovedClass(t *testing.T) {
	dir := t.TempDir()
	j := openEarlierJournal(t, dir)
	j.Accept(&journal.Entry{ID: "m", Class: "parcel", Destination: 7, Deadline: j.Timeline().Now().Add(time.Minute)})
	mustCommit(t, j)
	p := newPlatform(t)
	p.dir = dir
	p.start()
	p.waitFor("its notice is received", func() bool { return len(p.receivedNotices()) == 1 })
	if n := p.receivedNotices()[0]; n != (notification.Notice{ID: "m", Status: notification.Undeliverable}) {
		t.Errorf("notice %v", n)
	}
}
