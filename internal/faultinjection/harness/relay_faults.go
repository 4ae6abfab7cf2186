package harness

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/faults"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/syserr"
	"frostlink/internal/wait"
)

// kill ends the process by SIGKILL, and waits until the process has ended.
func (r *relay) kill() {
	p := r.signal(syscall.SIGKILL)
	if p != nil && !p.exitsWithin(killTimeout, nil) {
		r.h.recordFailure("%s does not end on SIGKILL", r.name)
	}
}

// killAndRestart kills the relay, and starts it again after a delay. If its machine is lost, the relay's state is lost as well.
func (r *relay) killAndRestart(f *scenario.Fault, machineLost bool) {
	if f.AfterAcceptance {
		r.killOnAcceptance()
	}
	r.kill()
	r.h.balancer.relayLeaving(r.number, r.detectionDelay())
	if machineLost {
		r.h.record(checker.Event{Kind: checker.MachineLost, Relay: r.number})
		if err := r.clearState(); err != nil {
			r.recordFailure("%v", err)
		}
		r.h.clients.resubmitLost(r.number)
	}
	r.startAfter(scenario.Seconds(f.RestartDelay))
}

// clearState empties the relay's state folder.
func (r *relay) clearState() error {
	if err := os.RemoveAll(r.stateDir()); err != nil {
		return fmt.Errorf("clear the state: %w", err)
	}
	if err := os.MkdirAll(r.stateDir(), 0o700); err != nil {
		return fmt.Errorf("clear the state: %w", err)
	}
	return nil
}

func (r *relay) startAfter(delay time.Duration) {
	if !wait.For(r.h.ctx, delay) {
		return
	}
	if err := r.start(r.h.ctx); err != nil && r.h.ctx.Err() == nil {
		r.h.recordFailure("%v", err)
	}
}

// detectionDelay draws how long the load balancer takes to notice that the relay's process is down.
func (r *relay) detectionDelay() time.Duration {
	r.mu.Lock()
	starts := r.starts
	r.mu.Unlock()
	return scenario.Seconds(r.h.scenario.LoadBalancer.DetectionDelay.Draw(r.h.random.Stream("front", r.number, starts)))
}

// suspend suspends the relay's process for a while.
func (r *relay) suspend(d time.Duration) {
	r.h.record(checker.Event{Kind: checker.Halted, Relay: r.number})
	r.signal(syscall.SIGSTOP)
	r.h.balancer.relayLeaving(r.number, r.detectionDelay())
	wait.For(r.h.ctx, d)
	r.signal(syscall.SIGCONT)
	r.h.record(checker.Event{Kind: checker.Resumed, Relay: r.number})
	r.h.balancer.relayReady(r.number)
}

// moveDiscovery moves the relay's discovery service to another address, and reconfigures the relay.
func (r *relay) moveDiscovery() error {
	if err := r.h.discovery.move(r.number); err != nil {
		return err
	}
	if err := r.configure(); err != nil {
		return err
	}
	r.h.record(checker.Event{Kind: checker.DiscoveryMoved, Relay: r.number})
	r.signal(syscall.SIGHUP)
	return nil
}

// failSyscalls makes a share of the relay's system calls of some kinds fail for a while.
func (r *relay) failSyscalls(fault *scenario.Fault, calls ...faults.Syscall) {
	errno := scenario.Errno(fault.Errno)
	var rules []faults.Rule
	for _, call := range calls {
		rule, err := r.syscallErrors.Fail(call, errno, fault.Share)
		if err != nil {
			r.recordFailure("%v", err)
			continue
		}
		rules = append(rules, rule)
	}
	if begin, end := syscallFaultEvents(calls[0], errno); begin != "" {
		r.h.record(checker.Event{Kind: begin, Relay: r.number})
		defer func() { r.h.record(checker.Event{Kind: end, Relay: r.number}) }()
	}
	wait.For(r.h.ctx, scenario.Seconds(fault.Duration))
	for _, rule := range rules {
		hits, err := r.syscallErrors.Clear(rule)
		if err != nil {
			r.recordFailure("%v", err)
		}
		if errno == faults.HeldUp {
			r.h.countMany(WriteHeldUp, hits)
		}
	}
}

// syscallFaultEvents returns the kinds of the events that record the begin and the end of failing system calls for the
// checker. They are empty if the checker needs no such events.
func syscallFaultEvents(call faults.Syscall, errno syscall.Errno) (begin, end checker.Kind) {
	switch {
	case call >= faults.FileWrite:
		return checker.FolderFails, checker.FolderWorks
	case (call == faults.SocketRead || call == faults.SocketWrite) && syserr.Classify(syserr.Read, errno) == syserr.Peer:
		return checker.SocketsBreak, checker.SocketsHold
	}
	return "", ""
}
