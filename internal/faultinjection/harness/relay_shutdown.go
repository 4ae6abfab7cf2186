package harness

import (
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// reloadLeadTime is the time between a SIGHUP with new settings and the SIGTERM that follows.
	reloadLeadTime = 5 * time.Millisecond
	// signalInterval is the time between the signals of a series during a shutdown. It is also the time after which a crowd's
	// callers reconnect.
	signalInterval = 700 * time.Millisecond
	// repeatedSignalDelay is the time between the two signals when SIGTERM is sent twice in immediate succession.
	repeatedSignalDelay = 10 * time.Millisecond
	// stuckSuspendDelay is the time from SIGTERM until a process whose shutdown is to hang is suspended: by then, the load balancer
	// no longer opens new connections to it.
	stuckSuspendDelay = 500 * time.Millisecond
	// maxStartingDelay is the longest time from a process's launch until it is terminated while it starts.
	maxStartingDelay = 25 * time.Millisecond
	// acceptanceTimeout is how long a kill waits for a request to be accepted.
	acceptanceTimeout = 2 * time.Second
)

// restart ends the relay by a graceful shutdown, with a series of signals, and starts it again after a delay.
func (r *relay) restart(f *scenario.Fault) {
	if f.Signals == scenario.SignalsReload {
		r.reloadWithoutWaiting()
		wait.For(r.h.ctx, reloadLeadTime)
	}
	r.h.clients.reserve(r.listen, r.h.random.Stream("reserved", r.number, r.startCount()))
	r.h.record(checker.Event{Kind: checker.Stopping, Relay: r.number})
	begun := r.h.now()
	if p := r.terminate(); p != nil {
		r.awaitShutdown(p, f.Signals)
		r.countShutdownWhileHanging(begun, r.h.now())
	}
	r.kill()
	r.h.clients.dropReserved(r.listen)
	if f.Signals == scenario.SignalsStarting {
		r.terminateStarting(scenario.Seconds(f.RestartDelay))
	}
	r.startAfter(scenario.Seconds(f.RestartDelay))
}

// terminate sends SIGTERM to the process that serves clients, and returns that process, or nil if there is none. The load
// balancer still opens new connections for a while, and clients use open connections until the process closes them.
func (r *relay) terminate() *process {
	p := r.signal(syscall.SIGTERM)
	if p == nil {
		return nil
	}
	r.h.count(Terminated)
	r.h.balancer.relayDraining(r.number, r.drainDelay())
	return p
}

// awaitShutdown waits for a process to end after SIGTERM, sends the other signals of a series meanwhile, and kills the process
// if it has not ended after shutdownGrace.
func (r *relay) awaitShutdown(p *process, signals string) {
	graceEnd := time.Now().Add(shutdownGrace)
	switch signals {
	case scenario.SignalsRepeated:
		p.exitsWithin(repeatedSignalDelay, r.h.ctx.Done())
		r.terminateAgain(p)
	case scenario.SignalsReload:
		for time.Until(graceEnd) > signalInterval && !p.exitsWithin(signalInterval, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
			r.reloadWithoutWaiting()
			r.terminateAgain(p)
		}
	case scenario.SignalsStuck:
		if !p.exitsWithin(stuckSuspendDelay, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
			r.h.record(checker.Event{Kind: checker.Suspended, Relay: r.number})
			p.signal(syscall.SIGSTOP)
		}
	}
	if p.exitsWithin(time.Until(graceEnd), r.h.ctx.Done()) || r.h.ctx.Err() != nil {
		return
	}
	r.h.count(KilledAtGraceEnd)
	r.kill()
}

// terminateAgain sends another SIGTERM to a process, unless the process has ended.
func (r *relay) terminateAgain(p *process) {
	if !p.hasExited() {
		p.signal(syscall.SIGTERM)
		r.h.count(RepeatedTermination)
	}
}

