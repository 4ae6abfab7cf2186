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
	// fullDiskFileSize is the length, in bytes, beyond which files can't be written on a full disk.
	fullDiskFileSize = 4096
)

// Process is a program that is started, killed and started again.
type Process struct {
	Name     string
	command  []string
	logFile  string
	launcher *Launcher
	onExit   func(incarnation int, expected bool, err error) // set before the first Start; nil: none

	mu          sync.Mutex    // guards what is below
	cmd         *exec.Cmd     // nil: not running
	exited      chan struct{} // of the current or last incarnation; closed when it has exited
	incarnation int           // counts starts
	expected    bool          // the exit was caused on purpose
	suspensions int           // faults that suspend the process now
}

// NewProcess returns a process that is not started yet. Its output is appended to a log file.
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
	defer func() { _ = log.Close() }() // nothing was written here: the process has a descriptor of its own
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.launcher.Start(cmd); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.incarnation++
	p.cmd, p.exited, p.expected, p.suspensions = cmd, make(chan struct{}), false, 0
	go p.wait(cmd, p.incarnation, p.exited)
	return nil
}

// wait waits for an incarnation to exit. Whoever waits for exited waits for it.
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
		_ = syscall.Kill(-p.cmd.Process.Pid, sig) // it may have exited by itself
	}
}

// Kill kills the process by SIGKILL, and waits until it has exited.
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
		return fmt.Errorf("%s does not end on SIGKILL", p.Name)
	}
}

// Suspend stops the process by SIGSTOP until it is resumed. A process that several faults suspend runs again when all
// have resumed it.
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

// FillDisk makes every write beyond a file's first 4 KB fail, as on a full disk, until the process exits. It is expected to:
// it must not go on from what it could not write.
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
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}
