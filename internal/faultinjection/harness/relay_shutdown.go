package harness

import (
	"syscall"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/internal/wait"
)

const (
	// reloadLead is between a SIGHUP with new settings and the SIGTERM that follows.
	reloadLead = 5 * time.Millisecond
	// signalInterval is between the signals of a series during a shutdown.
	signalInterval = 700 * time.Millisecond
	// repeatedAfter is between two SIGTERM in a row.
	repeatedAfter = 10 * time.Millisecond
	// stuckAfter is when a shutdown that is to hang is suspended: no new connections come any more by then.
	stuckAfter = 500 * time.Millisecond
	// maxStartingDelay is how long after its launch, at most, a process that starts is terminated.
	maxStartingDelay = 25 * time.Millisecond
	// acceptanceTimeout is how long a kill waits for a request to be accepted.
	acceptanceTimeout = 2 * time.Second
)

// restart ends the relay by a graceful shutdown, with a series of signals, and starts it again after a delay.
func (r *relay) restart(f *scenario.Fault) {
	if f.Signals == scenario.SignalsReload {
		r.reloadWithoutWaiting()
		wait.For(r.h.ctx, reloadLead)
	}
	r.h.record(checker.Event{Kind: checker.Stopping, Relay: r.number})
	begun := r.h.now()
	if p := r.terminate(); p != nil {
		r.endByGrace(p, f.Signals)
		r.countHanging(begun, r.h.now())
	}
	r.kill()
	if f.Signals == scenario.SignalsStarting {
		r.terminateStarting(scenario.Seconds(f.RestartDelay))
	}
	r.startAfter(scenario.Seconds(f.RestartDelay))
}

// terminate sends SIGTERM to the process that takes clients, and returns it; nil: there is none. The load balancer goes on with
// new connections for a while, and clients use those that are open until it closes them.
func (r *relay) terminate() *process {
	p := r.signal(syscall.SIGTERM)
	if p == nil {
		return nil
	}
	r.h.count(Terminated)
	r.h.balancer.relayDraining(r.number, r.drainDelay())
	return p
}

// endByGrace waits for a process to end after SIGTERM, sends the rest of a series of signals meanwhile, and kills it where it has
// not ended when its time is up.
func (r *relay) endByGrace(p *process, signals string) {
	graceEnd := time.Now().Add(shutdownGrace)
	switch signals {
	case scenario.SignalsRepeated:
		p.exitsWithin(repeatedAfter, r.h.ctx.Done())
		r.terminateAgain(p)
	case scenario.SignalsReload:
		for time.Until(graceEnd) > signalInterval && !p.exitsWithin(signalInterval, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
			r.reloadWithoutWaiting()
			r.terminateAgain(p)
		}
	case scenario.SignalsStuck:
		if !p.exitsWithin(stuckAfter, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
			p.signal(syscall.SIGSTOP)
		}
	}
	if p.exitsWithin(time.Until(graceEnd), r.h.ctx.Done()) || r.h.ctx.Err() != nil {
		return
	}
	r.h.count(KilledAtGraceEnd)
	r.kill()
}

// terminateAgain sends SIGTERM to a process that has had it.
func (r *relay) terminateAgain(p *process) {
	if !p.hasExited() {
		p.signal(syscall.SIGTERM)
		r.h.count(RepeatedTermination)
	}
}

// reloadWithoutWaiting gives the process that takes clients a file with other settings, and does not wait until it has read it.
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

// terminateStarting starts a process after a delay, and terminates it within moments: while it starts, or reads its journal.
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
	moment := r.h.random.Stream("starting", r.number).Float64()
	wait.For(r.h.ctx, time.Duration(moment*float64(maxStartingDelay)))
	p.signal(syscall.SIGTERM)
	r.h.count(TerminatedStarting)
	if !p.exitsWithin(shutdownGrace, r.h.ctx.Done()) && r.h.ctx.Err() == nil {
		r.h.count(KilledAtGraceEnd)
	}
	p.signal(syscall.SIGKILL) // has no effect on one that has ended
	p.exitsWithin(killTimeout, nil)
}

// killOnAcceptance kills the relay right behind the next request that it accepts, or after a while where none comes.
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

// requestAccepted is called right after a client has read that the relay accepted its request.
func (r *relay) requestAccepted() {
	r.mu.Lock()
	act := r.onAcceptance
	r.onAcceptance = nil
	r.mu.Unlock()
	if act != nil {
		act()
	}
}

// again does a fault once more, so long after the relay has come back as the fault says.
func (r *relay) again(f *scenario.Fault, do func()) {
	if f.RestartAgain > 0 && wait.For(r.h.ctx, scenario.Seconds(f.RestartAgain)) && r.serving() != nil {
		r.h.count(RestartedAgain)
		do()
	}
}

// drainDelay draws for how long new connections still come after SIGTERM.
func (r *relay) drainDelay() time.Duration {
	r.mu.Lock()
	starts := r.starts
	r.mu.Unlock()
	draw := r.h.random.Stream("drain", r.number, starts).Float64()
	return minDrainDelay + time.Duration(draw*float64(maxDrainDelay-minDrainDelay))
}

// countHanging counts a shutdown through the whole of which a destination was unresponsive.
func (r *relay) countHanging(from, to time.Duration) {
	for i := range r.h.scenario.Faults {
		f := newScheduledFault(i, &r.h.scenario.Faults[i])
		if f.Kind == scenario.FaultUnresponsive && f.Endpoint == 0 && f.begin <= from && f.end >= to {
			r.h.count(ShutdownWhileHanging)
			return
		}
	}
}