// reloadWithoutWaiting writes a configuration file with other settings and sends SIGHUP to the process that serves clients. It
// does not wait until the process has read the file.
func (r *relay) reloadWithoutWaiting() {
	r.mu.Lock()
	most := r.h.scenario.Limits.MaxAttempts
	if r.settingsInForce.MaxAttempts--; r.settingsInForce.MaxAttempts <= most/2 {
		r.settingsInForce.MaxAttempts = most
	}
	r.mu.Unlock()
	if err := r.configure(); err != nil {
		r.recordFailure("%v", err)
		return
	}
	if r.signal(syscall.SIGHUP) != nil {
		r.h.count(ReloadAroundTermination)
	}
}

// terminateStarting launches a process after a delay, and terminates it within maxStartingDelay, while it starts or reads its
// journal.
func (r *relay) terminateStarting(delay time.Duration) {
	if !wait.For(r.h.ctx, delay) {
		return
	}
	if err := r.configure(); err != nil {
		r.recordFailure("%v", err)
		return
	}
	p, err := r.launch(false)
	if err != nil {
		r.recordFailure("%v", err)
		return
	}
	draw := r.h.random.Stream("starting", r.number).Float64()
	wait.For(r.h.ctx, time.Duration(draw*float64(maxStartingDelay)))
	p.signal(syscall.SIGTERM)
	r.h.count(TerminatedStarting)
	if !p.exitsWithin(shutdownGrace, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
		r.h.count(KilledAtGraceEnd)
	}
	p.signal(syscall.SIGKILL) // has no effect on a process that has ended
	p.exitsWithin(killTimeout, nil)
}

// killOnAcceptance kills the relay as soon as a client has read the response that accepts the next request. It returns after
// acceptanceTimeout if no request is accepted.
func (r *relay) killOnAcceptance() {
	accepted := make(chan struct{})
	r.mu.Lock()
	r.onAcceptance = func() {
		r.signal(syscall.SIGKILL)
		close(accepted)
	}
	r.mu.Unlock()
	timer := time.NewTimer(acceptanceTimeout)
	defer timer.Stop()
	select {
	case <-accepted:
		r.h.count(KilledAfterAcceptance)
	case <-timer.C:
	case <-r.h.ctx.Done():
	}
	r.mu.Lock()
	r.onAcceptance = nil
	r.mu.Unlock()
}

// requestAccepted calls onAcceptance, once. It is called right after a client has read the response by which the relay accepts its
// request.
func (r *relay) requestAccepted() {
	r.mu.Lock()
	callback := r.onAcceptance
	r.onAcceptance = nil
	r.mu.Unlock()
	if callback != nil {
		callback()
	}
}

// repeatFault calls do to inject a fault a second time, RestartAgain seconds after the relay has come back, if the scenario
// specifies a second fault and the relay is up then.
func (r *relay) repeatFault(f *scenario.Fault, do func()) {
	if f.RestartAgain > 0 && wait.For(r.h.ctx, scenario.Seconds(f.RestartAgain)) && r.serving() != nil {
		r.h.count(RestartedAgain)
		do()
	}
}

// startCount returns how many processes were started.
func (r *relay) startCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// drainDelay draws how long the load balancer still opens new connections after SIGTERM.
func (r *relay) drainDelay() time.Duration {
	draw := r.h.random.Stream("drain", r.number, r.startCount()).Float64()
	return minDrainDelay + time.Duration(draw*float64(maxDrainDelay-minDrainDelay))
}

// countShutdownWhileHanging counts a shutdown if a destination was unresponsive during the whole of it.
func (r *relay) countShutdownWhileHanging(from, to time.Duration) {
	for i := range r.h.scenario.Faults {
		f := newScheduledFault(i, &r.h.scenario.Faults[i])
		if f.Kind == scenario.FaultUnresponsive && f.Endpoint == 0 && f.begin <= from && f.end >= to {
			r.h.count(ShutdownWhileHanging)
			return
		}
	}
}
