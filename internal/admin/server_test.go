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

// maxConns is the limit of the server under test.
const maxConns = 8

const (
	statusRequest  = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"
	metricsRequest = "GET /status/metrics HTTP/1.1\r\nHost: x\r\n\r\n"
)

// fakeRelay records the last serving mode that was requested.
type fakeRelay struct {
	metrics       *Metrics
	serving       atomic.Bool
	requestedMode atomic.Pointer[string]
}

func (r *fakeRelay) Status() (bool, string)   { return r.serving.Load(), "so" }
func (r *fakeRelay) Standby()                 { r.record("standby") }
func (r *fakeRelay) Active()                  { r.record("active") }
func (r *fakeRelay) Metrics() ([]byte, error) { return r.metrics.JSON() }
func (r *fakeRelay) record(mode string)       { r.requestedMode.Store(&mode) }

func (r *fakeRelay) Violations() map[string]int64 { return map[string]int64{"end_twice": 3} }

func (r *fakeRelay) Resources() ([]byte, error) { return []byte(`{"requests":0}`), nil }

func (r *fakeRelay) ExtraResponses() map[string]map[string]int {
	return map[string]map[string]int{"h1": {"after a response": 2}}
}

func (r *fakeRelay) DoubtfulResponses() map[string]map[string]int {
	return map[string]map[string]int{"h1": {"connection failed": 4}}
}

// startServer starts a server for a fakeRelay, which runs until the test ends.
func startServer(t *testing.T) (r *fakeRelay, addr string) {
	t.Helper()
	r = &fakeRelay{metrics: NewMetrics([]string{"C"})}
	r.serving.Store(true)
	s := New(r, maxConns)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return r, l.Addr().String()
}

// exchange sends text on a new connection and returns everything that it reads until the server closes the connection.
func exchange(t *testing.T, addr, text string) string {
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
	out, _ := io.ReadAll(c) // fails with a reset if the server has not read all bytes
	return string(out)
}

