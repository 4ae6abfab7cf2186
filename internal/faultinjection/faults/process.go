package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// endWithin is how long a killed process may take to be gone.
const endWithin = 5 * time.Second

// Launcher starts processes from one thread that lives as long as they may: the kernel kills them when it ends, so that
// none outlives a rig that is itself killed.
type Launcher struct{ jobs chan func() }

// NewLauncher makes a launcher.
func NewLauncher() *Launcher {
	l := &Launcher{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for do := range l.jobs {
			do()
		}
	}()
	return l
}

// Close ends the launcher, and all its processes.
func (l *Launcher) Close() { close(l.jobs) }

// Start starts a command.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	err := make(chan error)
	l.jobs <- func() { err <- cmd.Start() }
	return <-err
}

// Process is a program that comes and goes.
type Process struct {
	Name     string
	command  []string
	log      string
	launcher *Launcher

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	lives    int
	expected bool // its end was asked for
	stopped  int  // so many faults hold it
	ended    func(life int, expected bool, err error)
}

// NewProcess makes a process that is not started yet. What it prints goes to the end of a log.
func NewProcess(name, log string, launcher *Launcher, command ...string) *Process {
	return &Process{Name: name, log: log, launcher: launcher, command: command}
}

// Start starts the process, where it does not run.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.launcher.Start(cmd); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.cmd, p.exited, p.expected, p.stopped = cmd, make(chan struct{}), false, 0
	p.lives++
	life, exited := p.lives, p.exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd = nil
		expected := p.expected
		p.mu.Unlock()
		if p.ended != nil {
			p.ended(life, expected, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal, where the process runs.
func (p *Process) signal(sig syscall.Signal) {
	if p.cmd != nil {
		_ = syscall.Kill(-p.cmd.Process.Pid, sig) // it may have ended by itself
	}
}

// Kill ends the process at once, and waits until it is gone.
func (p *Process) Kill() error {
	p.mu.Lock()
	p.expected = true
	p.signal(syscall.SIGKILL)
	exited, runs := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(endWithin):
		return fmt.Errorf("%s does not end on SIGKILL", p.Name)
	}
}

// Stop holds the process by SIGSTOP until it is undone.
func (p *Process) Stop() (undo func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	life := p.lives
	p.stopped++
	p.signal(syscall.SIGSTOP)
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.lives != life {
			return
		}
		if p.stopped--; p.stopped == 0 {
			p.signal(syscall.SIGCONT)
		}
	})
}

// Fill has every write beyond a file's first 4 KB fail from now on, as on a full disk, until the process ends.
func (p *Process) Fill() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: 4096, Max: 4096}
	p.expected = true // it has to end: what it can't write it must not go on from
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}
