package relay

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/wait/waittest"
)

// These tests have settings of other customers than testSettings has.

// item has a message be about something, in the way of classes in order.
func item(name string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Cookie", "other=1; subject="+name) }
}

// firsts are the messages that hosts were sent, in the order of their first calls: one that is not answered is sent again.
func (p *platform) firsts() (ids []string) {
	for _, id := range p.sent() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// gate has calls of one message wait until it is opened.
func (p *platform) gate(id string) (open func()) {
	free := make(chan bool)
	open = sync.OnceFunc(func() { close(free) })
	p.t.Cleanup(open)
	p.answer = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == id {
			<-free
		}
		return http.StatusOK
	}
	return open
}

// inOrder has a class keep its order.
func (p *platform) inOrder(class string) {
	p.settings = func(s string) string {
		return strings.Replace(s, `{"name":"`+class+`",`, `{"name":"`+class+`","fifo_by_key":true,`, 1)
	}
}

// Messages of a class in order that are about the same thing go one at a time, in the order in which they came; others go
// beside them. Before, the relay did not read what a message is about, and all went at once.
func TestClassInOrder(t *testing.T) {
	p := newPlatform(t)
	p.inOrder("status")
	p.addHost("h1", 7)
	open := p.gate("a1")
	p.start()
	hand := func(class, id string, change ...func(*http.Request)) {
		t.Helper()
		if resp := p.handIn(class, id, "20", change...); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", id, resp.Status)
		}
	}
	hand("status", "a1", item("a"))
	hand("status", "a2", item("a"))
	hand("status", "a3", item("a"))
	hand("status", "b1", item("b"))     // about something else
	hand("status", "free")              // about nothing
	hand("payment", "other", item("a")) // of a class without order
	p.until("what is free goes", func() bool { return len(p.firsts()) == 4 })
	open()
	p.until("all go", func() bool { return len(p.firsts()) == 6 })
	sent := p.firsts()
	if sent[0] != "a1" || sent[4] != "a2" || sent[5] != "a3" {
		t.Errorf("sent %v", sent)
	}
	for _, change := range []func(*http.Request){item("a; subject=b"), item(strings.Repeat("x", 300))} {
		if resp := p.handIn("status", "odd", "20", change); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("what it is about can't be told: %s", resp.Status)
		}
	}
}

