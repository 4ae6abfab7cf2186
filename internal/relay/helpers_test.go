package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/admin"
	"frostlink/internal/discovery"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/internal/notification"
	"frostlink/internal/wait/waittest"
	"frostlink/policy"
)

// postAdmin posts to a path of the admin endpoint, which must succeed.
func (p *platform) postAdmin(path string) {
	p.t.Helper()
	resp, err := http.Post("http://"+p.adminAddr+path, "", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p.t.Errorf("%s: %s", path, resp.Status)
	}
}

// health returns the status of the health check, or 0 if there is no response.
func (p *platform) health() int {
	resp, err := http.Get("http://" + p.addr + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// dialUsedConn opens a client connection and has one request answered on it.
func (p *platform) dialUsedConn() (net.Conn, error) {
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(waittest.Long))
	if _, err = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err == nil {
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	return c, err
}

// openConn opens a client connection.
func (p *platform) openConn() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waittest.Long))
	return c
}

// openUsedConn opens a client connection and has one request answered on it. The relay then allows 2.5 s from the first to the
// last byte of a further request on this connection.
func (p *platform) openUsedConn() net.Conn {
	p.t.Helper()
	c, err := p.dialUsedConn()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return c
}

// rawOrderHead returns the head of a request with a body of five bytes.
func rawOrderHead(id string) string {
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nTenant: acme\r\nRequest-Timeout: 25\r\n"+
		"X-Envelope: dest=7\r\nContent-Length: 5\r\n\r\n", id)
}

// rawStatusRequest returns a request of class status.
func rawStatusRequest(id string) string {
	return "POST /status HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nTenant: acme\r\nRequest-Timeout: 25\r\n" +
		"X-Envelope: dest=7\r\nContent-Length: 4\r\n\r\nbody"
}

func (p *platform) write(c net.Conn, text string) {
	p.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		p.t.Fatal(err)
	}
}

// expectFinalAccepted reads a response, which must be a 202 that closes the connection.
func (p *platform) expectFinalAccepted(what string, c net.Conn) {
	p.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.t.Errorf("%s: %v", what, err)
		return
	}
	if resp.StatusCode != http.StatusAccepted || !resp.Close {
		p.t.Errorf("%s: %s, close %v", what, resp.Status, resp.Close)
	}
}

// nextAttempt waits for an attempt at an endpoint and returns its request's id.
func (p *platform) nextAttempt() string {
	p.t.Helper()
	select {
	case id := <-p.begunAttempts:
		return id
	case <-time.After(waittest.Long):
		p.t.Fatal("timed out waiting for an attempt")
		return ""
	}
}

func (p *platform) attempts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.attemptIDs...)
}

func (p *platform) receivedNotices() []notification.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]notification.Notice(nil), p.notices...)
}

// submit submits a request and returns the response.
func (p *platform) submit(class, id, timeout string, change ...func(*http.Request)) *http.Response {
	p.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/"+class, strings.NewReader("body of "+id))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Tenant", "acme")
	r.Header.Set("Request-Timeout", timeout)
	r.Header.Set("X-Envelope", "dest=7")
	r.Header.Set("Idempotency-Key", "key-"+id)
	for _, c := range change {
		c(r)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Fatalf("%s: %v", id, err)
	}
	_ = resp.Body.Close()
	return resp
}

// mustAccept submits a request, which must be accepted.
func (p *platform) mustAccept(class, id, timeout string) {
	p.t.Helper()
	if resp := p.submit(class, id, timeout); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("%s: %s", id, resp.Status)
	}
}