func TestServer_AnswersOneRequestPerConnection(t *testing.T) {
	r, addr := startServer(t)
	tests := []struct {
		name, text string
		status     int
		mode       string // the serving mode that was requested; empty: none
	}{
		{"status", statusRequest, 200, ""},
		{"metrics", metricsRequest, 200, ""},
		{"invariants", "GET /status/invariants HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
		{"standby", "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 200, "standby"},
		{"active, with no length", "POST /active HTTP/1.1\r\nHost: x\r\n\r\n", 200, "active"},
		{"standby with a body", "POST /standby HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 200, "standby"},
		{"HTTP/1.0", "GET /status HTTP/1.0\r\n\r\n", 200, ""},
		{"two requests at once", statusRequest + "POST /standby HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
		{"wrong method", "GET /standby HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
		{"wrong method of status", "POST /status HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
		{"wrong path", "GET /status/metrics/all HTTP/1.1\r\nHost: x\r\n\r\n", 404, ""},
		{"not HTTP", "standby\r\n\r\n", 400, ""},
		{"header larger than the limit", "GET /status HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r.requestedMode.Store(new(string))
			out := exchange(t, addr, tt.text)
			statusLine, _, _ := strings.Cut(out, "\r\n")
			if got := strings.Count(out, "HTTP/1."); got != 1 || !strings.Contains(statusLine, fmt.Sprint(" ", tt.status, " ")) {
				t.Errorf("%d responses, %q, want one with status %d", got, out, tt.status)
			}
			if got := *r.requestedMode.Load(); got != tt.mode {
				t.Errorf("requested serving mode %q, want %q", got, tt.mode)
			}
		})
	}
}

// The platform's tools parse the response bodies, so these must not change.
func TestServer_Bodies(t *testing.T) {
	r, addr := startServer(t)
	for request, want := range map[string]string{
		statusRequest: "yes: so\n",
		"GET /status/invariants HTTP/1.1\r\nHost: x\r\n\r\n":         `{"violations":{"end_twice":3}}` + "\n",
		"GET /status/resources HTTP/1.1\r\nHost: x\r\n\r\n":          `{"requests":0}` + "\n",
		"GET /status/extra-responses HTTP/1.1\r\nHost: x\r\n\r\n":    `{"extra_responses":{"h1":{"after a response":2}}}` + "\n",
		"GET /status/doubtful-responses HTTP/1.1\r\nHost: x\r\n\r\n": `{"doubtful_responses":{"h1":{"connection failed":4}}}` + "\n",
		"POST /standby HTTP/1.1\r\nHost: x\r\n\r\n":                  "yes: standing by\n",
		"POST /active HTTP/1.1\r\nHost: x\r\n\r\n":                   "yes: active\n",
	} {
		if out := exchange(t, addr, request); !strings.HasSuffix(out, "\r\n\r\n"+want) {
			t.Errorf("%q: %q, want body %q", request, out, want)
		}
	}
	r.serving.Store(false)
	if out := exchange(t, addr, statusRequest); !strings.Contains(out, " 503 ") || !strings.HasSuffix(out, "\r\n\r\nno: so\n") {
		t.Errorf("status of a relay that serves no clients: %q", out)
	}
}

// Connections that send nothing, or only a part of a request, can't lock out other callers, however many such connections there are.
// The server does not keep more connections than the limit allows.
func TestServer_IdleConnectionsLockNobodyOut(t *testing.T) {
	_, addr := startServer(t)
	var idle []net.Conn
	for i := range 20 * maxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /status HT")
		}
		idle = append(idle, c)
		if i%maxConns == 0 {
			if out := exchange(t, addr, metricsRequest); !strings.Contains(out, " 200 ") {
				t.Fatalf("response with %d idle connections open: %q", len(idle), out)
			}
		}
	}
	// All but maxConns connections were closed by the limit; the rest are closed at requestTimeout.
	for _, c := range idle {
		_ = c.SetReadDeadline(time.Now().Add(waittest.Long))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatal("an idle connection is not closed")
		}
	}
}

// All metrics of one response are from the same published snapshot, and have the form documented in docs/operators/on-call.md.
func TestServer_MetricsShowThePublishedSnapshot(t *testing.T) {
	r, addr := startServer(t)
	m := r.metrics
	for range 5 {
		m.Accepted()
	}
	m.Completed("C", Success, true)
	m.Completed("C", Shed, true)
	m.Completed("D", Shed, false) // rejected at arrival; a class that was added later
	m.Completed("C", Failure, true)
	m.Reconfigured(true)
	m.Reconfigured(false)
	m.AttemptsSent.Add(4)
	earlier := m.Snapshot()
	m.Publish(Gauges{EndpointsListed: 3, EndpointsUnhealthy: 1})
	if earlier.InFlight != 0 || earlier.Completed[Success][0] != 0 {
		t.Errorf("a published snapshot has changed: %+v", earlier)
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

// blockingRelay is a relay whose Metrics blocks until the test releases it.
type blockingRelay struct {
	fakeRelay
	called, release chan bool
}

func (r *blockingRelay) Metrics() ([]byte, error) {
	r.called <- true
	<-r.release
	return []byte("{}"), nil
}

// Close waits for a response that is being written, so that its connection is not reset.
func TestServer_CloseWaitsForResponses(t *testing.T) {
	r := &blockingRelay{called: make(chan bool, 1), release: make(chan bool, 1)}
	s := New(r, 4)
	s.shutdownTimeout = waittest.Long
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	got, closed, shuttingDown := make(chan string, 1), make(chan bool), make(chan bool)
	s.http.RegisterOnShutdown(func() { close(shuttingDown) })
	go func() { got <- exchange(t, l.Addr().String(), metricsRequest) }()
	waittest.Receive(t, r.called)
	go func() { s.Close(); close(closed) }()
	select {
	case <-shuttingDown:
	case <-closed: // Close has returned without waiting
	}
	r.release <- true
	if text := waittest.Receive(t, got); !strings.HasSuffix(text, "{}\n") {
		t.Errorf("response %q, want the metrics", text)
	}
	waittest.Receive(t, closed)
	if err := waittest.Receive(t, served); err != nil {
		t.Error(err)
	}
}
