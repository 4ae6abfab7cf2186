package faults

import (
	"os/exec"
	"runtime"
)

// Launcher starts processes from one thread that lives as long as they may: the kernel kills them when it ends, so that
// none outlives a harness that is itself killed.
type Launcher struct {
	jobs chan func()
	done chan struct{} // closed when the thread's goroutine has returned
}

// NewLauncher returns a launcher, which has to be closed.
func NewLauncher() *Launcher {
	l := &Launcher{jobs: make(chan func()), done: make(chan struct{})}
	go l.serve()
	return l
}

func (l *Launcher) serve() {
	defer close(l.done)
	runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
	for job := range l.jobs {
		job()
	}
}

// Close ends the launcher, and all its processes.
func (l *Launcher) Close() {
	close(l.jobs)
	<-l.done
}

// Start starts a command.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	started := make(chan error)
	l.jobs <- func() { started <- cmd.Start() }
	return <-started
}
