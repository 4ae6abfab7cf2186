package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"frostlink/internal/discovery"
)

// A process starts from the newest known list: an earlier process's list, or the configuration's list if that is newer. A
// list of another discovery service is used, but without its version, since the versions of two services can't be compared.
func TestLatestEndpointList(t *testing.T) {
	const here, elsewhere = "127.0.0.1:1", "127.0.0.1:2"
	for _, tt := range []struct {
		name                   string
		configured, journalled int64
		from                   string
		want, wantAt           int64 // the version of the list that is used, and the version from which the watch requests changes
	}{
		{"no list in the journal", 7, 0, "", 7, 7},
		{"a newer list in the journal", 7, 9, here, 9, 9},
		{"the same version", 9, 9, here, 9, 9},
		{"a newer list in the configuration", 12, 9, here, 12, 12},
		{"a list of another discovery service", 12, 9, elsewhere, 9, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			j := openEarlierJournal(t, t.TempDir())
			if tt.journalled > 0 {
				j.UpdateEndpoints(discovery.EndpointList{Seq: tt.journalled, Full: true, Endpoints: []discovery.Endpoint{{ID: "h", Destination: int(tt.journalled)}}}, tt.from)
			}
			l := &loop{journal: j, cfg: &Config{Discovery: here, KnownEndpoints: discovery.EndpointList{
				Seq:       tt.configured,
				Endpoints: []discovery.Endpoint{{ID: "h", Destination: int(tt.configured)}},
			}}}
			if got := l.latestEndpointList(); got.Seq != tt.wantAt || int64(got.Endpoints[0].Destination) != tt.want {
				t.Errorf("%s: %+v", tt.name, got)
			}
		})
	}
}

// If the platform pushes lists, the relay still opens a watch, and does so at once however many relays there are. Guards against
// a relay that stays with the configuration's list.
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
	p.waitFor("the change is in the journal", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 42
	})
	p.mustAccept("status", "m", "20")
	p.nextAttempt()
	p.waitFor("the request is delivered", func() bool { return len(readEntries(t, p.dir)) == 0 })
}

// A draining endpoint gets no new requests.
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
	p.waitFor("the new endpoint is used", func() bool {
		n++
		p.mustAccept("status", "b"+strings.Repeat("b", n), "20")
		p.nextAttempt()
		return hit == fresh.Address
	})
	for range 5 {
		n++
		p.mustAccept("status", "b"+strings.Repeat("b", n), "20")
		if p.nextAttempt(); hit != fresh.Address {
			t.Fatal("a draining endpoint got a new request")
		}
	}
}

// An endpoint that drained before a restart gets no requests after it, even though the configuration's list is older than the
// change and discovery is down.
func TestEndpoints_DrainingIsKnownAfterRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addEndpoint("h1", 7)
	c := p.start()
	old.Health = discovery.Draining
	p.watchLines <- watchLine(t, 42, old)
	p.waitFor("the change is in the journal", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 42
	})
	p.kill(c)
	p.update(func() { p.discoveryDown = true })
	p.start()
	p.mustAccept("status", "m", "0.5")
	p.waitFor("the request has failed", func() bool { return len(p.receivedNotices()) == 1 })
	if attempts := p.attempts(); len(attempts) != 0 {
		t.Errorf("attempts at a draining endpoint: %v", attempts)
	}
}

// After a restart, the list of the discovery service that an earlier process watched is used, but another discovery service is
// asked for the full list instead of the changes since that version.
func TestEndpoints_ListOfAnotherDiscoveryHasNoVersion(t *testing.T) {
	p := newPlatform(t)
	h := p.addEndpoint("h1", 7)
	j := openEarlierJournal(t, p.dir)
	h.Health = discovery.Draining
	j.UpdateEndpoints(discovery.EndpointList{Seq: 70, Full: true, Endpoints: []discovery.Endpoint{h}}, "127.0.0.1:1")
	mustCommit(t, j)
	p.start()
	p.waitFor("the watch is open", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.watches) == 1
	})
	if w := p.watches[0]; !strings.Contains(w, "index=0") {
		t.Errorf("watch %s, want a watch for the full list", w)
	}
}

// The configuration's list is kept in the journal too, even if discovery has sent only changes of it.
func TestEndpoints_ConfiguredListOutlastsProcess(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.changesOnly = true
	c := p.start()
	p.watchLines <- watchLine(t, 41, discovery.Endpoint{ID: "h9", Address: "127.0.0.1:1", Zone: "a", Kind: "m2", Destination: 9, Health: "SERVING"})
	p.waitFor("the change is in the journal", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 41
	})
	p.kill(c)
	p.update(func() { p.noKnownEndpoints = true })
	p.start()
	p.mustAccept("status", "m", "20")
	p.nextAttempt()
}

// An outage that one process has detected still applies in the next process, even for an endpoint that the configuration's list
// lacks.
func TestEndpoints_OutageIsKnownAfterRestart(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			p := newPlatform(t)
			p.addEndpoint("h1", 7)
			p.endpoints[0].Weight = 0.05 // so low that many seconds must pass between two trial requests
			up := p.endpoints[0]
			p.endpoints[0].Address = refusingAddress(t)
			c := p.start()
			p.mustAccept("status", "a", "25")
			p.waitFor("the outage is in the journal", func() bool { return readHealth(t, p.dir)["h1"].Unhealthy })
			p.kill(c)
			p.update(func() { p.endpoints[0] = up })
			if !known {
				p.update(func() { p.noKnownEndpoints = true })
			}
			p.start()
			resp := p.submit("status", "b", "25")
			for ; resp.StatusCode == http.StatusServiceUnavailable; resp = p.submit("status", "b", "25") {
				time.Sleep(10 * time.Millisecond) // the endpoint is not listed yet
			}
			// A relay without the recorded outage would accept the request and send it at once. With the outage, the request is
			// rejected, since it would expire before the next trial request.
			if resp.StatusCode != http.StatusTooManyRequests {
				t.Errorf("known %v: %s", known, resp.Status)
			}
			if got := p.attempts(); len(got) > 1 {
				t.Errorf("known %v: %v attempted at an unhealthy endpoint", known, got)
			}
		})
	}
}
