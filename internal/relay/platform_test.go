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

// childConfig, childState and childOperator are environment variables by which the test program runs as a relay, so that tests
// can kill a relay.
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
		cfg.OperatorPath = operatorPath
	}
	if fd := os.Getenv("NODE_LISTEN_FD"); err == nil && fd != "" {
		cfg.ListenFD, err = strconv.Atoi(fd)
	}
	if at := os.Getenv("NODE_MANAGEMENT"); err == nil && at != "" {
		cfg.AdminAddress = at
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

// testSettings returns settings with one class of each idempotency. keyTTL is the key TTL in seconds.
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

// platform is a stand-in for a relay's environment: discovery, the endpoints and the folder.
type platform struct {
	t                *testing.T
	discovery        *httptest.Server    // the discovery service that the configuration names
	configPath       string              // path of the configuration
	operatorPath     string              // path of the operator's file; empty: none
	program          string              // path of the real program; empty: the test program runs as a relay
	addr             string              // the relay's address for clients
	adminAddr        string              // address of the admin endpoint; empty: none
	listenerFile     *os.File            // the clients' listening socket, if the platform holds it
	changeSettings   func(string) string // changes the settings before they are written; nil: no change
	dir              string
	keyTTL           float64
	diskMB           float64 // limit of the folder's size
	noKnownEndpoints bool    // the configuration lists no endpoint
	changesOnly      bool    // watches begin without a full list
	discoveryDown    bool    // watches fail

	mu             sync.Mutex
	endpoints      []discovery.Endpoint
	respond        func(*http.Request) int                  // returns an endpoint's status; 0: no response while the attempt lasts
	responseHeader map[string]string                        // of endpoints' responses
	serveAttempt   func(http.ResponseWriter, *http.Request) // if set, serves attempts instead of respond
	attemptIDs     []string                                 // ids of the attempts at endpoints, in order
	begunAttempts  chan string                              // receives the id of each attempt
	watches        []string                                 // address and query string of each watch
	endedWatches   []string                                 // address of each watch that has ended
	notices        []notification.Notice
	noticeAddrs    []string // address to which each notice was posted
	failingPosts   int      // number of posts of notices that still fail

	watchLines chan string // further lines to send on the watch
	released   chan bool   // closed when the test ends
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

// freeAddress returns an address that no socket listens on. Its host is a loopback address that only this process uses, since another
// process could take a port of 127.0.0.1 before a relay listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// shareListener makes the platform hold the clients' listening socket and pass it to each relay.
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

// addDiscovery starts a discovery service, which the next configuration names, and returns its address.
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
	respond := p.respond
	p.mu.Unlock()
	status := respond(r)
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

// closeAfterResponses makes endpoints close a connection after each response. On a connection that is used again, a response that comes
// sooner than the ones before may belong to an earlier request, as happens on a busy machine; then a rejected request may have executed.
func (p *platform) closeAfterResponses() {
	p.responseHeader = map[string]string{"Connection": "close"}
}

// update changes fields of the platform under its lock.
func (p *platform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// writeConfig writes the relay's configuration and returns its path.
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
		// The first of these is descriptor 3, so the listening socket is 4.
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

// startSuccessor starts another process while one is running, and waits until the new one serves.
func (p *platform) startSuccessor() *child {
	p.t.Helper()
	p.addAdminEndpoint()
	c := p.spawn()
	p.waitFor("the new process serves", c.isServing)
	return c
}

// addAdminEndpoint makes the configuration name an address for the admin endpoint.
func (p *platform) addAdminEndpoint() { p.adminAddr = freeAddress(p.t) }

// kill ends a relay by SIGKILL.
func (p *platform) kill(c *child) {
	p.t.Helper()
	if err := c.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
	<-c.exited
}

// waitFor waits for a condition with a long time-out, so that the machine's speed does not decide whether the test passes.
func (p *platform) waitFor(what string, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waittest.Long); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// isServing reports whether the process's admin endpoint says that it serves.
func (c *child) isServing() bool {
	resp, err := http.Get("http://" + c.adminAddr + "/status")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
