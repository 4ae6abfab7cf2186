package relay

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"frostlink/internal/discovery"
)

// hostLine is a change of one host, as a watch tells it.
func hostLine(t *testing.T, seq int64, hosts ...discovery.Endpoint) string {
	t.Helper()
	line, err := json.Marshal(discovery.EndpointList{Seq: seq, Endpoints: hosts})
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// A host that drains gets nothing new, and one that is not of a destination nothing at all.
func TestDrainedHost(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	p.start()
	p.take("status", "a", "20")
	p.called()
	old.Health = discovery.Draining
	fresh := p.addHost("h2", 7)
	var hit string
	p.set(func() {
		p.answer = func(r *http.Request) int {
			hit = r.Host
			return http.StatusOK
		}
	})
	p.lines <- hostLine(t, 42, old)
	p.lines <- hostLine(t, 43, fresh)
	n := 0
	p.until("the new host is used", func() bool {
		n++
		p.take("status", "b"+strings.Repeat("b", n), "20")
		p.called()
		return hit == fresh.Dial
	})
	for range 5 {
		n++
		p.take("status", "b"+strings.Repeat("b", n), "20")
		if p.called(); hit != fresh.Dial {
			t.Fatal("a draining host got new work")
		}
	}
}

// A host that was told to drain gets nothing from the next process either, though the configuration's list is
// older than that and discovery is down.
func TestDrainToldBeforeRestart(t *testing.T) {
	p := newPlatform(t)
	old := p.addHost("h1", 7)
	c := p.start()
	old.Health = discovery.Draining
	p.lines <- hostLine(t, 42, old)
	p.until("the change is noted", func() bool {
		list, _ := readJournal(t, p.dir).Endpoints()
		return list != nil && list.Seq == 42
	})
	p.kill(c)
	p.set(func() { p.down = true })
	p.start()
	p.take("status", "m", "0.5")
	p.until("it has its end", func() bool { return len(p.told()) == 1 })
	if calls := p.sent(); len(calls) != 0 {
		t.Errorf("calls at a draining host: %v", calls)
	}
}
