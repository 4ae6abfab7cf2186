package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
)

const (
	// shutdownGrace is the time from SIGTERM until a relay that has not ended is killed.
	shutdownGrace = 3700 * time.Millisecond
	// killTimeout is how long a process may take to end after SIGKILL.
	killTimeout = 5 * time.Second
	// inheritedFD is the descriptor that the first of exec.Cmd's ExtraFiles has in the started process.
	inheritedFD = 3
)

// process is one process of a relay.
type process struct {
	relay     *relay
	number    int // among the relay's processes, from 1
	pid       int
	adminAddr string        // of its admin endpoint
	exited    chan struct{} // closed when it has ended
	endState  string        // how it ended; set before exited is closed

	// Guarded by the relay's mutex.
	expected  bool // a signal that ends it has been sent
	replaced  bool // another process serves clients in its place
	successor bool // the process is to replace another process, and has not done so yet
	ready     bool // it serves clients, or has served them
}

// start starts a process, and waits until it is ready.
func (r *relay) start(ctx context.Context) error {
	if err := r.configure(); err != nil {
		return err
	}
	p, err := r.launch(false)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.process = p
	r.mu.Unlock()
	return r.awaitReady(ctx, p)
}

// launch starts a process. A successor is a process that is started while its predecessor, which it is to replace, still serves.
func (r *relay) launch(successor bool) (*process, error) {
	// Each process has its own admin address, since a predecessor's and its successor's admin endpoints are open at the same
	// time.
	adminAddr, err := r.h.loopback.Address()
	if err != nil {
		return nil, err
	}
	p := &process{relay: r, adminAddr: adminAddr, exited: make(chan struct{}), successor: successor}
	log, err := os.OpenFile(r.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", r.name, err)
	}
	defer func() { _ = log.Close() }() // the process has a duplicate, and the harness writes nothing to the file
	cmd, err := r.command(p)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := r.h.launcher.Start(cmd); err != nil {
		return nil, fmt.Errorf("%s: %w", r.name, err)
	}
	p.pid = cmd.Process.Pid
	r.mu.Lock()
	r.starts++
	r.usage.Starts++
	p.number = r.starts
	r.mu.Unlock()
	r.h.record(checker.Event{Kind: checker.Started, Relay: r.number, Process: p.number})
	if failure, _ := r.h.discovery.currentFailure(); failure != discoveryWorks {
		r.h.count(StartWithoutDiscovery)
	}
	go p.wait(cmd) // ends with the process, at the latest when the launcher is closed
	return p, nil
}

// command returns the command that starts a process.
func (r *relay) command(p *process) (*exec.Cmd, error) {
	program, args := r.h.options.RelayCommand[0], r.h.options.RelayCommand[1:]
	if r.h.scenario.Relay.Operator != "" {
		if err := r.writeOperatorFile(); err != nil {
			return nil, err
		}
		args = append(slices.Clone(args), "-operator", r.operatorPath())
	}
	cmd := exec.Command(program, args...)
	cmd.Dir = r.dir()
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	r.mu.Lock()
	discovery := r.discovery
	r.mu.Unlock()
	cmd.Env = append(os.Environ(), "NODE_NAME="+r.name, "NODE_LISTEN="+r.listen, "NODE_DISCOVERY="+discovery,
		"NODE_STATE="+r.stateDir(), "NODE_CONFIG="+r.configPath(), "TMPDIR="+r.tempDir(), "NODE_MANAGEMENT="+p.adminAddr)
	if r.socket != nil {
		cmd.ExtraFiles = []*os.File{r.socket}
		cmd.Env = append(cmd.Env, fmt.Sprintf("NODE_LISTEN_FD=%d", inheritedFD))
	}
	cmd.Env = append(cmd.Env, r.faultEnv()...)
	cmd.Env = append(cmd.Env, r.h.options.Env...)
	return cmd, nil
}

