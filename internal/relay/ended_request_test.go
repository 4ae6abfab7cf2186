package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/socket/sockettest"
)

const (
	// usualLatency is the time that an endpoint takes for a usual response, so that one that comes at once is early.
	usualLatency = 200 * time.Millisecond
	// resetDelay is the time from an early response to what becomes of its connection.
	resetDelay = 200 * time.Millisecond
	// laterCallTime is how long a test watches for a call after a request's end: longer than the relay's longest confirmation of a
	// response and its pause before another attempt together.
	laterCallTime = 3 * time.Second
	// firstDestination is the destination of the first endpoint of a test.
	firstDestination = 7
)

// endingEndpoint responds 200 to usual requests after usualLatency. For a request whose id begins with "end" it calls answer, which has
// the connection for itself: what answer writes at once comes early on a connection that has carried other requests.
type endingEndpoint struct {
	answer func(c net.Conn)

	mu    sync.Mutex
	calls map[string]int // by id of the request
}

func (e *endingEndpoint) serve(c net.Conn) {
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		e.record(id)
		if strings.HasPrefix(id, "end") {
			e.answer(c)
			return
		}
		time.Sleep(usualLatency)
		if _, err := io.WriteString(c, responseText(http.StatusOK, "")); err != nil {
			return
		}
	}
}

// record counts a call of a request.
func (e *endingEndpoint) record(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[id]++
}

// callsOf returns the number of calls of a request.
func (e *endingEndpoint) callsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id]
}

// responseText returns a response without a body. headers are complete lines.
func responseText(status int, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers)
}

// addEndingEndpoint starts the one endpoint of a destination, which answers the requests to be ended with answer.
func (p *platform) addEndingEndpoint(destination int, answer func(c net.Conn)) *endingEndpoint {
	e := &endingEndpoint{answer: answer, calls: map[string]int{}}
	addr := sockettest.Serve(p.t, "tcp", sockettest.Loopback, e.serve)
	p.endpoints = append(p.endpoints, discovery.Endpoint{
		ID: fmt.Sprint("h", destination), Address: addr, Zone: "a", Kind: "m2", Destination: destination, Health: "SERVING", Weight: 100,
	})
	return e
}

// toDestination directs a submission to a destination.
func toDestination(destination int) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Envelope", fmt.Sprint("dest=", destination)) }
}

// mustAcceptFor submits a request for a destination, which must be accepted.
func (p *platform) mustAcceptFor(destination int, class, id, timeout string) {
	p.t.Helper()
	if resp := p.submit(class, id, timeout, toDestination(destination)); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("%s: %s", id, resp.Status)
	}
}

// warmUp has each of the first destinations deliver a request, and lets the connections rest until they may carry another one.
func (p *platform) warmUp(destinations int) {
	p.t.Helper()
	for i := range destinations {
		p.mustAcceptFor(firstDestination+i, "status", fmt.Sprint("usual-", i), "5")
	}
	p.waitFor("the usual requests are delivered", func() bool { return p.journalEntryCount() == 0 })
	time.Sleep(unconfirmedReuse)
}

