package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"frostlink/internal/frontend"
	"frostlink/internal/notification"
)

// Malformed requests get a 4xx other than 429, none is accepted, and the relay goes on serving.
func TestSubmission_RejectsMalformed(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
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
		{"destination is no number", "status", header("X-Envelope", "dest=seven"), 400},
		{"negative destination", "status", header("X-Envelope", "dest=-7"), 400},
		{"destination overflows", "status", header("X-Envelope", "dest=99999999999999999999"), 400},
		{"no id", "status", header("Request-Id", ""), 400},
		{"long id", "status", header("Request-Id", strings.Repeat("i", frontend.MaxNameLength+1)), 400},
		{"no key in a class that needs one", "payment", header("Idempotency-Key", ""), 400},
		{"no time-out", "status", header("Request-Timeout", ""), 400},
		{"time-out of zero", "status", header("Request-Timeout", "0"), 400},
		{"negative time-out", "status", header("Request-Timeout", "-1"), 400},
		{"time-out is no number", "status", header("Request-Timeout", "soon"), 400},
		{"time-out NaN", "status", header("Request-Timeout", "NaN"), 400},
		{"infinite time-out", "status", header("Request-Timeout", "+Inf"), 400},
		{"time-out overflows", "status", header("Request-Timeout", "99999999999999999999999"), 400},
		{"body too large", "status", body(frontend.MaxBodySize + 1), 413},
	}
	for _, tt := range tests {
		if resp := p.submit(tt.class, "bad", "5", tt.change); resp.StatusCode != tt.want {
			t.Errorf("%s: %s, want %d", tt.name, resp.Status, tt.want)
		}
	}
	for _, change := range []func(*http.Request){
		body(frontend.MaxBodySize), header("Request-Timeout", "3600"),
		header("X-Envelope", "a=1, dest=7"),
	} {
		id := "good" + string(rune('0'+len(p.attempts())))
		if resp := p.submit("status", id, "5", change); resp.StatusCode != http.StatusAccepted {
			t.Errorf("%s: %s", id, resp.Status)
		}
		p.nextAttempt()
	}
	if slices.Contains(p.attempts(), "bad") {
		t.Error("a malformed request was forwarded")
	}
}

// A request for a destination that no list has named is rejected with a Retry-After. Guards the dispatcher, which keeps state for
// each destination; the destination may be in a later list.
func TestSubmission_RejectsUnknownDestination(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.start()
	resp := p.submit("status", "m", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%s, %v", resp.Status, resp.Header)
	}
	p.addEndpoint("h8", 8)
	p.watchLines <- watchLine(t, 43, p.endpoints[1])
	p.waitFor("the destination is listed and the request accepted", func() bool {
		r := p.submit("status", "m", "5", func(r *http.Request) { r.Header.Set("X-Envelope", "dest=8") })
		return r.StatusCode == http.StatusAccepted
	})
	p.nextAttempt()
}

// A request that is submitted twice, as after a broken connection, is accepted and attempted once.
func TestSubmission_AcceptsDuplicateOnce(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.start()
	p.mustAccept("order", "m", "20")
	p.nextAttempt()
	p.mustAccept("order", "m", "20")
	if e := readEntries(t, p.dir); len(e) != 1 {
		t.Errorf("entries: %d", len(e))
	}
	if c := p.attempts(); len(c) != 1 {
		t.Errorf("attempts: %v", c)
	}
}

// A duplicate of a completed request is not accepted as a new one.
func TestSubmission_DuplicateOfDeliveredIsNotSent(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.start()
	p.mustAccept("order", "m", "20")
	p.nextAttempt()
	p.waitFor("the request is completed", func() bool { return len(readEntries(t, p.dir)) == 0 })
	p.mustAccept("order", "m", "20")
	p.mustAccept("order", "n", "20")
	p.nextAttempt()
	if c := p.attempts(); !slices.Equal(c, []string{"m", "n"}) {
		t.Errorf("attempts: %v", c)
	}
}

