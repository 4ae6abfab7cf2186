package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/invariant"
	"frostlink/internal/syserr"
	"frostlink/internal/wait"
)

const (
	// shutdownGrace a planned end was asked for, a relay is killed.
	shutdownGrace = 3700 * time.Millisecond
	// readyPollInterval is between looks whether a relay is ready.
	readyPollInterval = 20 * time.Millisecond
	// killTimeout is how long a killed process may take to be gone.
	killTimeout = 5 * time.Second
	// clockTicks a second is the unit of the times in /proc/PID/stat: USER_HZ, 100 on every Linux.
	clockTicks = 100
	quarters   = 4
)

// ProcessUsage is what one relay took of its machine.
type ProcessUsage struct {
	Name         string            `json:"name"`
	Starts       int               `json:"starts"`
	Crashes      int               `json:"crashes"`
	MemoryMB     [quarters]float64 `json:"memory_mb"`   // the most resident in each quarter of the run
	Descriptors  [quarters]int     `json:"descriptors"` // the most open in each quarter
	CPUSeconds   float64           `json:"cpu_s"`
	StateKB      float64           `json:"state_kb"`             // the most in the folder that lasts
	AdminReads   int               `json:"door_reads,omitempty"` // of figures at its door
	AdminLatency checker.Quantiles `json:"door_s"`               // how long its door took for them
}

// relay is one relay: a process that may come and go, and what stays.
type relay struct {
	h        *harness
	number   int
	name     string
	listen   string // where clients connect
	peer     string // where other relays' datagrams arrive
	peers    []string
	peersAll string
	usage    ProcessUsage

	clock         *faults.WallClock     // of all its processes; nil: the machine's
	syscallErrors *faults.SyscallErrors // nil: no system call is made to fail
	socket        *os.File              // where clients connect, held for all its processes; nil: each listens by itself

	mu              sync.Mutex
	discovery       string
	settingsInForce scenario.ReloadableSettings
	process         *process // that takes clients; nil: none does
	starts          int
	cpuBefore       float64   // of processes that are gone
	adminLatencies  []float64 // seconds that its door took for each read of figures
}

// process is one process of a relay.
type process struct {
	relay     *relay
	number    int // of the relay's, from 1
	pid       int
	adminAddr string // where operators call
	exited    chan struct{}

	// With the relay's lock.
	expected   bool // its end was asked for
	replaced   bool // another has taken its place
	standingBy bool // it has not taken the place of the one before yet
}

// serving gives the process that takes clients, or nil.
func (rel *relay) serving() *process {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	return rel.process
}

func newRelay(r *harness, number int) (*relay, error) {
	rel := &relay{h: r, number: number, name: fmt.Sprintf("relay-%d", number+1), settingsInForce: r.scenario.InitialSettings()}
	rel.usage.Name = rel.name
	var err error
	if rel.listen, err = r.loopback.Address(); err != nil {
		return nil, err
	}
	if rel.peer, err = r.loopback.Address(); err != nil {
		return nil, err
	}
	if r.scenario.Upgrades() { // the processes inherit one socket
		if rel.socket, err = listenFile(rel.listen); err != nil {
			return nil, err
		}
	}
	for _, dir := range []string{rel.state(), rel.temp()} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	if r.clockLibrary != "" {
		if rel.clock, err = faults.NewWallClock(r.clockLibrary, filepath.Join(rel.dir(), "wall-clock-offset")); err != nil {
			return nil, err
		}
	}
	if r.callLibrary != "" {
		if rel.syscallErrors, err = faults.NewSyscallErrors(r.callLibrary, filepath.Join(rel.dir(), "syscall-rules"), rel.state(),
			r.random.Stream("syscalls", number).Uint64()); err != nil {
			return nil, err
		}
	}
	return rel, nil
}

