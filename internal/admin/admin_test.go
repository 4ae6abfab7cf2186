package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/wait/waittest"
)

// told is a relay that notes what it is told.
type told struct {
	book  *Metrics
	takes atomic.Bool
	words atomic.Pointer[string]
}

func (r *told) Status() (bool, string)   { return r.takes.Load(), "so" }
func (r *told) Standby()                 { s := "standby"; r.words.Store(&s) }
func (r *told) Active()                  { s := "active"; r.words.Store(&s) }
func (r *told) Metrics() ([]byte, error) { return r.book.JSON() }

func (r *told) Violations() map[string]int64 { return map[string]int64{"end_twice": 3} }

// testDoor opens a door with so much room.
func testDoor(t *testing.T, room int) (r *told, addr string) {
	t.Helper()
	r = &told{book: NewMetrics([]string{"C"})}
	r.takes.Store(true)
	d := New(r, room)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = d.Serve(l) }()
	t.Cleanup(d.Close)
	return r, l.Addr().String()
}

// say sends bytes and gives all that comes back until the door closes.
func say(t *testing.T, addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waittest.Long))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	out, _ := io.ReadAll(c) // a reset where bytes were left unread
	return string(out)
}

// One right answer for each call, whatever its form, and none for what follows on its connection.
func TestCalls(t *testing.T) {
	r, addr := testDoor(t, 8)
	tests := []struct {
		name, text string
		want       int
		words      string
	}{
		{"status", "GET /status HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
		{"metrics", "GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
		{"standby", "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 200, "standby"},
		{"active, with no length", "POST /active HTTP/1.1\r\nHost: x\r\n\r\n", 200, "active"},
		{"standby with a body", "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 200, "standby"},
		{"HTTP/1.0", "GET /status HTTP/1.0\r\n\r\n", 200, ""},
		{"two calls at once", "GET /status HTTP/1.1\r\nHost: x\r\n\r\nPOST /standby HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
		{"wrong method", "GET /standby HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
		{"wrong method of status", "POST /status HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
		{"wrong path", "GET /status/metrics/all HTTP/1.1\r\nHost: x\r\n\r\n", 404, ""},
		{"no HTTP", "standby\r\n\r\n", 400, ""},
		{"a head without end", "GET /status HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431, ""},
	}
	for _, tt := range tests {
		r.words.Store(new(string))
		out := say(t, addr, tt.text)
		if got := strings.Count(out, "HTTP/1."); got != 1 || !strings.Contains(strings.SplitN(out, "\r\n", 2)[0], fmt.Sprint(" ", tt.want, " ")) {
			t.Errorf("%s: %d answers, %q, want one of %d", tt.name, got, out, tt.want)
		}
		if got := *r.words.Load(); got != tt.words {
			t.Errorf("%s: the relay heard %q, want %q", tt.name, got, tt.words)
		}
	}
	r.takes.Store(false)
	if out := say(t, addr, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"); !strings.Contains(out, " 503 ") {
		t.Errorf("status of a relay that takes no clients: %q", out)
	}
}

// Callers that say nothing, or half a call, or a byte now and then shut nobody out, however many they are, and hold no
// more than the room.
func TestSilentCallers(t *testing.T) {
	const room = 8
	_, addr := testDoor(t, room)
	var silent []net.Conn
	for i := range 20 * room {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /status HT")
		}
		silent = append(silent, c)
		if i%room == 0 {
			if out := say(t, addr, "GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n"); !strings.Contains(out, " 200 ") {
				t.Fatalf("beside %d silent callers: %q", len(silent), out)
			}
		}
	}
	// All but the room were closed to make place; the rest are closed as they say nothing more.
	for _, c := range silent {
		_ = c.SetReadDeadline(time.Now().Add(waittest.Long))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatal("a silent caller is held")
		}
	}
}

// The figures of one read belong together, and have the form of the operators' page.
func TestFigures(t *testing.T) {
	r, addr := testDoor(t, 8)
	b := r.book
	for range 5 {
		b.Accepted()
	}
	b.Completed("C", Success, true)
	b.Completed("C", Shed, true)
	b.Completed("D", Shed, false) // refused at its arrival; a class that came later
	b.Completed("C", Failure, true)
	b.Reconfigured(true)
	b.Reconfigured(false)
	b.AttemptsSent.Add(4)
	old := b.Snapshot()
	b.Publish(Gauges{EndpointsListed: 3, EndpointsUnhealthy: 1})
	if old.InFlight != 0 || old.Completed[Success][0] != 0 {
		t.Errorf("a snapshot has changed: %+v", old)
	}
	resp, err := http.Get("http://" + addr + "/status/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := `map[backend_calls:4 busy:map[C:1 D:1] failure:map[C:1 D:0] hosts_down:1 hosts_listed:3 inflight:2 ` +
		`reconfig_failed:1 reconfig_ok:1 success:map[C:1 D:0]]`
	if fmt.Sprint(got) != want {
		t.Errorf("%v, want %s", got, want)
	}
}

// A process that has handed its relay over shows for its last moment what there was; if the relay comes back to it, it
// counts from nothing.
func TestGiven(t *testing.T) {
	b := NewMetrics([]string{"C"})
	b.Accepted()
	b.Accepted()
	b.Publish(Gauges{EndpointsListed: 3})
	if b.HandedOver(); b.Snapshot().InFlight != 2 || b.Snapshot().EndpointsListed != 3 {
		t.Errorf("handed over, it shows %+v", b.Snapshot())
	}
	b.Accepted()
	if b.Publish(Gauges{}); b.Snapshot().InFlight != 1 {
		t.Errorf("with the relay back and one message it shows %d in flight", b.Snapshot().InFlight)
	}
}

// slow is a relay whose figures come when it is told.
type slow struct {
	told
	asked, free chan bool
}

func (r *slow) Metrics() ([]byte, error) {
	r.asked <- true
	<-r.free
	return []byte("{}"), nil
}

// The door's end leaves a call that is being answered its answer. Before, its connection was reset.
func TestEndLeavesAnswers(t *testing.T) {
	r := &slow{asked: make(chan bool, 1), free: make(chan bool, 1)}
	d := New(r, 4)
	d.lastCalls = waittest.Long
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- d.Serve(l) }()
	got, ended, ending := make(chan string, 1), make(chan bool), make(chan bool)
	d.http.RegisterOnShutdown(func() { close(ending) })
	go func() { got <- say(t, l.Addr().String(), "GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n") }()
	waittest.Receive(t, r.asked)
	go func() { d.Close(); close(ended) }()
	select {
	case <-ending:
	case <-ended: // at once
	}
	r.free <- true
	if text := waittest.Receive(t, got); !strings.HasSuffix(text, "{}\n") {
		t.Errorf("answered %q", text)
	}
	waittest.Receive(t, ended)
	if err := waittest.Receive(t, served); err != nil {
		t.Error(err)
	}
}
