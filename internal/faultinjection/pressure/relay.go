package pressure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"frostlink/internal/discovery"
)

const (
	// readyTimeout is how long a process may take until it is ready.
	readyTimeout = 10 * time.Second
	// pollInterval is the interval of checks whether a process is ready or has ended.
	pollInterval = 10 * time.Millisecond
)

// ErrExited says that a process ended although no signal was sent to it.
var ErrExited = errors.New("relay process ended by itself")

// Limits are the resources that the configuration grants the relay.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// settingsText has one class of each idempotency and an ordered one. %d is the number of requests that the relay may hold.
const settingsText = `{"az":0,"categories":[
 {"name":"status","aim_s":2,"deadline_s":12,"idempotency":"retryable","group":"all","points":1},
 {"name":"payment","aim_s":2,"deadline_s":12,"idempotency":"dedup","group":"all","memory_span_s":15,"points":2},
 {"name":"order","aim_s":2,"deadline_s":12,"idempotency":"fragile","group":"all","points":1},
 {"name":"deed","aim_s":2,"deadline_s":12,"idempotency":"retryable","fifo_by_key":true,"group":"all","points":1}],
 "discovery":"subscribe","limits":{"cancel":true,"conn_idle_s":10,"connect_timeout_s":1,"max_attempts":12,
 "max_open":%d,"max_retry_after_s":3,"retry_after":true},"localities":["a"],"n_instances":1,"quantum_s":0.002,
 "rules":{"cold_share":0.2,"overload_factor":2.5,"overload_for_s":1.5,"ramp_time_s":10},"shapes":["m2"],
 "specifics":{"bundle_max":[1],"loses_worth":"linear","max_calls":24,"separate_routes":[false]},
 "tenants":[],"weights":"nominal"}`

// Relay is a relay under pressure.
type Relay struct {
	// Address is the relay's address for clients, and AdminAddress that of its admin endpoint.
	Address, AdminAddress string
	// MaxHeld is the number of requests that the relay may hold.
	MaxHeld int
	// Operator is the content of the operator's file; empty: there is none. It is written by Configure.
	Operator string

	program  string
	dir      string
	limits   Limits
	platform *Platform
	usage    *Usage
	log      *os.File
	socket   *os.File // the clients' listening socket
	process  *Process // that serves clients
}

// Process is one process of a relay.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

// NewRelay returns a relay without a process. Its configuration and its folder are in dir.
func NewRelay(program, dir string, limits Limits, platform *Platform) (*Relay, error) {
	r := &Relay{program: program, dir: dir, limits: limits, platform: platform, MaxHeld: 400}
	if err := r.listen(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(r.StateDir(), 0o700); err != nil {
		return nil, fmt.Errorf("folder of the relay: %w", err)
	}
	var err error
	if r.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, fmt.Errorf("log of the relay: %w", err)
	}
	r.usage = newUsage(r.StateDir())
	return r, r.Configure()
}

// listen opens the clients' listening socket, which all processes of the relay inherit.
func (r *Relay) listen() error {
	l, err := listen()
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }() // the file is a duplicate
	r.Address = l.Addr().String()
	if r.socket, err = l.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("the clients' socket: %w", err)
	}
	return nil
}

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	if err := l.Close(); err != nil {
		return "", fmt.Errorf("choose an address: %w", err)
	}
	return l.Addr().String(), nil
}

// StateDir returns the folder that outlasts the relay's processes.
func (r *Relay) StateDir() string { return filepath.Join(r.dir, "state") }

// Usage returns what the relay's processes use.
func (r *Relay) Usage() *Usage { return r.usage }

// configuration is the platform's configuration file.
type configuration struct {
	Name      string                 `json:"name"`
	Listen    string                 `json:"listen"`
	Discovery string                 `json:"discovery"`
	Seed      string                 `json:"seed"`
	Limits    Limits                 `json:"limits"`
	Known     discovery.EndpointList `json:"known"`
	Settings  json.RawMessage        `json:"settings"`
}