// listenFile returns a socket that listens on an address, for processes to inherit.
func listenFile(addr string) (*os.File, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("socket to inherit: %w", err)
	}
	defer func() { _ = ln.Close() }() // the file is a duplicate, and stays open
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, fmt.Errorf("socket to inherit: %w", err)
	}
	return file, nil
}

func (rel *relay) dir() string        { return filepath.Join(rel.h.workDir, rel.name) }
func (rel *relay) state() string      { return filepath.Join(rel.dir(), "state") }
func (rel *relay) temp() string       { return filepath.Join(rel.dir(), "tmp") }
func (rel *relay) configPath() string { return filepath.Join(rel.dir(), "config.json") }
func (rel *relay) operatorPath() string {
	return filepath.Join(rel.dir(), "frostlink.toml")
}

// writeOperator writes the operator's file that the script gives.
func (rel *relay) writeOperator() error {
	text := strings.NewReplacer("{dir}", rel.dir(), "{coordination}", rel.h.coordination.text).Replace(rel.h.scenario.Relay.Operator)
	return os.WriteFile(rel.operatorPath(), []byte(text), 0o600)
}

func (rel *relay) logPath() string { return filepath.Join(rel.dir(), "log") }

func (rel *relay) setDiscovery(addr string) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.discovery = addr
}

// configure writes the platform's configuration, in place at once.
func (rel *relay) configure() error {
	rel.mu.Lock()
	discovery, starts, terms := rel.discovery, rel.starts, rel.settingsInForce
	rel.mu.Unlock()
	s := rel.h.scenario
	seed := fmt.Sprintf("%016x", rel.h.random.Stream("relay", rel.number, starts).Uint64())
	raw, err := json.MarshalIndent(map[string]any{
		"name": rel.name, "listen": rel.listen, "discovery": discovery, "seed": seed,
		"limits": map[string]any{
			"cores": s.Relay.Cores, "memory_mb": s.Relay.MemoryMB, "sockets": s.Relay.Sockets,
			"disk_mb": s.Relay.DiskMB,
		},
		"peer_listen": rel.peer, "peers": rel.peers, "peers_all": rel.peersAll,
		"known": rel.h.discovery.initialList(rel.number), "settings": s.RelaySettingsWith(rel.number, terms),
	}, "", " ")
	if err != nil {
		return err
	}
	next := rel.configPath() + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, rel.configPath())
}

// start starts a relay's process and waits until it is ready.
func (rel *relay) start() error {
	if err := rel.configure(); err != nil {
		return err
	}
	p, err := rel.launch(false)
	if err != nil {
		return err
	}
	rel.mu.Lock()
	rel.process = p
	rel.mu.Unlock()
	return rel.awaitReady(p)
}

