package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

// figures are what the door of a relay under test shows.
type figures struct {
	Success, Busy, Failure map[string]int
	BackendCalls           int `json:"backend_calls"`
	Inflight               int
	HostsListed            int `json:"hosts_listed"`
	HostsDown              int `json:"hosts_down"`
	ReconfigOK             int `json:"reconfig_ok"`
	ReconfigFailed         int `json:"reconfig_failed"`
}

// figures reads the door.
func (p *platform) figures() (f figures) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.door + "/status/metrics")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		p.t.Fatal(err)
	}
	return f
}

// reread writes a configuration and has the relay read it, until the figures say that it did.
func (p *platform) reread(c *child, text string, good bool) {
	p.t.Helper()
	before := p.figures()
	if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
	p.until("the file is read", func() bool {
		f := p.figures()
		if good {
			return f.ReconfigOK == before.ReconfigOK+1
		}
		return f.ReconfigFailed == before.ReconfigFailed+1
	})
}

// New settings under way: a class added is served, one that is gone is unknown to clients while its message keeps its
// terms, also through a kill, and broken files change nothing and are counted.
func TestNewSettings(t *testing.T) {
	p := newPlatform(t)
	p.addDoor()
	p.addHost("h1", 7)
	p.answer = func(*http.Request) int { return 0 }
	c := p.start()
	good := readFile(t, p.path)
	p.take("order", "old", "25")   // unsafe, and out
	p.take("status", "safe", "25") // may be sent again by its terms, which the journal keeps
	p.called()
	p.called()

	broken := map[string]string{
		"empty":                "",
		"cut off":              good[:len(good)/2],
		"no deadline":          strings.Replace(good, `"deadline_s":30`, `"deadline_s":0`, 1),
		"negative":             strings.Replace(good, `"deadline_s":30`, `"deadline_s":-5`, 1),
		"no number":            strings.Replace(good, `"deadline_s":30`, `"deadline_s":"soon"`, 1),
		"absurd":               strings.Replace(good, `"deadline_s":30`, `"deadline_s":1e300`, 1),
		"no attempts":          strings.Replace(good, `"max_attempts":12`, `"max_attempts":0`, 1),
		"a key is missing":     strings.Replace(good, `"ramp_time_s":10`, `"ramp":10`, 1),
		"of a class":           strings.Replace(good, `"aim_s":2,`, ``, 1),
		"a class twice":        strings.Replace(good, `"name":"order"`, `"name":"status"`, 1),
		"an unknown effect":    strings.Replace(good, "fragile", "fragrant", 1),
		"a class without name": strings.Replace(good, `"name":"order"`, `"name":""`, 1),
	}
	for name, text := range broken {
		if text == good {
			t.Fatalf("%s: nothing is broken", name)
		}
		// What a broken file says of the classes must not count in part either.
		p.reread(c, strings.Replace(text, `"name":"payment"`, `"name":"payment-x"`, 1), false)
		if resp := p.handIn("payment-x", name, "25"); resp.StatusCode != http.StatusNotFound {
			t.Errorf("%s: a class of a broken file: %s", name, resp.Status)
		}
	}

	renamed := func(text string) string {
		return strings.NewReplacer(`"name":"order"`, `"name":"order-ii"`, `"name":"status"`, `"name":"status-ii"`).Replace(text)
	}
	p.reread(c, renamed(good), true)
	if resp := p.handIn("order", "late", "25"); resp.StatusCode != http.StatusNotFound {
		t.Errorf("a class that is gone: %s", resp.Status)
	}
	p.take("order-ii", "new", "25")
	p.called()
	p.kill(c)
	p.set(func() { p.answer = func(*http.Request) int { return http.StatusOK } })
	p.settings = renamed
	p.start()
	// All were out. Those of unsafe classes may have run, and fail; the safe one is sent again, though its class is gone.
	p.until("all have their end", func() bool { return len(p.told()) == 2 && len(readEntries(t, p.dir)) == 0 })
	if got := p.sent(); len(got) != 4 {
		t.Errorf("calls %v, want one for each and one more for the safe one", got)
	}
	if f := p.figures(); f.Failure["order"] != 1 || f.Failure["order-ii"] != 1 || f.Success["status"] != 1 || f.Inflight != 0 {
		t.Errorf("figures %+v", f)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Standby on sockets: health says no at once and clients are served on, their connections are closed with their answers
// or as they rest; active undoes it.
func TestStandbyOnSockets(t *testing.T) {
	p := newPlatform(t)
	p.addDoor()
	p.addHost("h1", 7)
	p.start()
	idle, err := p.dialClient()
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	p.take("status", "before", "20")
	p.called()
	p.say("/standby", http.StatusOK)
	if got := p.health(); got == http.StatusOK {
		t.Error("health says yes")
	}
	resp := p.handIn("status", "meanwhile", "20")
	if resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("meanwhile: %s, close %v", resp.Status, resp.Close)
	}
	p.called()
	if _, err := io.ReadAll(idle); err != nil { // until it is closed
		t.Errorf("an idle connection: %v", err)
	}
	p.say("/standby", http.StatusOK)
	p.say("/active", http.StatusOK)
	p.say("/active", http.StatusOK)
	if got := p.health(); got != http.StatusOK {
		t.Errorf("health after active: %d", got)
	}
	if resp := p.handIn("status", "after", "20"); resp.Close {
		t.Error("an answer after active closes its connection")
	}
	p.called()
	p.until("all are counted", func() bool { return p.figures().Success["status"] == 3 })
	if f := p.figures(); f.BackendCalls != 3 || f.Inflight != 0 || f.HostsListed != 1 || f.HostsDown != 0 {
		t.Errorf("figures %+v", f)
	}
}

// Each message stands under one figure, whatever its end was, and a repeat of a known id under none. The account beside it
// is that of the clients and hosts.
func TestFiguresOfEveryEnd(t *testing.T) {
	p := newPlatform(t)
	p.addDoor()
	p.addHost("h1", 7)
	spoilt := map[string]int{"reset": 500, "gone": http.StatusGone, "spent": http.StatusGatewayTimeout, "out": 0}
	p.answer = func(r *http.Request) int {
		if status, ok := spoilt[r.Header.Get("Request-Id")]; ok {
			return status
		}
		return http.StatusOK
	}
	c := p.start()
	p.take("status", "good", "20")
	p.take("order", "reset", "20")                                                                     // unsafe, may have run: fails
	p.take("status", "gone", "20")                                                                     // withdrawn
	p.take("payment", "spent", "20")                                                                   // handed back
	p.take("order", "late", "20")                                                                      // delivered
	p.take("status", "again", "20")                                                                    // delivered, and handed in again
	p.take("status", "again", "20")                                                                    // as a copy
	p.handIn("status", "nowhere", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") }) // refused
	p.handIn("unknown", "odd", "5")                                                                    // no message
	want := "map[order:1 payment:0 status:2] map[order:0 payment:1 status:1] map[order:1 payment:0 status:1] 6 0"
	got := func() string {
		f := p.figures()
		return fmt.Sprint(f.Success, f.Busy, f.Failure, f.BackendCalls, f.Inflight)
	}
	p.until("figures are "+want, func() bool { return got() == want })
	p.take("status", "again", "20") // over by now
	if got() != want {
		t.Errorf("after a copy of what is over: %s, want %s", got(), want)
	}

	// A call out at a kill may have run; the next process counts its end, from 0.
	p.take("order", "out", "20")
	for range 7 {
		p.called()
	}
	if f := p.figures(); f.Inflight != 1 {
		t.Errorf("with one out: %+v", f)
	}
	p.kill(c)
	c = p.start()
	want = "map[order:0 payment:0 status:0] map[order:0 payment:0 status:0] map[order:1 payment:0 status:0] 0 0"
	p.until("figures are "+want, func() bool { return got() == want })

	// At a planned end the door says no while what still comes is served.
	p.set(func() { p.answer = func(*http.Request) int { return 0 } })
	p.take("order", "held", "20")
	p.called()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.until("the door says no", func() bool { return !c.takes() })
	if resp := p.handIn("status", "last", "20"); resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("at a planned end: %s, close %v", resp.Status, resp.Close)
	}
}
