package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/wait/waittest"
)

func TestDelivery(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.start()
	for _, id := range []string{"a", "b", "c"} {
		p.take("payment", id, "20")
		if got := p.called(); got != id {
			t.Errorf("call for %s, want %s", got, id)
		}
	}
	p.until("nothing is left in the journal", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.told(); len(n) != 0 {
		t.Errorf("notices for delivered messages: %v", n)
	}
}

// readJournal reads a journal that a relay may be writing.
func readJournal(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	j, err := journal.Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// earlier is the journal of an earlier process.
func earlier(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	j, err := journal.Open(dir, 3, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

func commit(t *testing.T, j *journal.Journal) {
	t.Helper()
	if err := j.Commit(); err != nil {
		t.Fatal(err)
	}
}

func readEntries(t *testing.T, dir string) []*journal.Entry {
	t.Helper()
	return readJournal(t, dir).Entries()
}

func readHealth(t *testing.T, dir string) map[string]journal.Health {
	t.Helper()
	return readJournal(t, dir).Health()
}

// Malformed requests get a plain 4xx other than 429, nothing is taken on, and the relay goes on.
func TestMalformedRequests(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.start()
	header := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	body := func(n int) func(*http.Request) {
		return func(r *http.Request) {
			text := strings.Repeat("x", n)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(n)
		}
	}
	tests := []struct {
		name, class string
		change      func(*http.Request)
		want        int
	}{
		{"unknown class", "parcel", header("A", "b"), 404},
		{"no class", "", header("A", "b"), 404},
		{"other method", "status", func(r *http.Request) { r.Method = http.MethodPut }, 405},
		{"unknown tenant", "status", header("Tenant", "nobody"), 400},
		{"no tenant", "status", header("Tenant", ""), 400},
		{"no destination", "status", header("X-Envelope", ""), 400},
		{"odd destination", "status", header("X-Envelope", "dest=seven"), 400},
		{"negative destination", "status", header("X-Envelope", "dest=-7"), 400},
		{"huge destination", "status", header("X-Envelope", "dest=99999999999999999999"), 400},
		{"no id", "status", header("Request-Id", ""), 400},
		{"long id", "status", header("Request-Id", strings.Repeat("i", frontend.MaxNameLength+1)), 400},
		{"no key in a keyed class", "payment", header("Idempotency-Key", ""), 400},
		{"no time-out", "status", header("Request-Timeout", ""), 400},
		{"time-out of zero", "status", header("Request-Timeout", "0"), 400},
		{"negative time-out", "status", header("Request-Timeout", "-1"), 400},
		{"time-out is no number", "status", header("Request-Timeout", "soon"), 400},
		{"time-out NaN", "status", header("Request-Timeout", "NaN"), 400},
		{"endless time-out", "status", header("Request-Timeout", "+Inf"), 400},
		{"absurd time-out", "status", header("Request-Timeout", "99999999999999999999999"), 400},
		{"body too large", "status", body(frontend.MaxBodySize + 1), 413},
	}
	for _, tt := range tests {
		if resp := p.handIn(tt.class, "bad", "5", tt.change); resp.StatusCode != tt.want {
			t.Errorf("%s: %s, want %d", tt.name, resp.Status, tt.want)
		}
	}
	for _, change := range []func(*http.Request){
		body(frontend.MaxBodySize), header("Request-Timeout", "3600"),
		header("X-Envelope", "a=1, dest=7"),
	} {
		id := "good" + string(rune('0'+len(p.sent())))
		if resp := p.handIn("status", id, "5", change); resp.StatusCode != http.StatusAccepted {
			t.Errorf("%s: %s", id, resp.Status)
		}
		p.called()
	}
	if slices.Contains(p.sent(), "bad") {
		t.Error("a malformed message was sent on")
	}
}

// A destination that no list has named is refused: the list may lag, and the module keeps state for each.
func TestUnknownDestination(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.start()
	resp := p.handIn("status", "m", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%s, %v", resp.Status, resp.Header)
	}
	p.addHost("h8", 8)
	p.lines <- hostLine(t, 43, p.hosts[1])
	p.until("it is listed and taken", func() bool {
		r := p.handIn("status", "m", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
		return r.StatusCode == http.StatusAccepted
	})
	p.called()
}

// What could not be delivered ends by one notice, which is posted until it is received.
func TestNoticeUntilReceived(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 }
	p.deaf = 3
	p.start()
	p.take("order", "m", "0.4")
	p.until("the notice is received", func() bool { return len(p.told()) > 0 })
	if n := p.told(); len(n) != 1 || n[0] != (notification.Notice{ID: "m", Status: notification.Undeliverable}) {
		t.Errorf("notices: %v", n)
	}
	if p.deaf != 0 {
		t.Errorf("%d failures left", p.deaf)
	}
	p.until("the journal forgets it", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// The ends that answers tell: 410 leaves nothing owed, 504 a notice, and there are no further calls.
func TestTerminalAnswers(t *testing.T) {
	for status, want := range map[int]int{http.StatusGone: 0, http.StatusGatewayTimeout: 1} {
		p := newPlatform(t)
		p.addHost("h1", 7)
		p.answer = func(*http.Request) int { return status }
		p.start()
		p.take("status", "m", "20")
		p.until("it is over", func() bool { return len(p.sent()) > 0 && len(readEntries(t, p.dir)) == 0 })
		if n := p.told(); len(n) != want || want > 0 && n[0].Status != notification.Deferred {
			t.Errorf("%d: notices %v", status, n)
		}
		if c := p.sent(); len(c) != 1 {
			t.Errorf("%d: calls %v", status, c)
		}
	}
}

// A process is killed with a call out. The next one may make it again only as its class allows, and ends
// each message exactly once.
func TestKilledWithCallsOut(t *testing.T) {
	tests := []struct {
		name, class string
		memory      float64
		again       bool
	}{
		{"safe", "status", 15, true},
		{"keyed, remembered", "payment", 15, true},
		{"keyed, forgotten", "payment", 0.05, false},
		{"unsafe", "order", 15, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			p.memory = tt.memory
			p.addHost("h1", 7)
			p.answer = func(*http.Request) int { return 0 }
			c := p.start()
			p.take(tt.class, "m", "25")
			p.called()
			p.kill(c)
			time.Sleep(100 * time.Millisecond) // past the short memory
			var key string
			p.set(func() {
				p.answer = func(r *http.Request) int {
					key = r.Header.Get("Idempotency-Key")
					return http.StatusOK
				}
			})
			p.start()
			if tt.again {
				p.called()
				if key != "key-m" {
					t.Errorf("key %q", key)
				}
			}
			p.until("it is over", func() bool { return len(readEntries(t, p.dir)) == 0 })
			want := map[bool]int{true: 2, false: 1}[tt.again]
			if got := p.sent(); len(got) != want {
				t.Errorf("calls %v, want %d", got, want)
			}
			if n := p.told(); len(n) != map[bool]int{true: 0, false: 1}[tt.again] {
				t.Errorf("notices %v", n)
			} else if tt.class == "order" && n[0].Status != notification.Undeliverable {
				t.Errorf("an unsafe message that may have run was handed back: %v", n)
			}
		})
	}
}

// Attempts that never ran do not bind the next process, and a message keeps its time: one whose time ran
// out between two processes still gets its end.
func TestKilledWhileHolding(t *testing.T) {
	p := newPlatform(t)
	h := p.addHost("h1", 7)
	p.hosts[0].Dial, p.hosts[0].Share = closedAddress(t), 1 // tried rarely, so that attempts remain
	c := p.start()
	p.take("order", "late", "0.6")
	p.take("order", "kept", "25")
	p.until("an attempt is noted", func() bool {
		e := readEntries(t, p.dir)
		return len(e) > 0 && len(e[0].Attempts) > 0 && e[0].Attempts[0].NotExecuted
	})
	p.kill(c)
	time.Sleep(600 * time.Millisecond)
	p.set(func() { p.hosts[0] = h })
	p.start()
	if id := p.called(); id != "kept" {
		t.Errorf("call for %s", id)
	}
	p.until("both are over", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.told(); len(n) != 1 || n[0].ID != "late" {
		t.Errorf("notices %v", n)
	}
}

// A planned end: answers close their connections, nothing that was read goes unanswered, calls out come to
// their end, and the rest is for the next process.
func TestPlannedRestart(t *testing.T) {
	p := newPlatform(t)
	h := p.addHost("h1", 7)
	p.addHost("h8", 8)
	p.hosts[0].Dial, p.hosts[0].Share = closedAddress(t), 1 // tried rarely, so that attempts remain
	c := p.start()
	p.take("order", "before", "25")
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	n := 0
	p.until("answers close connections", func() bool {
		n++
		resp := p.handIn("status", "after"+string(rune('a'+n%26))+string(rune('a'+n/26%26)), "25",
			func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("while it ends: %s", resp.Status)
		}
		return resp.Close
	})
	select {
	case err := <-c.exited:
		if err != nil {
			t.Errorf("exit: %v", err)
		}
	case <-time.After(waittest.Long):
		t.Fatal("no exit after SIGTERM")
	}
	if got := len(p.sent()); got != n {
		t.Errorf("%d of %d delivered before the end", got, n)
	}
	if e := readEntries(t, p.dir); len(e) != 1 || e[0].ID != "before" {
		t.Fatalf("left for the next process: %v", e)
	}
	p.set(func() { p.hosts[0] = h })
	p.start()
	p.until("the rest is delivered", func() bool { return slices.Contains(p.sent(), "before") })
}

// A notice that the platform has not received is owed by the next process too.
func TestNoticeOwedThroughRestart(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 }
	p.deaf = 1 << 30
	c := p.start()
	p.take("order", "m", "0.3")
	p.until("the notice is owed", func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && e[0].PendingNotice != nil
	})
	p.kill(c)
	p.set(func() { p.deaf = 0 })
	p.start()
	p.until("the notice is received", func() bool { return len(p.told()) == 1 })
	p.until("the journal forgets it", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.sent(); len(n) != 1 {
		t.Errorf("calls: %v", n)
	}
}

// The same message handed in twice, as after a connection that broke, is taken on once.
func TestSameMessageTwice(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 }
	p.start()
	p.take("order", "m", "20")
	p.called()
	p.take("order", "m", "20")
	if e := readEntries(t, p.dir); len(e) != 1 {
		t.Errorf("entries: %d", len(e))
	}
	if c := p.sent(); len(c) != 1 {
		t.Errorf("calls: %v", c)
	}
}

// A copy of a message that is over is not taken on as a new one.
func TestCopyOfDelivered(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.start()
	p.take("order", "m", "20")
	p.called()
	p.until("it is over", func() bool { return len(readEntries(t, p.dir)) == 0 })
	p.take("order", "m", "20")
	p.take("order", "n", "20")
	p.called()
	if c := p.sent(); !slices.Equal(c, []string{"m", "n"}) {
		t.Errorf("calls: %v", c)
	}
}

// An outage that was seen outlasts the process, for a host that the configuration's list lacks as well.
func TestOutageRememberedThroughRestart(t *testing.T) {
	for _, known := range []bool{true, false} {
		p := newPlatform(t)
		p.addHost("h1", 7)
		p.hosts[0].Share = 0.05 // a budget of one knock in many seconds
		up := p.hosts[0]
		p.hosts[0].Dial = closedAddress(t)
		c := p.start()
		p.take("status", "a", "25")
		p.until("the outage is noted", func() bool { return readHealth(t, p.dir)["h1"].Unhealthy })
		p.kill(c)
		p.set(func() { p.hosts[0] = up })
		if !known {
			p.set(func() { p.unknown = true })
		}
		p.start()
		resp := p.handIn("status", "b", "25")
		for ; resp.StatusCode == http.StatusServiceUnavailable; resp = p.handIn("status", "b", "25") {
			time.Sleep(10 * time.Millisecond) // not listed yet
		}
		// A fresh relay would take it on and send at once; in an outage the next knock is too far off.
		if resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("known %v: %s", known, resp.Status)
		}
		if got := p.sent(); len(got) > 1 {
			t.Errorf("known %v: %v sent at once to a destination that was out", known, got)
		}
	}
}

// A message whose class the settings no longer have is ended all the same.
func TestClassGone(t *testing.T) {
	dir := t.TempDir()
	j := earlier(t, dir)
	j.Accept(&journal.Entry{ID: "m", Class: "parcel", Destination: 7, Deadline: j.Timeline().Now().Add(time.Minute)})
	commit(t, j)
	p := newPlatform(t)
	p.dir = dir
	p.start()
	p.until("its notice is received", func() bool { return len(p.told()) == 1 })
	if n := p.told()[0]; n != (notification.Notice{ID: "m", Status: notification.Undeliverable}) {
		t.Errorf("notice %v", n)
	}
}

// A relay that cannot listen ends with an error before it has called anyone.
func TestCannotListen(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	j := earlier(t, p.dir)
	j.Accept(&journal.Entry{ID: "m", Class: "status", Destination: 7, Deadline: j.Timeline().Now().Add(time.Minute)})
	commit(t, j)
	taken, err := net.Listen("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg, err := ReadConfig(p.config())
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), cfg, p.dir, nil); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v", err)
	}
	if e := readEntries(t, p.dir); len(e) != 1 || len(e[0].Attempts) != 0 {
		t.Errorf("the journal was worked on: %v", e)
	}
}

// closedAddress is an address at which connections are refused.
func closedAddress(t *testing.T) string {
	t.Helper()
	p := newPlatform(t)
	return p.addr
}

// A client that leaves, or whose id another uses for a copy, withdraws no other's message: what counts is the
// request that brought it.
func TestDepartureWithAnothersID(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 }
	p.start()
	p.take("order", "m", "20")
	p.called()
	for range 20 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(c, "POST /status HTTP/1.1\r\nHost: x\r\nRequest-Id: m\r\nTenant: acme\r\nRequest-Timeout: 5\r\n"+
			"X-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n")
		if err = errors.Join(err, c.Close()); err != nil {
			t.Fatal(err)
		}
	}
	p.take("order", "m", "20") // all the copies have been looked at before this one
	if e := readEntries(t, p.dir); len(e) != 1 || len(e[0].Attempts) != 1 || e[0].Attempts[0].Ended {
		t.Errorf("entries %v", e)
	}
}
