package scenario

import (
	"fmt"
	"math/rand/v2"
)

const (
	// soakCooldown is how long an order key rests in a soak of restarts, in seconds: long enough for a second restart within it.
	soakCooldown = 1.0
	// crowdedSockets are the descriptors that a relay may hold where crowds come, and soakCrowd the callers of a crowd.
	crowdedSockets, soakCrowd = 160, 200
	// longRestart is the time in seconds that the longest restart takes, with what is to be seen of the process after it.
	longRestart = 5.0
	// hangLead is how long before a shutdown, in seconds, a destination begins to hang, and hangTime for how long: a process that is
	// terminated may take 3.7 s to end.
	hangLead, hangTime = 0.3, 4.6
)

// RestartSoakScenario returns the text of a scenario, drawn from a seed, like SoakScenario, in which processes are ended and replaced
// in all the ways of the platform: with series of signals around SIGTERM, while they start, right behind an acceptance, again within
// an order key's cooldown and a slow start, past a destination that hangs, and stuck until they are killed. Runs of even seeds have
// crowds of callers, those of odd seeds handovers. Each way is in each run; all overlap with the faults of SoakScenario.
func RestartSoakScenario(seed int64, relays int, length float64) string {
	w := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), restartSoakStream)), length: length}
	crowds := seed%2 == 0
	w.printf(soakHeader, seed, seed, seed, length, relays, soakRatePerRelay*float64(relays))
	w.printf("\n[rules]\norder_pause_s = %v\n", soakCooldown)
	if crowds {
		w.printf("\n[relay]\nsockets = %d\n", crowdedSockets)
	}
	for i := range soakDestinations {
		name := fmt.Sprintf("p%d", i)
		w.writeDestination(name, relays)
		if i < soakDestinations-1 { // the last one hangs during a shutdown
			w.writeDestinationFaults(name)
		}
	}
	w.writeRestarts(relays, crowds)
	w.writeLongDiscoveryOutage()
	return w.text.String()
}

// writeRestarts draws what relays meet. Each planned fault of a process happens to one of them.
func (w *soakWriter) writeRestarts(relays int, crowds bool) {
	planned := []func(setting){
		w.writeHangingShutdown, w.writeStuckShutdown, w.writeShutdownWhileStarting, w.writeKillAfterAcceptance, w.writeKillAfterAcceptance,
		w.writeKillTwice, w.writeShutdownTwice, w.writeHeldUpWrites,
	}
	if crowds {
		planned = append(planned, w.writeCrowdedShutdown, w.writeCrowd)
	} else {
		planned = append(planned, w.writeUpgradeTwice, w.writeShutdownInHandover)
	}
	for i, number := range w.random.Perm(relays) {
		relay := setting{"relay", number + 1}
		w.writeClockSteps(relay)
		if i < len(planned) {
			planned[i](relay)
		} else {
			w.writeAnyRestart(relay)
		}
		w.writeMachineFaults(relay)
	}
}

// writeAnyRestart draws the restart of a relay for which none is planned: more shutdowns than in SoakScenario, with any series of
// signals.
func (w *soakWriter) writeAnyRestart(relay setting) {
	switch {
	case w.chance(0.3):
		w.writeFault(FaultKill, relay, setting{"back_s", w.uniform(0.3, 1)})
	case w.chance(0.4):
		w.writeFault(FaultTerminate, relay, setting{"signals", choose(w, SignalsReload, SignalsRepeated, SignalsStarting)})
	case w.chance(0.3):
		w.writeFault(FaultTerminate, relay)
	case w.chance(0.2):
		w.writeHeldUpWrites(relay)
	case w.chance(0.2):
		w.writeFault(FaultSuspend, relay, setting{"for_s", w.uniform(0.2, 1.5)})
	}
}

// writeEarlyFault draws the time of a fault that takes long, early enough to see its end, and writes it.
func (w *soakWriter) writeEarlyFault(kind FaultKind, settings ...setting) {
	w.writeFaultAt(w.earlyTime(), kind, settings...)
}

