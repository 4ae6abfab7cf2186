package relay

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// unconfirmedReuse is long enough for a connection to rest, and slowResponse for a response on it to come early if it comes at once.
const unconfirmedReuse, slowResponse = 600 * time.Millisecond, 200 * time.Millisecond

// A process that dies while a delivery is unconfirmed is followed by one that starts, with a dead-letter store too, and that does not
// end the request a second time.
func TestUnconfirmedDelivery_SurvivesKill(t *testing.T) {
	for _, withStore := range []bool{false, true} {
		p := newPlatform(t)
		if withStore {
			p.enableDeadLetters("")
		}
		p.addEndpoint("h1", 7)
		p.respond = func(r *http.Request) int {
			if r.Header.Get("Request-Id") == "slow" {
				time.Sleep(slowResponse)
			}
			return http.StatusOK
		}
		c := p.start()
		p.mustAccept("status", "slow", "5")
		p.waitFor("the first request is delivered", func() bool { return p.journalEntryCount() == 0 })
		time.Sleep(unconfirmedReuse)
		p.mustAccept("status", "early", "2")
		p.waitFor("the delivery is recorded", func() bool { return p.hasUnconfirmedDelivery("early") })
		p.kill(c)
		c = p.start()
		p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
		p.kill(c)
		if attempts, notices := p.attempts(), p.receivedNotices(); len(attempts) != 2 || len(notices) != 0 {
			t.Errorf("with a store: %v; attempts %v, notices %+v; want one attempt for each request, and no notice", withStore, attempts, notices)
		}
	}
}

// The metrics count a request whose delivery is unconfirmed as delivered: its endpoint has responded, and the confirmation takes longer
// than metrics may lag behind.
func TestMetrics_CountUnconfirmedDelivery(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	p.respond = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == "slow" {
			time.Sleep(slowResponse)
		}
		return http.StatusOK
	}
	p.start()
	p.mustAccept("status", "slow", "5")
	p.waitFor("the first request is delivered", func() bool { return p.metrics().Success["status"] == 1 })
	time.Sleep(unconfirmedReuse)
	p.mustAccept("status", "second", "5")
	p.waitFor("the delivery is recorded", func() bool { return p.hasUnconfirmedDelivery("second") })
	counted := p.metrics()
	if p.hasUnconfirmedDelivery("second") && (counted.Success["status"] != 2 || counted.Inflight != 0) {
		t.Errorf("metrics with an unconfirmed delivery: %+v, want two successes and no request in flight", counted)
	}
	p.waitFor("the delivery is confirmed", func() bool { return !p.hasUnconfirmedDelivery("second") })
	if counted = p.metrics(); counted.Success["status"] != 2 || counted.Inflight != 0 {
		t.Errorf("metrics after the confirmation: %+v, want two successes and no request in flight", counted)
	}
}

// A delivery that a second response refutes is no longer counted as a success.
func TestMetrics_TakeRefutedDeliveryBack(t *testing.T) {
	p := newPlatform(t)
	p.addAdminEndpoint()
	p.addEndpoint("h1", 7)
	var refuted atomic.Bool
	p.serveAttempt = func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Request-Id") == "slow":
			time.Sleep(slowResponse)
		case refuted.Swap(true):
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			writeCopyBeforeRejection(t, w)
		}
	}
	p.start()
	p.mustAccept("status", "slow", "5")
	p.waitFor("the first request is delivered", func() bool { return p.metrics().Success["status"] == 1 })
	time.Sleep(unconfirmedReuse)
	p.mustAccept("status", "early", "3")
	p.waitFor("the delivery is counted", func() bool { return p.metrics().Success["status"] == 2 })
	p.waitFor("the second response refutes the delivery", func() bool { return p.metrics().Success["status"] == 1 })
	p.waitFor("the second response is counted for its endpoint", func() bool { return p.extraResponses()["h1"]["after an early response"] == 1 })
	p.waitFor("the request fails", func() bool { f := p.metrics(); return f.Busy["status"]+f.Failure["status"] == 1 })
	if f := p.metrics(); f.Success["status"] != 1 || f.Inflight != 0 {
		t.Errorf("metrics after the end: %+v, want one success and no request in flight", f)
	}
}

// writeCopyBeforeRejection writes a copy of an earlier delivery's response and, a moment later, the request's own response.
func writeCopyBeforeRejection(t *testing.T, w http.ResponseWriter) {
	t.Helper()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(slowResponse)
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// extraResponses reads how many responses that nobody asked for a relay has counted, by endpoint and by how they were noticed.
func (p *platform) extraResponses() map[string]map[string]int {
	p.t.Helper()
	return p.responseCounts("extra-responses", "extra_responses")
}

// responseCounts reads counts of responses, by endpoint and by reason, from a path of the admin endpoint.
func (p *platform) responseCounts(path, key string) map[string]map[string]int {
	p.t.Helper()
	resp, err := http.Get("http://" + p.adminAddr + "/status/" + path)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var body map[string]map[string]map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		p.t.Fatal(err)
	}
	return body[key]
}

// A connection that is reset after an early delivery leaves it open whether the request was delivered. The request is not sent again,
// since the delivery forbids it, and counts as delivered, in the next process too.
func TestUnconfirmedDelivery_BeforeReset(t *testing.T) {
	for _, test := range []struct {
		name, class string
		kill        bool // the process dies after the reset
	}{
		{"may be repeated", "status", false},
		{"may be repeated with its key", "payment", false},
		{"may not be repeated", "order", false},
		{"killed", "status", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPlatform(t)
			p.addAdminEndpoint()
			p.addEndpoint("h1", 7)
			var attempts atomic.Int32
			p.serveAttempt = func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Header.Get("Request-Id") == "slow":
					time.Sleep(slowResponse)
				case attempts.Add(1) == 1:
					deliverAndReset(t, w)
				}
			}
			c := p.start()
			p.mustAccept("status", "slow", "5")
			p.waitFor("the first request is delivered", func() bool { return p.journalEntryCount() == 0 })
			time.Sleep(unconfirmedReuse)
			p.mustAccept(test.class, "early", "3")
			p.waitFor("the attempt is made", func() bool { return attempts.Load() > 0 })
			time.Sleep(2 * slowResponse) // the connection has been reset by then
			if test.kill {
				p.kill(c)
				p.start()
			}
			p.waitFor("the journal is empty", func() bool { return p.journalEntryCount() == 0 })
			if attempts, notices := attempts.Load(), p.receivedNotices(); attempts != 1 || len(notices) != 0 {
				t.Errorf("%d attempts, notices %+v; want one, and no notice", attempts, notices)
			}
			if f := p.metrics(); !test.kill && (f.Success["status"]+f.Success["payment"]+f.Success["order"] != 2 || f.Inflight != 0) {
				t.Errorf("metrics %+v, want two successes and no request in flight", f)
			}
		})
	}
}

// deliverAndReset responds to a request with a delivery and then resets the connection.
func deliverAndReset(t *testing.T, w http.ResponseWriter) {
	t.Helper()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(slowResponse) // so that the relay reads the response before the reset
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	_ = conn.Close()
}