// checkNotices checks that no request has two outcomes that differ.
func (p *platform) checkNotices() {
	p.t.Helper()
	statuses := map[string]string{}
	for _, n := range p.receivedNotices() {
		if earlier := statuses[n.ID]; earlier != "" && earlier != n.Status {
			p.t.Errorf("%s was noticed as %s and as %s", n.ID, earlier, n.Status)
		}
		statuses[n.ID] = n.Status
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

// write writes the parts of an answer with pauses between them. Errors mean that the relay has closed the connection.
func write(c net.Conn, parts ...string) {
	for i, part := range parts {
		if i > 0 {
			time.Sleep(resetDelay)
		}
		_, _ = io.WriteString(c, part)
	}
}

// aftermath is what an endpoint writes when it ends a request, and what becomes of the connection.
type aftermath struct {
	name   string
	answer func(c net.Conn, response string)
	// mayRetry says that another call is allowed if the relay took the first response, which is not the ending one, for the request's own:
	// on a busy machine it may come too late to be early.
	mayRetry bool
}

const halfRejection = "HTTP/1.1 503 Serv"

// noSlot is a rejection that proves that the call was not made.
var noSlot = responseText(http.StatusServiceUnavailable, "X-No-Slot: 1\r\n")

var aftermaths = []aftermath{
	{"reset", func(c net.Conn, response string) { write(c, response); time.Sleep(resetDelay); abort(c) }, false},
	{"reset at once", func(c net.Conn, response string) { write(c, response); abort(c) }, false},
	{"close", func(c net.Conn, response string) { write(c, response); time.Sleep(resetDelay) }, false},
	{"open", func(c net.Conn, response string) { write(c, response); awaitClose(c) }, false},
	{"then a rejection", func(c net.Conn, response string) {
		write(c, response, responseText(http.StatusServiceUnavailable, ""))
		awaitClose(c)
	}, false},
	{"then a delivery", func(c net.Conn, response string) { write(c, response, responseText(http.StatusOK, "")); awaitClose(c) }, false},
	{"then half a rejection", func(c net.Conn, response string) { write(c, response, halfRejection) }, false},
	{"then noise", func(c net.Conn, response string) { write(c, response, "\x16\x03\x01 no response\r\n"); awaitClose(c) }, false},
	{"after a rejection", func(c net.Conn, response string) {
		write(c, responseText(http.StatusServiceUnavailable, ""), response)
		awaitClose(c)
	}, true},
	{"after a lack of slots", func(c net.Conn, response string) { write(c, noSlot, response); awaitClose(c) }, true},
	{"half of it after a rejection", func(c net.Conn, response string) {
		write(c, responseText(http.StatusServiceUnavailable, ""), response[:len(response)-len("0\r\n\r\n")])
		abort(c)
	}, true},
	{"half of it", func(c net.Conn, response string) { write(c, response[:len(response)-len("0\r\n\r\n")]) }, false},
	{"a body cut short", func(c net.Conn, response string) {
		write(c, strings.Replace(response, "Content-Length: 0", "Content-Length: 9", 1)+"abc")
	}, false},
}

// doubtfulResponses reads how many responses a relay could not tell from another request's, by endpoint and by reason.
func (p *platform) doubtfulResponses() map[string]map[string]int {
	p.t.Helper()
	return p.responseCounts("doubtful-responses", "doubtful_responses")
}

// awaitClose waits until the relay closes a connection.
func awaitClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// No call follows a response that ends a request or its attempts, whatever becomes of the connection on which it came. The fault: a reset
// made the relay drop an early 410, and a keyed request was sent again (report 783fb7).
func TestEndedRequest_NotSentAgain(t *testing.T) {
	for _, class := range []string{"payment", "status", "order"} {
		for _, status := range []int{http.StatusOK, http.StatusGone, http.StatusGatewayTimeout} {
			t.Run(fmt.Sprint(class, " ", status), func(t *testing.T) {
				t.Parallel()
				p := newPlatform(t)
				p.addAdminEndpoint()
				p.changeSettings = replaceOnce(t, `"max_calls":8`, `"max_calls":40`)
				var endpoints []*endingEndpoint
				for i, a := range aftermaths {
					endpoints = append(endpoints, p.addEndingEndpoint(firstDestination+i, func(c net.Conn) { a.answer(c, responseText(status, "")) }))
				}
				p.start()
				p.warmUp(len(aftermaths))
				for i := range aftermaths {
					p.mustAcceptFor(firstDestination+i, class, fmt.Sprint("end-", i), "8")
				}
				time.Sleep(laterCallTime)
				p.waitFor("the requests are completed", func() bool { return p.journalEntryCount() == 0 })
				doubtful := p.doubtfulResponses()
				for i, a := range aftermaths {
					calls := endpoints[i].callsOf(fmt.Sprint("end-", i))
					if a.mayRetry && len(doubtful[fmt.Sprint("h", firstDestination+i)]) == 0 {
						t.Logf("%s: inconclusive, since the response before it was not early; %d calls", a.name, calls)
						continue
					}
					if calls != 1 {
						t.Errorf("%s: %d calls, want one", a.name, calls)
					}
				}
				p.checkNotices()
			})
		}
	}
}

// endings are the ways in which a process ends and is followed by the next one.
var endings = []struct {
	name string
	end  func(p *platform, c *child)
}{
	{"SIGKILL", func(p *platform, c *child) { p.kill(c); p.startNext() }},
	{"SIGTERM", func(p *platform, c *child) { p.terminate(c); p.startNext() }},
	{"hand-over", func(p *platform, c *child) { p.startSuccessor(); p.terminate(c) }},
}

// The next process does not send a request that the process before it has ended, or that an early response to that process has ended,
// although the connection is reset when that process has ended. A request that may not be repeated ends by a notice after an error.
func TestEndedRequest_NotSentAgainByNextProcess(t *testing.T) {
	classes := map[int]string{
		http.StatusOK: "payment", http.StatusGone: "payment", http.StatusGatewayTimeout: "payment", http.StatusInternalServerError: "order",
	}
	for _, ending := range endings {
		for status, class := range classes {
			t.Run(fmt.Sprint(ending.name, " ", status), func(t *testing.T) {
				t.Parallel()
				p := newPlatform(t)
				p.addAdminEndpoint()
				p.shareListener()
				responded := make(chan bool, 2)
				e := p.addEndingEndpoint(firstDestination, func(c net.Conn) {
					write(c, responseText(status, ""))
					responded <- true
					awaitClose(c)
				})
				c := p.start()
				p.warmUp(1)
				p.mustAcceptFor(firstDestination, class, "end", "12")
				<-responded
				time.Sleep(resetDelay) // the relay has read the response by then
				ending.end(p, c)
				time.Sleep(laterCallTime)
				p.waitFor("the request is completed", func() bool { return p.journalEntryCount() == 0 })
				if calls := e.callsOf("end"); calls != 1 {
					t.Errorf("%d calls, want one", calls)
				}
				p.checkNotices()
			})
		}
	}
}

// Near the deadline an early response that ends a request is not waited out, and no call follows it either.
func TestEndedRequest_NotSentAgainNearDeadline(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusGone, http.StatusGatewayTimeout} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			p := newPlatform(t)
			timeouts := []string{"0.4", "0.5", "0.7"}
			var endpoints []*endingEndpoint
			for i := range timeouts {
				endpoints = append(endpoints, p.addEndingEndpoint(firstDestination+i, func(c net.Conn) {
					write(c, responseText(status, ""))
					time.Sleep(resetDelay / 4)
					abort(c)
				}))
			}
			p.start()
			p.warmUp(len(timeouts))
			for i, timeout := range timeouts {
				p.mustAcceptFor(firstDestination+i, "payment", fmt.Sprint("end-", i), timeout)
			}
			p.waitFor("the requests are completed", func() bool { return p.journalEntryCount() == 0 })
			time.Sleep(unconfirmedReuse)
			for i, e := range endpoints {
				if calls := e.callsOf(fmt.Sprint("end-", i)); calls != 1 {
					t.Errorf("request %d: %d calls, want one", i, calls)
				}
			}
			p.checkNotices()
		})
	}
}