// earlyTime draws a time, in seconds, at which a long restart may begin.
func (w *soakWriter) earlyTime() float64 {
	return w.uniform(soakFirstFault, max(soakFirstFault, w.length-longRestart))
}

// writeHangingShutdown shuts a relay down, with new settings around it, while a destination hangs.
func (w *soakWriter) writeHangingShutdown(relay setting) {
	at := w.earlyTime()
	last := setting{"partner", fmt.Sprintf("p%d", soakDestinations-1)}
	w.writeFaultAt(at-hangLead, FaultUnresponsive, last, setting{"for_s", hangTime})
	w.writeFaultAt(at, FaultTerminate, relay, setting{"signals", SignalsReload})
}

func (w *soakWriter) writeStuckShutdown(relay setting) {
	w.writeEarlyFault(FaultTerminate, relay, setting{"signals", SignalsStuck})
}

func (w *soakWriter) writeShutdownWhileStarting(relay setting) {
	w.writeEarlyFault(FaultTerminate, relay, setting{"signals", SignalsStarting})
}

func (w *soakWriter) writeKillAfterAcceptance(relay setting) {
	w.writeEarlyFault(FaultKill, relay, setting{"back_s", w.uniform(0.3, 1)}, setting{"behind", true})
}

func (w *soakWriter) writeKillTwice(relay setting) {
	w.writeEarlyFault(FaultKill, relay, setting{"back_s", w.uniform(0.3, 1)}, setting{"again_s", w.uniform(0.2, 1)})
}

// writeShutdownTwice shuts a relay down, and again within the slow start of what its first process saw out.
func (w *soakWriter) writeShutdownTwice(relay setting) {
	w.writeFaultAt(soakFirstFault, FaultTerminate, relay, setting{"again_s", w.uniform(0.2, 1)})
}

// writeUpgradeTwice replaces a relay's process, and its successor within the cooldown of order keys.
func (w *soakWriter) writeUpgradeTwice(relay setting) {
	w.writeEarlyFault(FaultUpgrade, relay, setting{"again_s", w.uniform(0.05, 0.5)})
}

func (w *soakWriter) writeShutdownInHandover(relay setting) {
	w.writeEarlyFault(FaultUpgrade, relay, setting{"signals", SignalsHandover})
}

func (w *soakWriter) writeCrowd(relay setting) {
	w.writeEarlyFault(FaultCrowd, relay, setting{"for_s", w.uniform(2, 4)}, setting{"callers", soakCrowd})
}

// writeCrowdedShutdown shuts a relay down while a crowd takes its descriptors.
func (w *soakWriter) writeCrowdedShutdown(relay setting) {
	at := w.earlyTime()
	w.writeFaultAt(at-hangLead, FaultCrowd, relay, setting{"for_s", hangTime}, setting{"callers", soakCrowd})
	w.writeFaultAt(at, FaultTerminate, relay, setting{"signals", SignalsRepeated})
}

// writeLongDiscoveryOutage has discovery fail for long enough that some processes start without it.
func (w *soakWriter) writeLongDiscoveryOutage() {
	w.writeFaultAt(w.uniform(soakFirstFault, 2*soakFirstFault), FaultDiscoveryDown, setting{"for_s", w.uniform(2, 3.5)},
		setting{"how", choose(w, DiscoveryUnavailable, DiscoveryResets, DiscoveryUnresponsive)})
}

// writeHeldUpWrites makes some writes to a relay's sockets late, as by a process that got no processor time.
func (w *soakWriter) writeHeldUpWrites(relay setting) {
	w.writeFault(FaultSyscallErrors, relay, setting{"for_s", w.uniform(1.5, 3)}, setting{"call", "write"},
		setting{"errno", heldUpName}, setting{"share", w.uniform(0.02, 0.1)})
}
