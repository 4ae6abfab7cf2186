package stage

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Process is a process that the case has started.
type Process struct {
	stage  *Stage
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
	log    string        // path of what it wrote to standard output and error
}

// startShell starts a command by /bin/sh -c from the root of the repository, as the platform does.
func (s *Stage) startShell(name, command string, env []string) *Process {
	p := &Process{stage: s, name: name, exited: make(chan struct{}), log: filepath.Join(s.Dir, name+".log")}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.Check(err, "log of "+name)
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	s.Check(p.cmd.Start(), "start "+name)
	_ = log.Close() // the process has its own descriptor
	s.AtEnd(p.kill)
	go func() {
		_ = p.cmd.Wait() // how it ended is in its log, or was asked for
		close(p.exited)
	}()
	s.Record("%s started: process %d, %s", name, p.cmd.Process.Pid, command)
	return p
}

// kill ends the process, if it has not ended, and waits for its end.
func (p *Process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-p.exited
}

// Kill ends the process by SIGKILL.
func (p *Process) Kill() {
	p.stage.Record("%s gets SIGKILL", p.name)
	p.kill()
}

// Signal sends the process a signal.
func (p *Process) Signal(signal syscall.Signal) {
	p.stage.Record("%s gets %v", p.name, signal)
	p.stage.Check(p.cmd.Process.Signal(signal), "signal "+p.name)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// AwaitExit waits for the end of the process.
func (p *Process) AwaitExit(limit time.Duration) {
	p.stage.WaitFor(p.name+" has ended", limit, func() bool { return !p.Running() })
}

// Log returns what the process has written.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.log)
	p.stage.Check(err, "log of "+p.name)
	return string(raw)
}

// Output runs one of the project's programs to its end, and returns its output and its exit code.
func (s *Stage) Output(program string, args ...string) (output string, code int) {
	cmd := exec.Command(program, args...)
	raw, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		s.Check(err, program)
	}
	return string(raw), cmd.ProcessState.ExitCode()
}

// runLine matches the platform's start command in the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// runCommand returns the platform's start command of a relay.
func (s *Stage) runCommand() string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	s.Check(err, "deploy file")
	match := runLine.FindSubmatch(raw)
	if match == nil {
		s.Fail("the deploy file has no line run")
	}
	return string(match[1])
}