// launch starts a process, beside one that may be running.
func (rel *relay) launch(beside bool) (*process, error) {
	// One for each process: two of a relay run side by side in an upgrade.
	door, err := rel.h.loopback.Address()
	if err != nil {
		return nil, err
	}
	p := &process{relay: rel, adminAddr: door, exited: make(chan struct{}), standingBy: beside}
	log, err := os.OpenFile(rel.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	o := &rel.h.options
	args := o.RelayCommand[1:]
	if rel.h.scenario.Relay.Operator != "" {
		if err := rel.writeOperator(); err != nil {
			return nil, err
		}
		args = append(slices.Clone(args), "-operator", rel.operatorPath())
	}
	cmd := exec.Command(o.RelayCommand[0], args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = rel.dir(), log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	rel.mu.Lock()
	cmd.Env = append(os.Environ(), "NODE_NAME="+rel.name, "NODE_LISTEN="+rel.listen, "NODE_DISCOVERY="+rel.discovery,
		"NODE_STATE="+rel.state(), "NODE_CONFIG="+rel.configPath(), "TMPDIR="+rel.temp(),
		"NODE_MANAGEMENT="+p.adminAddr)
	if rel.socket != nil {
		cmd.ExtraFiles = []*os.File{rel.socket}
		cmd.Env = append(cmd.Env, "NODE_LISTEN_FD=3") // the first of the further files
	}
	rel.mu.Unlock()
	cmd.Env = append(cmd.Env, rel.injectedEnv()...)
	cmd.Env = append(cmd.Env, o.Env...)
	if err := rel.h.launcher.Start(cmd); err != nil {
		return nil, fmt.Errorf("%s: %w", rel.name, err)
	}
	p.pid = cmd.Process.Pid
	rel.mu.Lock()
	rel.starts++
	rel.usage.Starts++
	p.number = rel.starts
	rel.mu.Unlock()
	rel.h.record(checker.Event{Kind: checker.Started, Relay: rel.number, Process: p.number})
	go p.wait(cmd)
	return p, nil
}

// injectedEnv is the environment by which faults are injected into a process.
func (rel *relay) injectedEnv() (env []string) {
	var libraries []string
	if rel.clock != nil {
		env, libraries = append(env, rel.clock.Env()...), append(libraries, rel.clock.Library())
	}
	if rel.syscallErrors != nil {
		env, libraries = append(env, rel.syscallErrors.Env()...), append(libraries, rel.syscallErrors.Library())
	}
	if len(libraries) == 0 {
		return nil
	}
	return append(env, faults.Preload(libraries...))
}

// failSyscalls has a share of a relay's system calls of some kinds fail for a while.
func (rel *relay) failSyscalls(e *scenario.Fault, calls ...faults.Syscall) {
	var rules []faults.Rule
	for _, call := range calls {
		rule, err := rel.syscallErrors.Fail(call, scenario.Errno(e.Errno), e.Share)
		if err != nil {
			rel.h.recordFailure("%s: %v", rel.name, err)
			continue
		}
		rules = append(rules, rule)
	}
	begins, ends := checker.Kind(""), checker.Kind("")
	switch class := syserr.Classify(syserr.Read, scenario.Errno(e.Errno)); {
	case calls[0] >= faults.FileWrite:
		begins, ends = checker.FolderFails, checker.FolderWorks
	case class == syserr.Peer && (calls[0] == faults.SocketRead || calls[0] == faults.SocketWrite):
		begins, ends = checker.SocketsBreak, checker.SocketsHold
	}
	if begins != "" {
		rel.h.record(checker.Event{Kind: begins, Relay: rel.number})
		defer func() { rel.h.record(checker.Event{Kind: ends, Relay: rel.number}) }()
	}
	wait.For(rel.h.ctx, scenario.Seconds(e.Duration))
	for _, rule := range rules {
		if _, err := rel.syscallErrors.Clear(rule); err != nil {
			rel.h.recordFailure("%s: %v", rel.name, err)
		}
	}
}

// wait notes a process's end.
func (p *process) wait(cmd *exec.Cmd) {
	err, rel := cmd.Wait(), p.relay
	rel.mu.Lock()
	expected, replaced, beside := p.expected, p.replaced, p.standingBy
	if rel.process == p {
		rel.process = nil
	}
	rel.cpuBefore += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
	rel.usage.CPUSeconds = rel.cpuBefore
	if !expected && !replaced {
		rel.usage.Crashes++
	}
	rel.mu.Unlock()
	switch {
	case beside && !expected: // the one before serves on
		rel.h.recordFailure("%s: the process that is to take over ended: %v; its log ends: %s", rel.name, err, rel.logTail())
	case beside:
	case !expected && !replaced:
		rel.h.record(checker.Event{Kind: checker.Crashed, Relay: rel.number, Status: cmd.ProcessState.ExitCode()})
		rel.h.recordFailure("%s ended without being asked to: %v; its log ends: %s", rel.name, err, rel.logTail())
		rel.h.balancer.relayLeaving(rel.number, rel.detectionDelay())
	case !replaced: // else the relay goes on, in the process that took this one's place
		rel.h.record(checker.Event{Kind: checker.Killed, Relay: rel.number})
	}
	close(p.exited)
}

// logTail are the end of a relay's log, in one line.
func (rel *relay) logTail() string {
	raw, _ := os.ReadFile(rel.logPath())
	text := strings.Join(strings.Fields(string(raw[max(0, len(raw)-300):])), " ")
	return strconv.Quote(text)
}

// violations are the invariants that a relay found violated, by its log.
func (rel *relay) violations() (found []string) {
	raw, err := os.ReadFile(rel.logPath())
	if err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, invariant.LogMessage) {
			found = append(found, rel.name+": "+strings.TrimSpace(line))
		}
	}
	return found
}