// departures are the moments in which a client leaves.
var departures = []struct {
	name  string
	leave func(p *platform, id string)
}{
	{"while its request is read", func(p *platform, id string) {
		c := p.openConn()
		text := rawKeyedRequest(id)
		p.write(c, text[:len(text)-2])
		_ = c.Close()
	}},
	{"while its request is journalled", func(p *platform, id string) {
		c := p.openConn()
		p.write(c, rawKeyedRequest(id))
		_ = c.Close()
	}},
	{"while its request is in flight", func(p *platform, id string) {
		c := p.openConn()
		p.write(c, rawKeyedRequest(id))
		time.Sleep(usualLatency)
		abort(c)
	}},
	{"and submits the same id again", func(p *platform, id string) {
		for range 2 {
			c := p.openConn()
			p.write(c, rawKeyedRequest(id))
			abort(c)
		}
	}},
}

// rawKeyedRequest returns a submission of a keyed request.
func rawKeyedRequest(id string) string {
	return "POST /payment HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nTenant: acme\r\nRequest-Timeout: 8\r\nX-Envelope: dest=7\r\n" +
		"Idempotency-Key: key-" + id + "\r\nContent-Length: 5\r\n\r\nbody5"
}

// A client that leaves withdraws its request: endpoints answer 410, and no call follows that.
func TestEndedRequest_NotSentAgainAfterClientLeft(t *testing.T) {
	for _, departure := range departures {
		t.Run(departure.name, func(t *testing.T) {
			p := newPlatform(t)
			e := p.addEndingEndpoint(firstDestination, func(c net.Conn) {
				write(c, responseText(http.StatusGone, ""))
				time.Sleep(resetDelay)
				abort(c)
			})
			p.start()
			p.warmUp(1)
			departure.leave(p, "end")
			time.Sleep(laterCallTime)
			p.waitFor("the request is completed", func() bool { return p.journalEntryCount() == 0 })
			if calls := e.callsOf("end"); calls > 1 {
				t.Errorf("%d calls, want one at most", calls)
			}
		})
	}
}