// The next of a line goes once the platform has the notice of the one before it, and not when that is merely decided: also
// where posts fail for a while.
func TestOrderWaitsForTheNotice(t *testing.T) {
	p := newPlatform(t)
	p.settings = func(s string) string {
		return strings.Replace(s, `{"name":"order",`, `{"name":"order","fifo_by_key":true,`, 1)
	}
	p.addHost("h1", 7)
	var early atomic.Bool
	p.answer = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == "first" {
			return http.StatusInternalServerError // it may have run, and can't be sent again
		}
		early.Store(len(p.told()) == 0)
		return http.StatusOK
	}
	p.deaf = 5
	p.start()
	for _, id := range []string{"first", "second"} {
		if resp := p.handIn("order", id, "20", item("a")); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", id, resp.Status)
		}
	}
	p.until("the second goes", func() bool { return slices.Contains(p.sent(), "second") })
	if early.Load() {
		t.Error("sent before the notice of the first was received")
	}
	p.until("nothing is left", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// The notice of a message that an earlier process ended is still owed: the next of its key, taken on by that process as well, goes
// once it was received, and what has another key before.
func TestOrderWaitsForAnEarlierNotice(t *testing.T) {
	p := newPlatform(t)
	p.inOrder("status")
	p.addHost("h1", 7)
	j := earlier(t, p.dir)
	for _, id := range []string{"a1", "a2", "b1"} {
		j.Accept(&journal.Entry{ID: id, Class: "status", Destination: 7, OrderKey: id[:1], Deadline: j.Timeline().Now().Add(time.Minute)})
	}
	commit(t, j)
	j.DecideOutcome(j.Get("a1"), notification.Notice{ID: "a1", Status: notification.Deferred}, "", j.Timeline().Now())
	commit(t, j)
	p.deaf = 1 << 30
	p.start()
	p.take("status", "free", "20")
	p.until("what is free goes", func() bool { return slices.Contains(p.sent(), "b1") && slices.Contains(p.sent(), "free") })
	p.set(func() {
		p.deaf = 0
		if slices.Contains(p.calls, "a2") {
			t.Error("a2 was sent before the notice of a1 was received")
		}
	})
	p.until("nothing is left", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if sent := p.sent(); !slices.Contains(sent, "a2") || slices.Contains(sent, "a1") {
		t.Errorf("sent %v", sent)
	}
}

// Order outlasts a kill: what was taken on before goes first, one at a time.
func TestOrderAfterAKill(t *testing.T) {
	p := newPlatform(t)
	p.inOrder("status")
	p.addHost("h1", 7)
	j := earlier(t, p.dir)
	for _, id := range []string{"a1", "a2"} {
		j.Accept(&journal.Entry{ID: id, Class: "status", Destination: 7, OrderKey: "a", Deadline: j.Timeline().Now().Add(time.Minute)})
	}
	commit(t, j)
	open := p.gate("a1")
	p.start()
	if resp := p.handIn("status", "a3", "20", item("a")); resp.StatusCode != http.StatusAccepted {
		t.Fatal(resp.Status)
	}
	p.take("status", "free", "20")
	p.until("what is free goes", func() bool { return len(p.firsts()) == 2 })
	open()
	p.until("all go", func() bool { return len(p.firsts()) == 4 })
	if sent := p.firsts(); sent[2] != "a2" || sent[3] != "a3" || !slices.Contains(sent[:2], "a1") {
		t.Errorf("sent %v", sent)
	}
}

// Where the platform pushes lists, the relay has a watch as well, and it asks for one at once however many relays there are:
// what its agent has counts as told. Before, it never asked and knew the configuration's list alone.
func TestPushedLists(t *testing.T) {
	p := newPlatform(t)
	p.settings = func(s string) string {
		return strings.NewReplacer(`"discovery":"subscribe"`, `"discovery":"automatic"`, `"n_instances":1`, `"n_instances":300`).Replace(s)
	}
	h := p.addHost("h1", 7)
	p.start()
	p.until("a watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.watches) == 1
	})
	next := p.addHost("h2", 7)
	h.Health = discovery.Draining
	p.lines <- hostLine(t, 42, h, next)
	p.until("the change is known", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 42
	})
	p.take("status", "m", "20")
	p.called()
	p.until("it is delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// The newest list that is known of counts at a start: an earlier process's, or the configuration's where the platform has
// heard more since; of another discovery's versions nothing can be told.
func TestNewestListAtAStart(t *testing.T) {
	const here, elsewhere = "127.0.0.1:1", "127.0.0.1:2"
	for _, tt := range []struct {
		name         string
		known, told  int64
		from         string
		want, wantAt int64 // whose list, and from which version the watch asks
	}{
		{"none was told", 7, 0, "", 7, 7},
		{"told since", 7, 9, here, 9, 9},
		{"the same", 9, 9, here, 9, 9},
		{"heard since", 12, 9, here, 12, 12},
		{"another discovery's", 12, 9, elsewhere, 9, 0},
	} {
		j := earlier(t, t.TempDir())
		if tt.told > 0 {
			j.UpdateEndpoints(discovery.EndpointList{Seq: tt.told, Full: true, Endpoints: []discovery.Endpoint{{Host: "h", Block: int(tt.told)}}}, tt.from)
		}
		l := &loop{journal: j, cfg: &Config{Discovery: here, Known: discovery.EndpointList{
			Seq:       tt.known,
			Endpoints: []discovery.Endpoint{{Host: "h", Block: int(tt.known)}},
		}}}
		if got := l.latestEndpointList(); got.Seq != tt.wantAt || int64(got.Endpoints[0].Block) != tt.want {
			t.Errorf("%s: %+v", tt.name, got)
		}
	}
}

// A copy of a message whose end only waits for the platform to hear of it is no new one, and no refused one either: a refusal
// would say that it never ran.
func TestCopyOfAMessageThatMayHaveRun(t *testing.T) {
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return http.StatusInternalServerError }
	p.deaf = 1 << 30
	p.start()
	p.take("order", "m", "20")
	p.called()
	p.until("its end is decided", func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && e[0].PendingNotice != nil && e[0].PendingNotice.Status == notification.Undeliverable
	})
	if resp := p.handIn("order", "m", "20"); resp.StatusCode != http.StatusAccepted {
		t.Errorf("a copy: %s", resp.Status)
	}
	p.set(func() { p.deaf = 0 })
	p.until("the platform has its end", func() bool { return len(p.told()) == 1 })
	if sent := p.sent(); len(sent) != 1 {
		t.Errorf("sent %v", sent)
	}
}