// Configure writes the configuration file.
func (r *Relay) Configure() error {
	raw, err := json.Marshal(configuration{
		Name: "n1", Listen: r.Address, Discovery: r.platform.discovery.Addr().String(), Seed: "8c1f30d27a5be964",
		Limits: r.limits, Known: r.platform.list(), Settings: json.RawMessage(fmt.Sprintf(settingsText, r.MaxHeld)),
	})
	if err != nil {
		return fmt.Errorf("configuration of the relay: %w", err)
	}
	if err := os.WriteFile(r.configPath(), raw, 0o600); err != nil {
		return fmt.Errorf("configuration of the relay: %w", err)
	}
	if err := os.WriteFile(r.operatorPath(), []byte("version = 1\n"+r.Operator), 0o600); err != nil {
		return fmt.Errorf("operator's file of the relay: %w", err)
	}
	return nil
}

func (r *Relay) operatorPath() string { return filepath.Join(r.dir, "operator.toml") }

func (r *Relay) configPath() string { return filepath.Join(r.dir, "config.json") }

// inheritedFD is the descriptor that the first of exec.Cmd's ExtraFiles has in the started process.
const inheritedFD = 3

// Start starts a process and waits until it is ready. If another process serves, the new one takes over from it, and the other one
// is terminated then.
func (r *Relay) Start() error {
	admin, err := freeAddress()
	if err != nil {
		return err
	}
	p := &Process{exited: make(chan struct{})}
	p.cmd = exec.Command(r.program, "-config", r.configPath(), "-state", r.StateDir(), "-operator", r.operatorPath())
	p.cmd.Stdout, p.cmd.Stderr = r.log, r.log
	p.cmd.ExtraFiles = []*os.File{r.socket}
	p.cmd.Env = append(os.Environ(), "NODE_MANAGEMENT="+admin, fmt.Sprintf("NODE_LISTEN_FD=%d", inheritedFD))
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start the relay: %w", err)
	}
	r.usage.watch(p.cmd.Process.Pid)
	go func() {
		_ = p.cmd.Wait() // the state says how it ended
		close(p.exited)
	}()
	predecessor := r.process
	r.process, r.AdminAddress = p, admin
	if err := r.awaitReady(); err != nil {
		return err
	}
	if predecessor == nil || predecessor.hasExited() {
		return nil
	}
	if err := predecessor.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("terminate the predecessor: %w", err)
	}
	return predecessor.awaitExit(readyTimeout)
}

// awaitReady waits until the process's admin endpoint says that it serves.
func (r *Relay) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if r.process.hasExited() {
			return fmt.Errorf("%w: %s", ErrExited, r.LogTail())
		}
		if status, _, err := r.AskAdmin("/status"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("relay not ready after %v: %s", readyTimeout, r.LogTail())
}

// AskAdmin calls the relay's admin endpoint.
func (r *Relay) AskAdmin(path string) (status int, text string, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.AdminAddress + path)
	if err != nil {
		return 0, "", fmt.Errorf("admin endpoint: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read by then
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("admin endpoint: %w", err)
	}
	return resp.StatusCode, strings.TrimSpace(string(raw)), nil
}

// Alive returns ErrExited if the process has ended.
func (r *Relay) Alive() error {
	if r.process.hasExited() {
		return fmt.Errorf("%w: %v: %s", ErrExited, r.process.cmd.ProcessState, r.LogTail())
	}
	return nil
}

// Signal sends a signal to the process that serves clients.
func (r *Relay) Signal(sig syscall.Signal) error {
	if err := r.process.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal the relay: %w", err)
	}
	return nil
}

// Kill ends the process by SIGKILL and waits for its end.
func (r *Relay) Kill() error { return r.endBy(syscall.SIGKILL, readyTimeout) }

// Terminate ends the process by SIGTERM, and kills it after the grace.
func (r *Relay) Terminate(grace time.Duration) error {
	if err := r.endBy(syscall.SIGTERM, grace); err != nil {
		return r.Kill()
	}
	return nil
}

func (r *Relay) endBy(sig syscall.Signal, timeout time.Duration) error {
	if err := r.Signal(sig); err != nil {
		return err
	}
	return r.process.awaitExit(timeout)
}

// Close ends the relay.
func (r *Relay) Close() {
	if r.process != nil {
		_ = r.Kill() // the process may have ended already
	}
	r.usage.stop()
	_ = r.log.Close() // the processes have written it
	_ = r.socket.Close()
}

// LogTail returns the last lines of the processes' log.
func (r *Relay) LogTail() string {
	raw, _ := os.ReadFile(r.log.Name())
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-40):], "\n")
}

func (p *Process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *Process) awaitExit(timeout time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("relay process still runs after %v", timeout)
	}
}