// faultEnv returns the environment variables by which faults are injected into a process.
func (r *relay) faultEnv() (env []string) {
	var libraries []string
	if r.clock != nil {
		env, libraries = append(env, r.clock.Env()...), append(libraries, r.clock.Library())
	}
	if r.syscallErrors != nil {
		env, libraries = append(env, r.syscallErrors.Env()...), append(libraries, r.syscallErrors.Library())
	}
	if len(libraries) == 0 {
		return nil
	}
	return append(env, faults.Preload(libraries...))
}

// awaitReady polls the relay's health until it is ready.
func (r *relay) awaitReady(ctx context.Context, p *process) error {
	timeout := scenario.Seconds(r.h.scenario.Relay.ReadyWithin)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ready, exited := false, false
	pollUntil(ctx, timeout, func() bool {
		status, err := r.health(ctx)
		ready = err == nil && status == http.StatusOK
		exited = !ready && p.hasExited()
		return ready || exited
	})
	switch {
	case exited:
		return fmt.Errorf("%s ended before it was ready: %s; its log ends: %s", r.name, p.endState, r.logTail())
	case !ready:
		return fmt.Errorf("%s is not ready within %v s; its log ends: %s", r.name, r.h.scenario.Relay.ReadyWithin, r.logTail())
	}
	p.recordReady()
	r.h.balancer.relayReady(r.number)
	return nil
}

// recordReady notes that the process serves clients from now on.
func (p *process) recordReady() {
	p.relay.h.record(checker.Event{Kind: checker.Ready, Relay: p.relay.number, Process: p.number})
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	p.ready = true
}

// isReady reports whether the process serves clients, or has served them.
func (p *process) isReady() bool {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	return p.ready
}

// wait waits for the process to end, and records how it ended.
func (p *process) wait(cmd *exec.Cmd) {
	defer close(p.exited)
	err, r := cmd.Wait(), p.relay
	p.endState = cmd.ProcessState.String()
	r.mu.Lock()
	expected, replaced, successor := p.expected, p.replaced, p.successor
	if r.process == p {
		r.process = nil
	}
	r.endedCPUSeconds += (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds()
	r.usage.CPUSeconds = r.endedCPUSeconds
	if !expected && !replaced {
		r.usage.Crashes++
	}
	r.mu.Unlock()
	switch {
	case successor && !expected: // the predecessor still serves
		r.recordFailure("the process that is to take over ended: %v; its log ends: %s", err, r.logTail())
	case successor || replaced: // the relay continues in the other process
	case !expected:
		r.h.record(checker.Event{Kind: checker.Crashed, Relay: r.number, Status: cmd.ProcessState.ExitCode()})
		r.h.recordFailure("%s ended without being asked to: %v; its log ends: %s", r.name, err, r.logTail())
		r.h.balancer.relayLeaving(r.number, r.detectionDelay())
	default:
		r.h.record(checker.Event{Kind: checker.Killed, Relay: r.number, OK: cmd.ProcessState.Exited()})
	}
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// exitsWithin waits for the process to end, and reports whether it did before the timeout passed or stop was closed.
func (p *process) exitsWithin(timeout time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return true
	case <-timer.C:
		return false
	case <-stop:
		return false
	}
}

// signal sends a signal to the process. As on the platform, SIGTERM and SIGHUP, to which a relay reacts, are sent only to the
// relay's process. Other signals are sent to its process group.
func (p *process) signal(sig syscall.Signal) {
	r := p.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.expected = true
	}
	target := -p.pid // the process group
	if sig == syscall.SIGTERM || sig == syscall.SIGHUP {
		target = p.pid
	}
	if err := syscall.Kill(target, sig); err != nil && !errors.Is(err, syscall.ESRCH) {
		r.recordFailure("%v: %v", sig, err)
	}
}

// signal sends a signal to the process that serves clients, and returns that process, or nil if there is none.
func (r *relay) signal(sig syscall.Signal) *process {
	p := r.serving()
	if p != nil {
		p.signal(sig)
	}
	return p
}