// trySubmit submits a request and returns the status of its response, or 0 if there is none, as when no relay is running.
func (p *platform) trySubmit(class, id, timeout string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/"+class, strings.NewReader("body of "+id))
	if err != nil {
		return 0
	}
	for name, v := range map[string]string{
		"Request-Id": id, "Tenant": "acme", "Request-Timeout": timeout, "X-Envelope": "dest=7",
		"Idempotency-Key": "key-" + id,
	} {
		r.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// orderKey gives a request an order key, in the cookie in which requests of ordered classes carry it.
func orderKey(name string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Cookie", "other=1; subject="+name) }
}

// firstAttempts returns the ids of the requests that were sent to endpoints, in the order of their first attempts.
func (p *platform) firstAttempts() (ids []string) {
	for _, id := range p.attempts() {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// blockAttempts makes attempts of one request wait until unblock is called.
func (p *platform) blockAttempts(id string) (unblock func()) {
	released := make(chan bool)
	unblock = sync.OnceFunc(func() { close(released) })
	p.t.Cleanup(unblock)
	p.respond = func(r *http.Request) int {
		if r.Header.Get("Request-Id") == id {
			<-released
		}
		return http.StatusOK
	}
	return unblock
}

// orderClass makes a class an ordered one.
func (p *platform) orderClass(class string) {
	p.changeSettings = func(s string) string {
		return strings.Replace(s, `{"name":"`+class+`",`, `{"name":"`+class+`","fifo_by_key":true,`, 1)
	}
}

// watchLine returns a line of a watch with a change of the list.
func watchLine(t *testing.T, seq int64, endpoints ...discovery.Endpoint) string {
	t.Helper()
	line, err := json.Marshal(discovery.EndpointList{Seq: seq, Endpoints: endpoints})
	if err != nil {
		t.Fatal(err)
	}
	return string(line)
}

// readJournal reads a journal that a running relay may be writing.
func readJournal(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	j, err := journal.Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// openEarlierJournal opens a journal for writing, so that a test can write the records of an earlier process.
func openEarlierJournal(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	j, err := journal.Open(dir, 3, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

func mustCommit(t *testing.T, j *journal.Journal) {
	t.Helper()
	if err := j.Commit(); err != nil {
		t.Fatal(err)
	}
}

func readEntries(t *testing.T, dir string) []*journal.Entry {
	t.Helper()
	return readJournal(t, dir).Entries()
}

func readHealth(t *testing.T, dir string) map[string]journal.Health {
	t.Helper()
	return readJournal(t, dir).Health()
}

// refusingAddress returns an address at which connections are refused.
func refusingAddress(t *testing.T) string {
	t.Helper()
	p := newPlatform(t)
	return p.addr
}

// metricsResponse holds the metrics that the admin endpoint of a relay under test returns.
type metricsResponse struct {
	Success, Busy, Failure map[string]int
	BackendCalls           int `json:"backend_calls"`
	Inflight               int
	HostsListed            int `json:"hosts_listed"`
	HostsDown              int `json:"hosts_down"`
	ReconfigOK             int `json:"reconfig_ok"`
	ReconfigFailed         int `json:"reconfig_failed"`
}

// metrics reads the metrics.
func (p *platform) metrics() (f metricsResponse) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.adminAddr + "/status/metrics")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		p.t.Fatal(err)
	}
	return f
}

// reloadConfig writes a configuration, signals the relay to read it, and waits until the metrics count that. good says whether
// the relay must accept it.
func (p *platform) reloadConfig(c *child, text string, good bool) {
	p.t.Helper()
	before := p.metrics()
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
	p.waitFor("the reload is counted", func() bool {
		f := p.metrics()
		if good {
			return f.ReconfigOK == before.ReconfigOK+1
		}
		return f.ReconfigFailed == before.ReconfigFailed+1
	})
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// loopWithAcceptedRequest returns a loop with an accepted request of a class. The loop has no dispatcher and no goroutines.
func loopWithAcceptedRequest(t *testing.T, class policy.Class, left time.Duration) (*loop, *request) {
	t.Helper()
	j, err := journal.Open(t.TempDir(), 1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	cfg := &Config{}
	cfg.policy.Classes = []policy.Class{class}
	l := &loop{
		cfg: cfg, timeline: j.Timeline(), journal: j, violations: &invariant.Counts{}, metrics: admin.NewMetrics(nil),
		notifier: notification.New("127.0.0.1:0", nil), endpoints: map[string]discovery.Endpoint{"h": {ID: "h", Destination: 3}}, requests: map[string]*request{},
	}
	r := &request{state: stateAccepted, Entry: &journal.Entry{ID: "m", Class: class.Name, Destination: 3, Deadline: l.timeline.Now().Add(left)}}
	j.SetTerms(r.Entry, class)
	j.Accept(r.Entry)
	l.requests[r.ID] = r
	l.deadlines.Add(r.ID, r.Deadline)
	return l, r
}
