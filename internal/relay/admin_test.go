package relay

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
)

// Standby on sockets: health says no at once and clients are served on, their connections are closed with their answers
// or as they rest; active undoes it.
func TestAdmin_Standby(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	p.start()
	idle, err := p.dialUsedConn()
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	p.mustAccept("status", "before", "20")
	p.nextAttempt()
	p.postAdmin("/standby", http.StatusOK)
	if got := p.health(); got == http.StatusOK {
		t.Error("health says yes")
	}
	resp := p.submit("status", "meanwhile", "20")
	if resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("meanwhile: %s, close %v", resp.Status, resp.Close)
	}
	p.nextAttempt()
	if _, err := io.ReadAll(idle); err != nil { // until it is closed
		t.Errorf("an idle connection: %v", err)
	}
	p.postAdmin("/standby", http.StatusOK)
	p.postAdmin("/active", http.StatusOK)
	p.postAdmin("/active", http.StatusOK)
	if got := p.health(); got != http.StatusOK {
		t.Errorf("health after active: %d", got)
	}
	if resp := p.submit("status", "after", "20"); resp.Close {
		t.Error("an answer after active closes its connection")
	}
	p.nextAttempt()
	p.waitFor("all are counted", func() bool { return p.metrics().Success["status"] == 3 })
	if f := p.metrics(); f.BackendCalls != 3 || f.Inflight != 0 || f.HostsListed != 1 || f.HostsDown != 0 {
		t.Errorf("figures %+v", f)
	}
}

// Each message stands under one figure, whatever its end was, and a repeat of a known id under none. The account beside it
// is that of the clients and hosts.
func TestAdmin_MetricsCountEachOutcomeOnce(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	spoilt := map[string]int{"reset": 500, "gone": http.StatusGone, "spent": http.StatusGatewayTimeout, "out": 0}
	p.respond = func(r *http.Request) int {
		if status, ok := spoilt[r.Header.Get("Request-Id")]; ok {
			return status
		}
		return http.StatusOK
	}
	c := p.start()
	p.mustAccept("status", "good", "20")
	p.mustAccept("order", "reset", "20")                                                               // unsafe, may have run: fails
	p.mustAccept("status", "gone", "20")                                                               // withdrawn
	p.mustAccept("payment", "spent", "20")                                                             // handed back
	p.mustAccept("order", "late", "20")                                                                // delivered
	p.mustAccept("status", "again", "20")                                                              // delivered, and handed in again
	p.mustAccept("status", "again", "20")                                                              // as a copy
	p.submit("status", "nowhere", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") }) // refused
	p.submit("unknown", "odd", "5")                                                                    // no message
	want := "map[order:1 payment:0 status:2] map[order:0 payment:1 status:1] map[order:1 payment:0 status:1] 6 0"
	got := func() string {
		f := p.metrics()
		return fmt.Sprint(f.Success, f.Busy, f.Failure, f.BackendCalls, f.Inflight)
	}
	p.waitFor("figures are "+want, func() bool { return got() == want })
	p.mustAccept("status", "again", "20") // over by now
	if got() != want {
		t.Errorf("after a copy of what is over: %s, want %s", got(), want)
	}

	// A call out at a kill may have run; the next process counts its end, from 0.
	p.mustAccept("order", "out", "20")
	for range 7 {
		p.nextAttempt()
	}
	if f := p.metrics(); f.Inflight != 1 {
		t.Errorf("with one out: %+v", f)
	}
	p.kill(c)
	c = p.start()
	want = "map[order:0 payment:0 status:0] map[order:0 payment:0 status:0] map[order:1 payment:0 status:0] 0 0"
	p.waitFor("figures are "+want, func() bool { return got() == want })

	// At a planned end the door says no while what still comes is served.
	p.update(func() { p.respond = func(*http.Request) int { return 0 } })
	p.mustAccept("order", "held", "20")
	p.nextAttempt()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitFor("the door says no", func() bool { return !c.isServing() })
	if resp := p.submit("status", "last", "20"); resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("at a planned end: %s, close %v", resp.Status, resp.Close)
	}
}
