package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"frostlink/internal/discovery"
	"frostlink/internal/notification"
	"frostlink/internal/operatorconfig"
	"frostlink/internal/wait/waittest"
)

// childConfig, childState and childOwn make the test program a relay, so that tests can kill one.
const childConfig, childState, childOwn = "FROSTLINK_TEST_CONFIG", "FROSTLINK_TEST_STATE", "FROSTLINK_TEST_OPERATOR"

func TestMain(m *testing.M) {
	path := os.Getenv(childConfig)
	if path == "" {
		os.Exit(m.Run())
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := ReadConfig(path)
	if own := os.Getenv(childOwn); err == nil && own != "" {
		cfg.Own, err = operatorconfig.Read(own)
	}
	if fd := os.Getenv("NODE_LISTEN_FD"); err == nil && fd != "" {
		cfg.ListenFD, err = strconv.Atoi(fd)
	}
	if at := os.Getenv("NODE_MANAGEMENT"); err == nil && at != "" {
		cfg.Management = at
	}
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		err = Run(ctx, cfg, os.Getenv(childState), Reread(ctx, path, cfg, hangups))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// testSettings has a class of each effect; memory is that of the keyed one, in seconds.
func testSettings(memory float64) string {
	return fmt.Sprintf(`{"az":0,"categories":[
	 {"name":"status","aim_s":2,"deadline_s":30,"idempotency":"retryable","group":"all","points":1},
	 {"name":"payment","aim_s":2,"deadline_s":30,"idempotency":"dedup","group":"all","memory_span_s":%v,"points":2},
	 {"name":"order","aim_s":2,"deadline_s":30,"idempotency":"fragile","group":"all","points":1}],
	 "discovery":"subscribe","limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":1,"max_attempts":12,
	 "max_open":50,"max_retry_after_s":3,"retry_after":true},"localities":["a"],"n_instances":1,"quantum_s":0.002,
	 "rules":{"cold_share":0.2,"overload_factor":2.5,"overload_for_s":1.5,"ramp_time_s":10},"shapes":["m2"],
	 "specifics":{"bundle_max":[1],"loses_worth":"linear","max_calls":8,"separate_routes":[false]},
	 "tenants":[{"name":"acme"}],"weights":"nominal"}`, memory)
}

// platform stands for what a relay has round it: discovery, the hosts of destination 7, and its disk.
type platform struct {
	t         *testing.T
	discovery *httptest.Server    // the one that the configuration names
	path      string              // of the configuration
	own       string              // of the operator's file; empty: none
	program   string              // the real program; empty: this one as a relay
	addr      string              // the relay's
	door      string              // its operators' door; empty: none
	socket    *os.File            // the clients' socket, where the platform holds it
	settings  func(string) string // changes the settings that the configuration has
	dir       string
	memory    float64
	disk      float64 // MB of the folder that lasts
	unknown   bool    // the configuration lists no host
	changes   bool    // watches begin with no list
	down      bool    // watches fail

	mu      sync.Mutex
	hosts   []discovery.Endpoint
	answer  func(*http.Request) int                  // a host's status; 0 for no answer while the call lasts
	header  map[string]string                        // of hosts' answers
	handle  func(http.ResponseWriter, *http.Request) // answers in place of all that
	calls   []string                                 // ids that hosts were sent
	began   chan string                              // the same, as they come
	watches []string                                 // address and query of each watch
	left    []string                                 // addresses whose watch has ended
	notices []notification.Notice
	posted  []string // the address to which each notice came
	deaf    int      // so many posts of notices fail

	lines    chan string // further lines of the watch
	released chan bool   // closed at the end
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{
		t: t, dir: t.TempDir(), memory: 15, disk: 3, began: make(chan string, 1000), lines: make(chan string, 10),
		released: make(chan bool), answer: func(*http.Request) int { return http.StatusOK },
	}
	p.path = filepath.Join(t.TempDir(), "config.json")
	t.Cleanup(func() { close(p.released) })
	p.addDiscovery()
	p.addr = freeAddress(t)
	return p
}

// freeAddress is one that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// holdSocket has the platform hold the clients' socket.
func (p *platform) holdSocket() {
	p.t.Helper()
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer l.Close()
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.socket.Close() })
}

