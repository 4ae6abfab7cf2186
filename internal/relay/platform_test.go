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

// childConfig, childState and childOperator make the test program a relay, so that tests can kill one.
const childConfig, childState, childOperator = "FROSTLINK_TEST_CONFIG", "FROSTLINK_TEST_STATE", "FROSTLINK_TEST_OPERATOR"

func TestMain(m *testing.M) {
	path := os.Getenv(childConfig)
	if path == "" {
		os.Exit(m.Run())
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := ReadConfig(path)
	if operatorPath := os.Getenv(childOperator); err == nil && operatorPath != "" {
		cfg.OperatorFile, err = operatorconfig.Read(operatorPath)
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
		err = Run(ctx, cfg, os.Getenv(childState), WatchReloads(ctx, path, cfg, hangups))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// testSettings has a class of each idempotency; keyTTL is how long keys are remembered, in seconds.
func testSettings(keyTTL float64) string {
	return fmt.Sprintf(`{"az":0,"categories":[
	 {"name":"status","aim_s":2,"deadline_s":30,"idempotency":"retryable","group":"all","points":1},
	 {"name":"payment","aim_s":2,"deadline_s":30,"idempotency":"dedup","group":"all","memory_span_s":%v,"points":2},
	 {"name":"order","aim_s":2,"deadline_s":30,"idempotency":"fragile","group":"all","points":1}],
	 "discovery":"subscribe","limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":1,"max_attempts":12,
	 "max_open":50,"max_retry_after_s":3,"retry_after":true},"localities":["a"],"n_instances":1,"quantum_s":0.002,
	 "rules":{"cold_share":0.2,"overload_factor":2.5,"overload_for_s":1.5,"ramp_time_s":10},"shapes":["m2"],
	 "specifics":{"bundle_max":[1],"loses_worth":"linear","max_calls":8,"separate_routes":[false]},
	 "tenants":[{"name":"acme"}],"weights":"nominal"}`, keyTTL)
}

// platform stands in for what a relay has around it: discovery, the endpoints of destination 7, and its disk.
type platform struct {
	t                *testing.T
	discovery        *httptest.Server    // the one that the configuration names
	configPath       string              // of the configuration
	operatorPath     string              // of the operator's file; empty: none
	program          string              // the real program; empty: this one as a relay
	addr             string              // the relay's
	adminAddr        string              // of its admin endpoint; empty: none
	listenerFile     *os.File            // the clients' socket, where the platform holds it
	changeSettings   func(string) string // changes the settings that the configuration has
	dir              string
	keyTTL           float64
	diskMB           float64 // MB of the folder that lasts
	noKnownEndpoints bool    // the configuration lists no endpoint
	changesOnly      bool    // watches begin with no list
	discoveryDown    bool    // watches fail

	mu             sync.Mutex
	endpoints      []discovery.Endpoint
	respond        func(*http.Request) int                  // an endpoint's status; 0 for no response while the attempt lasts
	responseHeader map[string]string                        // of endpoints' responses
	serveAttempt   func(http.ResponseWriter, *http.Request) // serves attempts in place of all that
	attemptIDs     []string                                 // ids that endpoints were sent
	begunAttempts  chan string                              // the same, as they come
	watches        []string                                 // address and query of each watch
	endedWatches   []string                                 // addresses whose watch has ended
	notices        []notification.Notice
	noticeAddrs    []string // the address to which each notice came
	failingPosts   int      // so many posts of notices fail

	watchLines chan string // further lines of the watch
	released   chan bool   // closed at the end
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{
		t: t, dir: t.TempDir(), keyTTL: 15, diskMB: 3, begunAttempts: make(chan string, 1000), watchLines: make(chan string, 10),
		released: make(chan bool), respond: func(*http.Request) int { return http.StatusOK },
	}
	p.configPath = filepath.Join(t.TempDir(), "config.json")
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

// shareListener has the platform hold the clients' socket.
func (p *platform) shareListener() {
	p.t.Helper()
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer l.Close()
	if p.listenerFile, err = l.(*net.TCPListener).File(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = p.listenerFile.Close() })
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

// addEndpoint starts an endpoint of a destination.
func (p *platform) addEndpoint(id string, dest int) discovery.Endpoint {
	s := httptest.NewServer(http.HandlerFunc(p.serveEndpoint))
	p.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	m := discovery.Endpoint{
		ID: id, Address: strings.TrimPrefix(s.URL, "http://"), Zone: "a", Kind: "m2", Destination: dest,
		Health: "SERVING", Weight: 100,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints = append(p.endpoints, m)
	return m
}

func (p *platform) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if p.serveAttempt != nil {
		p.serveAttempt(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	p.mu.Lock()
	p.attemptIDs = append(p.attemptIDs, id)
	answer := p.respond
	p.mu.Unlock()
	status := answer(r)
	p.begunAttempts <- id
	if status == 0 {
		select {
		case <-r.Context().Done():
		case <-p.released:
		}
		return
	}
	for name, value := range p.responseHeader {
		w.Header().Set(name, value)
	}
	w.WriteHeader(status)
}

func (p *platform) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.URL.Path == "/v1/outcomes" {
		if p.failingPosts > 0 {
			p.failingPosts--
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			var n notification.Notice
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			p.notices, p.noticeAddrs = append(p.notices, n), append(p.noticeAddrs, r.Host)
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if p.discoveryDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.watches = append(p.watches, r.Host+"?"+r.URL.RawQuery)
	defer func() { p.endedWatches = append(p.endedWatches, r.Host) }()
	line, _ := json.Marshal(discovery.EndpointList{Seq: 41, Full: true, Endpoints: p.endpoints})
	if p.changesOnly {
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
		case line := <-p.watchLines:
			_, _ = io.WriteString(w, line+"\n")
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "\n")
		}
	}
}

// update changes what the platform does.
func (p *platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// writeConfig writes the relay's configuration and returns the file's name.
func (p *platform) writeConfig() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := discovery.EndpointList{Seq: 40, Full: true, Endpoints: p.endpoints}
	if p.noKnownEndpoints {
		list.Endpoints = nil
	}
	known, err := json.Marshal(list)
	if err != nil {
		p.t.Fatal(err)
	}
	settings := testSettings(p.keyTTL)
	if p.changeSettings != nil {
		settings = p.changeSettings(settings)
	}
	text := fmt.Sprintf(`{"name":"n1","management":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024,"disk_mb":%v},"known":%s,"settings":%s}`,
		p.adminAddr, p.addr, strings.TrimPrefix(p.discovery.URL, "http://"), p.diskMB, known, settings)
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return p.configPath
}

// child is a relay in a process of its own.
type child struct {
	*exec.Cmd
	adminAddr string
	exited    chan error
}

// start starts a relay and waits until it is ready.
func (p *platform) start() *child {
	p.t.Helper()
	c := p.spawn()
	p.waitFor("the relay is ready", func() bool { return p.health() == http.StatusOK })
	return c
}

// spawn starts a relay.
func (p *platform) spawn() *child {
	p.t.Helper()
	c := &child{Cmd: exec.Command(os.Args[0]), exited: make(chan error, 1)}
	if p.program != "" {
		c.Cmd = exec.Command(p.program, "-config", p.writeConfig(), "-state", p.dir, "-operator", p.operatorPath)
	}
	c.Env = append(os.Environ(), childConfig+"="+p.writeConfig(), childState+"="+p.dir, childOperator+"="+p.operatorPath)
	if p.listenerFile != nil {
		// Descriptor 3 is the first of these.
		c.ExtraFiles = []*os.File{os.Stdin, p.listenerFile}
		c.Env = append(c.Env, "NODE_LISTEN_FD=4")
	}
	if p.adminAddr != "" {
		c.Env = append(c.Env, "NODE_MANAGEMENT="+p.adminAddr)
		c.adminAddr = p.adminAddr
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

// startSuccessor starts a process beside the one that runs, and waits until it serves.
func (p *platform) startSuccessor() *child {
	p.t.Helper()
	p.addAdminEndpoint()
	c := p.spawn()
	p.waitFor("the new process serves", c.isServing)
	return c
}

// addAdminEndpoint has the configuration name an address for the admin endpoint.
func (p *platform) addAdminEndpoint() { p.adminAddr = freeAddress(p.t) }

// kill ends a relay by SIGKILL.
func (p *platform) kill(c *child) {
	p.t.Helper()
	if err := c.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	<-c.exited
}

// waitFor waits for a condition; how long that takes decides nothing.
func (p *platform) waitFor(what string, true func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waittest.Long); !true(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// isServing reports whether a process says that it serves.
func (c *child) isServing() bool {
	resp, err := http.Get("http://" + c.adminAddr + "/status")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
