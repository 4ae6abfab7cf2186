package faults

import (
	"os/exec"
	"runtime"
)

// Launcher starts all its processes from one thread, which lives until Close. The kernel kills a process that was started with Pdeathsig
// when the thread that started the process ends, so that no process outlives the harness even if the harness is killed.
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

// Close ends the launcher's thread, so that the kernel kills all processes that were started with Pdeathsig.
func (l *Launcher) Close() {
	close(l.jobs)
	<-l.done
}

// Start starts a command from the launcher's thread.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	started := make(chan error)
	l.jobs <- func() { started <- cmd.Start() }
	return <-started
}
