package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// killTimeout is how long a killed process may take to exit.
	killTimeout = 5 * time.Second
	// fullDiskFileSize is the file size, in bytes, beyond which writes fail while FillDisk simulates a full disk.
	fullDiskFileSize = 4096
)

// Process runs a program that can be started, suspended, killed and started again.
type Process struct {
	Name     string
	command  []string
	logFile  string
	launcher *Launcher
	onExit   func(incarnation int, expected bool, err error) // set before the first Start; nil: none

	mu          sync.Mutex    // guards the fields below
	cmd         *exec.Cmd     // nil: not running
	exited      chan struct{} // closed when the current or last incarnation has exited
	incarnation int           // number of starts so far
	expected    bool          // a fault or the harness causes the incarnation's exit
	suspensions int           // number of faults that suspend the process at present
}

// NewProcess returns a process that is not started yet. The process's output is appended to a log file.
func NewProcess(name, logFile string, launcher *Launcher, command ...string) *Process {
	return &Process{Name: name, logFile: logFile, launcher: launcher, command: command}
}

// Start starts the process unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.Name, err)
	}
	defer func() { _ = log.Close() }() // the harness writes nothing to it: the process has its own descriptor
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.launcher.Start(cmd); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.incarnation++
	p.cmd, p.exited, p.expected, p.suspensions = cmd, make(chan struct{}), false, 0
	go p.wait(cmd, p.incarnation, p.exited)
	return nil
}

// wait waits until an incarnation has exited, calls onExit, and then closes exited.
func (p *Process) wait(cmd *exec.Cmd, incarnation int, exited chan<- struct{}) {
	defer close(exited)
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	expected := p.expected
	p.mu.Unlock()
	if p.onExit != nil {
		p.onExit(incarnation, expected, err)
	}
}

// signal sends a signal to the process group if the process is running. The caller holds p.mu.
func (p *Process) signal(sig syscall.Signal) {
	if p.cmd != nil {
		_ = syscall.Kill(-p.cmd.Process.Pid, sig) // fails if the process has exited meanwhile
	}
}

// Kill sends SIGKILL to the process group, and waits until the process has exited.
func (p *Process) Kill() error {
	p.mu.Lock()
	p.expected = true
	p.signal(syscall.SIGKILL)
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("%s did not exit after SIGKILL", p.Name)
	}
}

// Suspend stops the process by SIGSTOP until it is resumed. If several faults suspend the process, it continues when all of them have
// resumed it.
func (p *Process) Suspend() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation := p.incarnation
	p.suspensions++
	p.signal(syscall.SIGSTOP)
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.incarnation != incarnation {
			return
		}
		if p.suspensions--; p.suspensions == 0 {
			p.signal(syscall.SIGCONT)
		}
	})
}

// FillDisk makes every write beyond a file's first 4 KB fail, as on a full disk, until the process exits. An exit of the process is
// expected from then on, because it must not continue after a write that failed.
func (p *Process) FillDisk() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.expected = true
	limit := unix.Rlimit{Cur: fullDiskFileSize, Max: fullDiskFileSize}
	err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
	if err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("limit the file size of %s: %w", p.Name, err)
	}
	return nil
}