func (rel *relay) detectionDelay() time.Duration {
	rel.mu.Lock()
	starts := rel.starts
	rel.mu.Unlock()
	return scenario.Seconds(rel.h.scenario.LoadBalancer.DetectionDelay.Draw(rel.h.random.Stream("front", rel.number, starts)))
}

// awaitReady asks a relay for its health until it is well.
func (rel *relay) awaitReady(p *process) error {
	ctx, cancel := context.WithTimeout(rel.h.ctx, scenario.Seconds(rel.h.scenario.Relay.ReadyWithin))
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+rel.listen+"/_health", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				rel.h.record(checker.Event{Kind: checker.Ready, Relay: rel.number, Process: p.number})
				rel.h.balancer.relayReady(rel.number)
				return nil
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended before it was ready; its log ends: %s", rel.name, rel.logTail())
		default:
		}
		if !wait.For(ctx, readyPollInterval) {
			return fmt.Errorf("%s is not ready within %v s; its log ends: %s", rel.name, rel.h.scenario.Relay.ReadyWithin, rel.logTail())
		}
	}
}

// signal sends a signal to the process that takes clients, and what that started.
func (rel *relay) signal(sig syscall.Signal, expectEnd bool) (exited <-chan struct{}) {
	p := rel.serving()
	if p == nil {
		return nil
	}
	p.signal(sig, expectEnd)
	return p.exited
}

func (p *process) signal(sig syscall.Signal, expectEnd bool) {
	rel := p.relay
	rel.mu.Lock()
	defer rel.mu.Unlock()
	p.expected = p.expected || expectEnd
	to := -p.pid // its group
	if sig == syscall.SIGTERM || sig == syscall.SIGHUP {
		to = p.pid // the program itself, as the platform does
	}
	if err := syscall.Kill(to, sig); err != nil && !errors.Is(err, syscall.ESRCH) {
		rel.h.recordFailure("%s: %v: %v", rel.name, sig, err)
	}
}

// kill ends the process at once and waits until it is gone.
func (rel *relay) kill() {
	exited := rel.signal(syscall.SIGKILL, true)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(killTimeout):
		rel.h.recordFailure("%s does not end on SIGKILL", rel.name)
	}
}

// killAndRestart kills a relay and starts it again; lose says that its folder is gone too.
func (rel *relay) killAndRestart(back time.Duration, lose bool) {
	rel.kill()
	rel.h.balancer.relayLeaving(rel.number, rel.detectionDelay())
	if lose {
		rel.h.record(checker.Event{Kind: checker.MachineLost, Relay: rel.number})
		if err := rel.clearState(); err != nil {
			rel.h.recordFailure("%s: %v", rel.name, err)
		}
		rel.h.clients.resubmitLost(rel.number)
	}
	rel.startAfter(back)
}

// clearState empties the folder that lasts.
func (rel *relay) clearState() error {
	if err := os.RemoveAll(rel.state()); err != nil {
		return err
	}
	return os.MkdirAll(rel.state(), 0o700)
}