// takes tells whether a process says that it takes clients.
func (c *child) takes() bool {
	resp, err := http.Get("http://" + c.door + "/status")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// replace starts a process beside the one that runs, and waits until it takes clients.
func (p *platform) replace() *child {
	p.t.Helper()
	p.addDoor()
	c := p.begin()
	p.until("the new process takes clients", c.takes)
	return c
}

// addDoor has the configuration name an address for operators.
func (p *platform) addDoor() { p.door = freeAddress(p.t) }

// say makes a call at the operators' door.
func (p *platform) say(path string, want int) {
	p.t.Helper()
	resp, err := http.Post("http://"+p.door+path, "", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		p.t.Errorf("%s: %s", path, resp.Status)
	}
}

// health is what clients' front is told; 0 for nothing.
func (p *platform) health() int {
	resp, err := http.Get("http://" + p.addr + "/_health")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// dialClient opens a client's connection, on which one request was answered.
func (p *platform) dialClient() (net.Conn, error) {
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

// addDiscovery starts a discovery, which the next configuration names.
func (p *platform) addDiscovery() string {
	s := httptest.NewServer(http.HandlerFunc(p.serveDiscovery))
	p.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	p.discovery = s
	return strings.TrimPrefix(s.URL, "http://")
}

// addHost starts a host of a destination.
func (p *platform) addHost(id string, dest int) discovery.Endpoint {
	s := httptest.NewServer(http.HandlerFunc(p.serveHost))
	p.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	m := discovery.Endpoint{
		Host: id, Dial: strings.TrimPrefix(s.URL, "http://"), Site: "a", Class: "m2", Block: dest,
		Health: "SERVING", Share: 100,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, m)
	return m
}

func (p *platform) serveHost(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if p.handle != nil {
		p.handle(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	p.mu.Lock()
	p.calls = append(p.calls, id)
	answer := p.answer
	p.mu.Unlock()
	status := answer(r)
	p.began <- id
	if status == 0 {
		select {
		case <-r.Context().Done():
		case <-p.released:
		}
		return
	}
	for name, value := range p.header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(status)
}

func (p *platform) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.URL.Path == "/v1/outcomes" {
		if p.deaf > 0 {
			p.deaf--
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			var n notification.Notice
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			p.notices, p.posted = append(p.notices, n), append(p.posted, r.Host)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if p.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.watches = append(p.watches, r.Host+"?"+r.URL.RawQuery)
	defer func() { p.left = append(p.left, r.Host) }()
	line, _ := json.Marshal(discovery.EndpointList{Seq: 41, Full: true, Endpoints: p.hosts})
	if p.changes {
		line = nil
	}
	_, _ = w.Write(append(line, '\n'))
	p.mu.Unlock()
	defer p.mu.Lock()
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-p.released:
			return
		case line := <-p.lines:
			_, _ = io.WriteString(w, line+"\n")
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "\n")
		}
	}
}

// set changes what the platform does.
func (p *platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// config writes the relay's configuration and returns the file's name.
func (p *platform) config() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := discovery.EndpointList{Seq: 40, Full: true, Endpoints: p.hosts}
	if p.unknown {
		list.Endpoints = nil
	}
	known, err := json.Marshal(list)
	if err != nil {
		p.t.Fatal(err)
	}
	settings := testSettings(p.memory)
	if p.settings != nil {
		settings = p.settings(settings)
	}
	text := fmt.Sprintf(`{"name":"n1","management":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":%v},"known":%s,"settings":%s}`,
		p.door, p.addr, strings.TrimPrefix(p.discovery.URL, "http://"), p.disk, known, settings)
	if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return p.path
}

// child is a relay in a process of its own.
type child struct {
	*exec.Cmd
	door   string
	exited chan error
}

// start starts a relay and waits until it is ready.
func (p *platform) start() *child {
	p.t.Helper()
	c := p.begin()
	p.until("the relay is ready", func() bool { return p.health() == http.StatusOK })
	return c
}

// begin starts a relay.
func (p *platform) begin() *child {
	p.t.Helper()
	c := &child{Cmd: exec.Command(os.Args[0]), exited: make(chan error, 1)}
	if p.program != "" {
		c.Cmd = exec.Command(p.program, "-config", p.config(), "-state", p.dir, "-operator", p.own)
	}
	c.Env = append(os.Environ(), childConfig+"="+p.config(), childState+"="+p.dir, childOwn+"="+p.own)
	if p.socket != nil {
		// Descriptor 3 is the first of these.
		c.ExtraFiles = []*os.File{os.Stdin, p.socket}
		c.Env = append(c.Env, "NODE_LISTEN_FD=4")
	}
	if p.door != "" {
		c.Env = append(c.Env, "NODE_MANAGEMENT="+p.door)
		c.door = p.door
	}
	log := &bytes.Buffer{}
	c.Stderr = log
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		c.exited <- c.Wait()
		close(ended)
	}()
	p.t.Cleanup(func() {
		_ = c.Process.Kill()
		<-ended
		if strings.Contains(log.String(), unexpectedTransition) {
			p.t.Errorf("a relay logged: %s", log)
		}
	})
	return c
}

// kill ends a relay as an outright kill does.
func (p *platform) kill(c *child) {
	p.t.Helper()
	if err := c.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	<-c.exited
}

// until waits for something to come true; how long that takes decides nothing.
func (p *platform) until(what string, true func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waittest.Long); !true(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("waited in vain: %s", what)
		}
	}
}

// called waits for a call at a host and returns its id.
func (p *platform) called() string {
	p.t.Helper()
	select {
	case id := <-p.began:
		return id
	case <-time.After(waittest.Long):
		p.t.Fatal("no call came")
		return ""
	}
}

func (p *platform) sent() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.calls...)
}

func (p *platform) told() []notification.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]notification.Notice(nil), p.notices...)
}

// handIn hands a message in and returns the answer.
func (p *platform) handIn(class, id, timeout string, change ...func(*http.Request)) *http.Response {
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

// take hands a message in that has to be taken on.
func (p *platform) take(class, id, timeout string) {
	p.t.Helper()
	if resp := p.handIn(class, id, timeout); resp.StatusCode != http.StatusAccepted {
		p.t.Fatalf("%s: %s", id, resp.Status)
	}
}
