package relay

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mallowlead/internal/discovery"
	"mallowlead/internal/journal"
	"mallowlead/internal/notices"
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

// Order outlasts a kill: what was taken on before goes first, one at a time.
func TestOrderAfterAKill(t *testing.T) {
	p := newPlatform(t)
	p.inOrder("status")
	p.addHost("h1", 7)
	j := earlier(t, p.dir)
	for _, id := range []string{"a1", "a2"} {
		j.Take(&journal.Entry{ID: id, Class: "status", Dest: 7, Item: "a", Expires: time.Now().Add(time.Minute)})
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
		list, _ := readJournal(t, p.dir).Listed()
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
			j.List(discovery.Members{Seq: tt.told, Whole: true, Hosts: []discovery.Member{{Host: "h", Block: int(tt.told)}}}, tt.from)
		}
		l := &loop{journal: j, cfg: &Config{Discovery: here, Known: discovery.Members{Seq: tt.known,
			Hosts: []discovery.Member{{Host: "h", Block: int(tt.known)}}}}}
		if got := l.lastList(); got.Seq != tt.wantAt || int64(got.Hosts[0].Block) != tt.want {
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
		return len(e) == 1 && e[0].Owed != nil && e[0].Owed.Status == notices.Undeliverable
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
