package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// A process is replaced while an attempt is in flight, a client connection is idle and a request is half read: no request is
// sent twice or lost, no client connection is closed, and the successor's metrics include the request that it took over. Then
// the successor is replaced in the same way.
func TestHandover_KeepsAttemptsAndConnections(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	answer := make(chan int, 1)
	p.serveAttempt = func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		p.update(func() { p.attemptIDs = append(p.attemptIDs, id) })
		p.begunAttempts <- id
		if id != "out" {
			return
		}
		select {
		case status := <-answer: // the connection must stay open until then
			w.WriteHeader(status)
		case <-r.Context().Done():
		}
	}
	old := p.start()
	idle, err := p.dialUsedConn()
	if err != nil {
		t.Fatal(err)
	}
	half, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = half.SetDeadline(time.Now().Add(waittest.Long))
	text := rawStatusRequest("half")
	if _, err := io.WriteString(half, text[:len(text)-2]); err != nil {
		t.Fatal(err)
	}
	p.mustAccept("order", "out", "25") // not idempotent: a second attempt would have a second effect
	p.nextAttempt()
	p.waitFor("the half request is being read", func() bool { return p.health() == http.StatusOK })

	for i := range 2 {
		next := p.startSuccessor()
		if old.isServing() {
			t.Error("the old process reports that it serves")
		}
		if f := p.metrics(); f.Inflight != 1 || f.HostsListed != 1 {
			t.Errorf("metrics of process %d: %+v", i+2, f)
		}
		if err := old.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := waittest.Receive(t, old.exited); err != nil {
			t.Errorf("the old process ended with %v: %s", err, old.Stderr)
		}
		old = next
	}

	if _, err := io.WriteString(half, text[len(text)-2:]); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"half a request": half, "idle": idle} {
		if name == "idle" {
			if _, err := io.WriteString(c, rawStatusRequest("idle")); err != nil {
				t.Fatal(err)
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatalf("%s: %v, %v", name, resp, err)
		}
		p.nextAttempt()
	}
	answer <- http.StatusOK
	p.waitFor("all requests are delivered", func() bool {
		f := p.metrics()
		return f.Inflight == 0 && f.Success["status"] == 2 && f.Success["order"] == 1
	})
	if got := p.attempts(); len(got) != 3 {
		t.Errorf("attempts %v", got)
	}
	if n := p.receivedNotices(); len(n) != 0 {
		t.Errorf("notices %v", n)
	}
}

// The successor honours a Retry-After that the old process received, and stays in standby.
func TestHandover_KeepsWaitsAndStandby(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	p.responseHeader = map[string]string{"X-Retry-In-Ms": "20000"}
	p.respond = func(*http.Request) int { return http.StatusTooManyRequests }
	p.start()
	p.mustAccept("status", "a", "25")
	p.nextAttempt()
	p.waitFor("the attempt has ended", func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && len(e[0].Attempts) == 1 && e[0].Attempts[0].Ended
	})
	p.postAdmin("/standby")
	p.startSuccessor()
	if got := p.health(); got != http.StatusServiceUnavailable {
		t.Errorf("health of a successor in standby: %d", got)
	}
	p.postAdmin("/active")
	// A process without the Retry-After would accept the request and send it at once. With 20 s to wait, the request's deadline
	// of 5 s would pass, so it is rejected.
	if resp := p.submit("status", "b", "5"); resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("submission during the Retry-After: %s", resp.Status)
	}
	if got := p.attempts(); len(got) != 1 {
		t.Errorf("attempts during the Retry-After: %v", got)
	}
}

// If a successor dies before the old process is signalled to end, the old process owns the folder again, and delivers the
// request that it had handed over.
func TestHandover_PredecessorGoesOnWhenSuccessorDies(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	old := p.start()
	first := p.adminAddr
	p.mustAccept("status", "m", "25")
	p.nextAttempt()
	next := p.startSuccessor()
	p.update(func() { p.respond = func(*http.Request) int { return http.StatusOK } })
	p.kill(next)
	p.waitFor("the old process serves again", old.isServing)
	p.adminAddr = first
	p.nextAttempt()
	p.waitFor("the request is delivered", func() bool { return p.metrics().Success["status"] == 1 })
	if got := p.health(); got != http.StatusOK {
		t.Errorf("health %d", got)
	}
}

// A process with a dead-letter store is replaced while one request is in flight, one waits for its destination and one is in
// the store: each request is either delivered or stored once, and the successor holds the store.
func TestHandover_WithDeadLetterStore(t *testing.T) {
	p := newPlatform(t)
	folder := p.enableDeadLetters("")
	p.addAdminEndpoint()
	p.shareListener()
	p.addEndpoint("h1", 7)
	p.closeAfterResponses()
	answer := make(chan int)
	p.respond = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == "out" {
			return <-answer
		}
		return http.StatusServiceUnavailable
	}
	old := p.start()
	p.mustAccept("status", "stored", "1")
	p.waitFor("the first request is in the store", func() bool { return len(p.receivedNotices()) == 1 && p.journalEntryCount() == 0 })
	p.mustAccept("order", "out", "25")
	p.waitFor("the second request is in flight", func() bool { return slices.Contains(p.attempts(), "out") })
	p.mustAccept("status", "waits", "4")
	next := p.startSuccessor()
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := waittest.Receive(t, old.exited); err != nil {
		t.Errorf("the old process ended with %v: %s", err, old.Stderr)
	}
	answer <- http.StatusOK
	p.waitFor("all requests are completed", func() bool { return len(p.receivedNotices()) == 2 && p.journalEntryCount() == 0 })
	if f := p.metrics(); f.Success["order"] != 1 || f.Busy["status"] != 1 {
		t.Errorf("metrics %+v", f)
	}
	p.kill(next)
	for _, id := range []string{"stored", "waits"} {
		if r, totals := p.readDeadLetter(folder, id); totals.Messages != 2 || len(r.Incarnations) != 1 || r.MayHaveExecuted() != nil {
			t.Errorf("%s: %+v of %+v", id, r, totals)
		}
	}
}