// A duplicate of a request whose notice is pending is not handled as a new request, and is not rejected: a rejection would claim
// that the request was never executed.
func TestSubmission_DuplicateOfUndeliverableIsNotRejected(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return http.StatusInternalServerError }
	p.failingPosts = 1 << 30
	p.start()
	p.mustAccept("order", "m", "20")
	p.nextAttempt()
	p.waitFor("the request's outcome is decided", func() bool {
		e := readEntries(t, p.dir)
		return len(e) == 1 && e[0].PendingNotice != nil && e[0].PendingNotice.Status == notification.Undeliverable
	})
	if resp := p.submit("order", "m", "20"); resp.StatusCode != http.StatusAccepted {
		t.Errorf("response to the duplicate: %s", resp.Status)
	}
	p.update(func() { p.failingPosts = 0 })
	p.waitFor("the platform has its notice", func() bool { return len(p.receivedNotices()) == 1 })
	if sent := p.attempts(); len(sent) != 1 {
		t.Errorf("sent %v", sent)
	}
}

// A client that submits a request under an id of another client and disconnects does not withdraw that client's request.
func TestSubmission_LeavingClientWithdrawsNoOtherRequest(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.start()
	p.mustAccept("order", "m", "20")
	p.nextAttempt()
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
	p.mustAccept("order", "m", "20") // all the duplicates were handled before this one
	if e := readEntries(t, p.dir); len(e) != 1 || len(e[0].Attempts) != 1 || e[0].Attempts[0].Ended {
		t.Errorf("entries %v", e)
	}
}

// A request that was delivered before its relay was killed, and is submitted again under the same id after that, is accepted but
// not sent: handled as a new request, it would have its effect twice.
func TestSubmission_DuplicateAfterKillIsNotSent(t *testing.T) {
	p := newPlatform(t)
	p.addEndpoint("h1", 7)
	c := p.start()
	for range 2 { // after a replay of the journal, and after a replay of the compacted journal
		for _, class := range []string{"order", "payment", "status"} {
			if status := p.trySubmit(class, class, "20"); status != http.StatusAccepted {
				t.Fatalf("%s answered %d", class, status)
			}
		}
		p.waitFor("all three requests are delivered and evicted", func() bool { return len(p.attempts()) >= 3 && p.journalEntryCount() == 0 })
		p.kill(c)
		c = p.start()
	}
	if status := p.trySubmit("order", "after", "20"); status != http.StatusAccepted {
		t.Fatalf("a new request answered %d", status)
	}
	p.waitFor("the new request is delivered", func() bool { return strings.Contains(strings.Join(p.attempts(), " "), "after") })
	if sent := p.attempts(); len(sent) != 4 {
		t.Errorf("attempts at endpoints: %v", sent)
	}
	p.kill(c)
}

// A request that is shed before its body is read, since the journal has no space for it, is not rejected if its id was accepted before:
// a rejection would say that it has no effect.
func TestSubmission_ShedCopyOfAcceptedRequestIsAccepted(t *testing.T) {
	p := newPlatform(t)
	p.diskMB = 0.5
	p.addEndpoint("h1", 7)
	p.respond = func(*http.Request) int { return 0 }
	p.start()
	large := func(r *http.Request) {
		text := strings.Repeat("x", frontend.MaxBodySize)
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	}
	shed := false
	for i := 0; i < 20 && !shed; i++ {
		shed = p.submit("status", fmt.Sprint("m", i), "25", large).StatusCode == http.StatusServiceUnavailable
	}
	if !shed {
		t.Fatal("the journal does not fill")
	}
	if resp := p.submit("status", "m0", "25", large); resp.StatusCode != http.StatusAccepted {
		t.Errorf("copy of an accepted request: %s", resp.Status)
	}
}

// A request whose time is up when it is read, after it has waited in the queue of the listening socket, is rejected.
func TestSubmission_RejectsRequestThatWaitedTooLong(t *testing.T) {
	p := newPlatform(t)
	p.shareListener()
	p.addEndpoint("h1", 7)
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p.write(c, strings.Replace(rawStatusRequest("late"), "Request-Timeout: 25", "Request-Timeout: 0.1", 1))
	time.Sleep(400 * time.Millisecond)
	p.start()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, %v", resp, err)
	}
	if attempts := p.attempts(); len(attempts) > 0 {
		t.Errorf("attempts: %v", attempts)
	}
}
