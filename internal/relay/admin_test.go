package relay

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
)

// In standby the health check fails at once while clients are still served; clients' connections are closed with their next
// response, or at once if they are idle. A call of active undoes that.
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
	p.postAdmin("/standby")
	if got := p.health(); got == http.StatusOK {
		t.Error("the health check succeeds in standby")
	}
	resp := p.submit("status", "meanwhile", "20")
	if resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("response in standby: %s, close %v", resp.Status, resp.Close)
	}
	p.nextAttempt()
	if _, err := io.ReadAll(idle); err != nil { // returns when the relay closes it
		t.Errorf("an idle connection: %v", err)
	}
	p.postAdmin("/standby")
	p.postAdmin("/active")
	p.postAdmin("/active")
	if got := p.health(); got != http.StatusOK {
		t.Errorf("health after active: %d", got)
	}
	if resp := p.submit("status", "after", "20"); resp.Close {
		t.Error("a response after active closes its connection")
	}
	p.nextAttempt()
	p.waitFor("all three requests are counted", func() bool { return p.metrics().Success["status"] == 3 })
	if f := p.metrics(); f.BackendCalls != 3 || f.Inflight != 0 || f.HostsListed != 1 || f.HostsDown != 0 {
		t.Errorf("metrics %+v", f)
	}
}

// Each request is counted under exactly one outcome, and a repeated submission of a known id under none. The expected counts
// follow from the submissions and from the endpoints' responses.
func TestAdmin_MetricsCountEachOutcomeOnce(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	statusOf := map[string]int{"reset": 500, "gone": http.StatusGone, "spent": http.StatusGatewayTimeout, "out": 0}
	p.respond = func(r *http.Request) int {
		if status, ok := statusOf[r.Header.Get("Request-Id")]; ok {
			return status
		}
		return http.StatusOK
	}
	c := p.start()
	p.mustAccept("status", "good", "20")
	p.mustAccept("order", "reset", "20")                                                               // not idempotent, outcome unknown: fails
	p.mustAccept("status", "gone", "20")                                                               // withdrawn
	p.mustAccept("payment", "spent", "20")                                                             // deferred
	p.mustAccept("order", "late", "20")                                                                // delivered
	p.mustAccept("status", "again", "20")                                                              // delivered, and submitted a second time
	p.mustAccept("status", "again", "20")                                                              // the duplicate, which is not counted
	p.submit("status", "nowhere", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") }) // rejected
	p.submit("unknown", "odd", "5")                                                                    // malformed: counted under no outcome
	want := "map[order:1 payment:0 status:2] map[order:0 payment:1 status:1] map[order:1 payment:0 status:1] 6 0"
	got := func() string {
		f := p.metrics()
		return fmt.Sprint(f.Success, f.Busy, f.Failure, f.BackendCalls, f.Inflight)
	}
	p.waitFor("metrics are "+want, func() bool { return got() == want })
	p.mustAccept("status", "again", "20") // completed by now
	if got() != want {
		t.Errorf("after a duplicate of a completed request: %s, want %s", got(), want)
	}

	// The outcome of an attempt in flight at a kill is unknown. The next process counts that request, with its counters from 0.
	p.mustAccept("order", "out", "20")
	for range 7 {
		p.nextAttempt()
	}
	if f := p.metrics(); f.Inflight != 1 {
		t.Errorf("metrics with one request in flight: %+v", f)
	}
	p.kill(c)
	c = p.start()
	want = "map[order:0 payment:0 status:0] map[order:0 payment:0 status:0] map[order:1 payment:0 status:0] 0 0"
	p.waitFor("metrics are "+want, func() bool { return got() == want })

	// In a graceful shutdown the admin endpoint reports that the relay does not serve, while new submissions are still accepted.
	p.update(func() { p.respond = func(*http.Request) int { return 0 } })
	p.mustAccept("order", "held", "20")
	p.nextAttempt()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitFor("the admin endpoint reports that it does not serve", func() bool { return !c.isServing() })
	if resp := p.submit("status", "last", "20"); resp.StatusCode != http.StatusAccepted || !resp.Close {
		t.Errorf("in a graceful shutdown: %s, close %v", resp.Status, resp.Close)
	}
}