// restart ends a relay by plan and starts it again.
func (rel *relay) restart(back time.Duration) {
	rel.h.record(checker.Event{Kind: checker.Stopping, Relay: rel.number})
	exited := rel.signal(syscall.SIGTERM, true)
	rel.h.balancer.relayLeaving(rel.number, balancerDrainTime)
	if exited != nil {
		select {
		case <-exited:
		case <-time.After(shutdownGrace):
		case <-rel.h.ctx.Done():
		}
	}
	rel.kill()
	rel.startAfter(back)
}

func (rel *relay) startAfter(back time.Duration) {
	if !wait.For(rel.h.ctx, back) {
		return
	}
	if err := rel.start(); err != nil && rel.h.ctx.Err() == nil {
		rel.h.recordFailure("%v", err)
	}
}

// hang stops a relay's process for a while.
func (rel *relay) hang(d time.Duration) {
	rel.h.record(checker.Event{Kind: checker.Halted, Relay: rel.number})
	rel.signal(syscall.SIGSTOP, false)
	rel.h.balancer.relayLeaving(rel.number, rel.detectionDelay())
	wait.For(rel.h.ctx, d)
	rel.signal(syscall.SIGCONT, false)
	rel.h.record(checker.Event{Kind: checker.Resumed, Relay: rel.number})
	rel.h.balancer.relayReady(rel.number)
}

// moveDiscovery tells a relay of another address of its register.
func (rel *relay) moveDiscovery() error {
	if err := rel.h.discovery.move(rel.number); err != nil {
		return err
	}
	if err := rel.configure(); err != nil {
		return err
	}
	rel.h.record(checker.Event{Kind: checker.DiscoveryMoved, Relay: rel.number})
	rel.signal(syscall.SIGHUP, false)
	return nil
}

// finish ends a relay for good.
func (rel *relay) finish() {
	rel.kill()
	if rel.socket != nil {
		_ = rel.socket.Close()
	}
}

// startRelays starts all relays at once.
func (r *harness) startRelays() error {
	errs := make([]error, len(r.relays))
	var work sync.WaitGroup
	for i, rel := range r.relays {
		work.Go(func() { errs[i] = rel.start() })
	}
	work.Wait()
	return errors.Join(errs...)
}

// sample looks at the relays' memory, descriptors and disk now and then.
func (r *harness) sample(ctx context.Context) {
	for n := 1; r.until(ctx, time.Duration(n)*sampleInterval); n++ {
		quarter := min(quarters-1, int(float64(quarters)*r.now().Seconds()/r.scenario.Length))
		for _, rel := range r.relays {
			rel.sample(quarter)
		}
	}
}

// sample takes one sample.
func (rel *relay) sample(quarter int) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	if rel.process == nil {
		return
	}
	proc := filepath.Join("/proc", strconv.Itoa(rel.process.pid))
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return // it ended just now
	}
	u := &rel.usage
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			u.MemoryMB[quarter] = max(u.MemoryMB[quarter], kb/1024)
		}
	}
	if fds, err := os.ReadDir(filepath.Join(proc, "fd")); err == nil {
		u.Descriptors[quarter] = max(u.Descriptors[quarter], len(fds))
	}
	if stat, err := os.ReadFile(filepath.Join(proc, "stat")); err == nil {
		// After the name, which ends with the last parenthesis, user and system time are the 12th and 13th field.
		if f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:])); len(f) > 12 {
			user, _ := strconv.ParseFloat(f[11], 64)
			system, _ := strconv.ParseFloat(f[12], 64)
			u.CPUSeconds = rel.cpuBefore + (user+system)/clockTicks
		}
	}
	size := int64(0)
	_ = filepath.WalkDir(rel.state(), func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				size += (info.Size() + 511) / 512 * 512
			}
		}
		return nil // a file that has just gone is no matter
	})
	u.StateKB = max(u.StateKB, float64(size)/1000)
	if float64(size) > rel.h.scenario.Relay.DiskMB*1e6 {
		rel.h.recordFailure("%s has %.0f kB in its folder, more than disk_mb allows", rel.name, float64(size)/1000)
	}
}
