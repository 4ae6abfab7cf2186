package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"frostlink/internal/discovery"
)

// The newest list that is known of counts at a start: an earlier process's, or the configuration's where the platform has
// heard more since; of another discovery's versions nothing can be told.
func TestLatestEndpointList(t *testing.T) {
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
		j := openEarlierJournal(t, t.TempDir())
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

// Where the platform pushes lists, the relay has a watch as well, and it asks for one at once however many relays there are:
// what its agent has counts as told. Before, it never asked and knew the configuration's list alone.
func TestEndpoints_WatchesPushedLists(t *testing.T) {
	p := newPlatform(t)
	p.changeSettings = func(s string) string {
		return strings.NewReplacer(`"discovery":"subscribe"`, `"discovery":"automatic"`, `"n_instances":1`, `"n_instances":300`).Replace(s)
	}
	h := p.addEndpoint("h1", 7)
	p.start()
	p.waitFor("a watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.watches) == 1
	})
	next := p.addEndpoint("h2", 7)
	h.Health = discovery.Draining
	p.watchLines <- watchLine(t, 42, h, next)
	p.waitFor("the change is known", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 42
	})
	p.mustAccept("status", "m", "20")
	p.nextAttempt()
	p.waitFor("it is delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// A host that drains gets nothing new, and one that is not of a destination nothing at all.
func TestEndpoints_DrainingGetsNoNewRequests(t *testing.T) {
	p := newPlatform(t)
	old := p.addEndpoint("h1", 7)
	p.start()
	p.mustAccept("status", "a", "20")
	p.nextAttempt()
	old.Health = discovery.Draining
	fresh := p.addEndpoint("h2", 7)
	var hit string
	p.update(func() {
		p.respond = func(r *http.Request) int {
			hit = r.Host
			return http.StatusOK
		}
	})
	p.watchLines <- watchLine(t, 42, old)
	p.watchLines <- watchLine(t, 43, fresh)
	n := 0
	p.waitFor("the new host is used", func() bool {
		n++
		p.mustAccept("status", "b"+strings.Repeat("b", n), "20")
		p.nextAttempt()
		return hit == fresh.Dial
	})
	for range 5 {
		n++
		p.mustAccept("status", "b"+strings.Repeat("b", n), "20")
		if p.nextAttempt(); hit != fresh.Dial {
			t.Fatal("a draining host got new work")
		}
	}
}

// A host that was told to drain gets nothing from the next process either, though the configuration's list is
// older than that and discovery is down.
func TestEndpoints_DrainingIsKnownAfterRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addEndpoint("h1", 7)
	c := p.start()
	old.Health = discovery.Draining
	p.watchLines <- watchLine(t, 42, old)
	p.waitFor("the change is noted", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 42
	})
	p.kill(c)
	p.update(func() { p.discoveryDown = true })
	p.start()
	p.mustAccept("status", "m", "0.5")
	p.waitFor("it has its end", func() bool { return len(p.receivedNotices()) == 1 })
	if calls := p.attempts(); len(calls) != 0 {
		t.Errorf("calls at a draining host: %v", calls)
	}
}

// A list of a discovery that told an earlier process is kept through a restart, but its version is not asked
// for at another one.
func TestEndpoints_ListOfAnotherDiscoveryHasNoVersion(t *testing.T) {
	p := newPlatform(t)
	h := p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	h.Health = discovery.Draining
	j.UpdateEndpoints(discovery.EndpointList{Seq: 70, Full: true, Endpoints: []discovery.Endpoint{h}}, "127.0.0.1:1")
	mustCommit(t, j)
	p.start()
	p.waitFor("the watch is on", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.watches) == 1
	})
	if w := p.watches[0]; !strings.Contains(w, "index=0") {
		t.Errorf("watch %s, want the whole list", w)
	}
}

// The list that the configuration gave outlasts the process too, where discovery has told changes of it only.
func TestEndpoints_ConfiguredListOutlastsProcess(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.changesOnly = true
	c := p.start()
	p.watchLines <- watchLine(t, 41, discovery.Endpoint{Host: "h9", Dial: "127.0.0.1:1", Site: "a", Class: "m2", Block: 9, Health: "SERVING"})
	p.waitFor("the change is noted", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 41
	})
	p.kill(c)
	p.update(func() { p.noKnownEndpoints = true })
	p.start()
	p.mustAccept("status", "m", "20")
	p.nextAttempt()
}

// An outage that was seen outlasts the process, for a host that the configuration's list lacks as well.
func TestEndpoints_OutageIsKnownAfterRestart(t *testing.T) {
	for _, known := range []bool{true, false} {
		p := newPlatform(t)
		p.addEndpoint("h1", 7)
		p.endpoints[0].Share = 0.05 // a budget of one knock in many seconds
		up := p.endpoints[0]
		p.endpoints[0].Dial = refusingAddress(t)
		c := p.start()
		p.mustAccept("status", "a", "25")
		p.waitFor("the outage is noted", func() bool { return readHealth(t, p.dir)["h1"].Unhealthy })
		p.kill(c)
		p.update(func() { p.endpoints[0] = up })
		if !known {
			p.update(func() { p.noKnownEndpoints = true })
		}
		p.start()
		resp := p.submit("status", "b", "25")
		for ; resp.StatusCode == http.StatusServiceUnavailable; resp = p.submit("status", "b", "25") {
			time.Sleep(10 * time.Millisecond) // not listed yet
		}
		// A fresh relay would take it on and send at once; in an outage the next knock is too far off.
		if resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("known %v: %s", known, resp.Status)
		}
		if got := p.attempts(); len(got) > 1 {
			t.Errorf("known %v: %v sent at once to a destination that was out", known, got)
		}
	}
}