// A customer of whom nothing is known but what its settings say is served: other classes, tenants, zones, kinds, limits and figures.
// Settings that can't be served end the process before it is ready, in one line that names file, key and reason, and what was
// taken on before outlasts that.
func TestACustomerOfItsOwn(t *testing.T) {
	const made = `{"az":1,"categories":[
	 {"name":"ferry","aim_s":0.7,"deadline_s":21,"idempotency":"fragile","group":"all","points":7.5,"late_share":0.05},
	 {"name":"kelp","aim_s":3,"deadline_s":23,"idempotency":"dedup","group":"zone","memory_span_s":2.5,"points":0.3,"fifo_by_key":true},
	 {"name":"buoy-7","aim_s":1,"deadline_s":20,"idempotency":"retryable","group":"all","points":1,"late_share":1},
	 {"name":"x","aim_s":0,"deadline_s":22,"idempotency":"retryable","group":"all","points":0}],
	 "discovery":"automatic","limits":{"cancel":false,"conn_idle_s":3.5,"connect_timeout_s":0.4,"max_attempts":3,
	 "max_open":9,"max_retry_after_s":0,"retry_after":false,"peers":false,"probing":false},"localities":["reef","shoal"],
	 "n_instances":17,"quantum_s":0.004,"order_pause_s":0.2,"over_share_worth":0.7,
	 "rules":{"cold_share":0.4,"overload_factor":1.5,"overload_for_s":0.8,"ramp_time_s":4,"drain_grace_s":0.1,"ask_within_s":30,
	 "order_pause_s":0.3},"shapes":["atoll","m2"],"specifics":{"bundle_max":[4,1],"loses_worth":"halving","max_calls":2,
	 "separate_routes":[true,false],"route_fee":[0.01,0.02]},"tenants":[{"name":"gull"},{"name":"tern"}],"weights":"off"}`
	p := newPlatform(t)
	p.addHost("h1", 7)
	p.settings = func(string) string { return made }
	of := func(tenant string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("Tenant", tenant) }
	}
	c := p.start()
	for i, class := range []string{"ferry", "kelp", "buoy-7", "x"} {
		id := "m-" + class
		if resp := p.handIn(class, id, "20", of([]string{"gull", "tern"}[i%2]), item("tide")); resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %s", class, resp.Status)
		}
		if got := p.called(); got != id {
			t.Errorf("call for %s, want %s", got, id)
		}
	}
	p.until("all are delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
	for class, tenant := range map[string]string{"status": "gull", "ferry": "acme"} { // another customer's
		if resp := p.handIn(class, "no", "20", of(tenant)); resp.StatusCode/100 != 4 {
			t.Errorf("%s of %s: %s", class, tenant, resp.Status)
		}
	}
	p.kill(c)
	j := earlier(t, p.dir)
	j.Accept(&journal.Entry{ID: "held", Class: "ferry", Destination: 7, Deadline: j.Timeline().Now().Add(time.Minute)})
	commit(t, j)
	p.settings = func(string) string { return strings.Replace(made, `"deadline_s":23`, `"deadline_s":0`, 1) }
	bad := p.begin()
	if err := waittest.Receive(t, bad.exited); err == nil {
		t.Error("settings that can't be served: exit code 0")
	}
	said := strings.TrimSpace(bad.Stderr.(*bytes.Buffer).String())
	if strings.Contains(said, "\n") || !strings.Contains(said, p.path) || !strings.Contains(said, "categories[1].deadline_s") {
		t.Errorf("said %q", said)
	}
	p.settings = func(string) string { return made }
	p.start()
	p.until("what was taken on before is delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
	if n := p.told(); len(n) != 0 {
		t.Errorf("given up: %v", n)
	}
}
