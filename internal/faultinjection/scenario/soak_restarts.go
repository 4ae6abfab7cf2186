package scenario

import (
	"fmt"
	"math/rand/v2"
)

const (
	// soakCooldown is the cooldown of order keys in a soak of restarts, in seconds. It is long enough for a second restart within it.
	soakCooldown = 1.0
	// crowdSocketLimit is the number of descriptors that a relay may hold in a soak with crowds; crowdCallers is the number of
	// callers in a crowd.
	crowdSocketLimit, crowdCallers = 160, 200
	// maxRestartTime is the time in seconds that the longest restart takes, including some time in which the next process is
	// observed.
	maxRestartTime = 5.0
	// hangLead is how long before a shutdown, in seconds, a destination begins to hang or a crowd arrives. hangTime is how long, in
	// seconds, the hang or the crowd lasts: longer than the shutdown, because a terminated process may take 3.7 s to end.
	hangLead, hangTime = 0.3, 4.6
)

// RestartSoakScenario returns the text of a scenario, drawn from a seed, that adds to the faults of SoakScenario all ways in which
// the platform ends and replaces processes: with a series of signals around SIGTERM, while the process starts, right after it has
// accepted a request, a second time within the cooldown of order keys or a slow start, while a destination hangs, and by a kill after
// a shutdown got stuck. Scenarios of even seeds have crowds of callers, and scenarios of odd seeds have hand-overs. Apart from that,
// each scenario has all of these ways. The restarts overlap with the faults of SoakScenario.
func RestartSoakScenario(seed int64, relays int, length float64) string {
	w := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), restartSoakStream)), length: length}
	crowds := seed%2 == 0
	w.printf(soakHeader, seed, seed, seed, length, relays, soakRatePerRelay*float64(relays))
	w.printf("\n[rules]\norder_pause_s = %v\n", soakCooldown)
	if crowds {
		w.printf("\n[relay]\nsockets = %d\n", crowdSocketLimit)
	}
	for i := range soakDestinations {
		name := fmt.Sprintf("p%d", i)
		w.writeDestination(name, relays)
		if i < soakDestinations-1 { // the last destination hangs during a shutdown instead
			w.writeDestinationFaults(name)
		}
	}
	w.writeRestarts(relays, crowds)
	w.writeLongDiscoveryOutage()
	w.writeExtraResponses(seed)
	w.writeEarlyEnds(seed)
	return w.text.String()
}

// writeRestarts draws the faults of all relays. Each planned fault of a process is assigned to a different relay.
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

// writeAnyRestart draws the fault of a relay that has no planned one. Shutdowns are more frequent than in SoakScenario, and may have
// a series of signals.
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

// writeEarlyFault writes a fault with long effects at a random time that is early enough for its end to be observed in the run.
func (w *soakWriter) writeEarlyFault(kind FaultKind, settings ...setting) {
	w.writeFaultAt(w.earlyTime(), kind, settings...)
}

// earlyTime draws a time, in seconds, that leaves maxRestartTime before the end of the run.
func (w *soakWriter) earlyTime() float64 {
	return w.uniform(soakFirstFault, max(soakFirstFault, w.length-maxRestartTime))
}

// writeHangingShutdown writes a shutdown of a relay, with new settings around SIGTERM, while a destination hangs.
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

// writeShutdownTwice writes a shutdown of a relay and a second one soon after, while destinations whose outage the first process had
// observed are still in their slow start.
func (w *soakWriter) writeShutdownTwice(relay setting) {
	w.writeFaultAt(soakFirstFault, FaultTerminate, relay, setting{"again_s", w.uniform(0.2, 1)})
}

// writeUpgradeTwice writes an upgrade of a relay's process, and an upgrade of the successor within the cooldown of order keys.
func (w *soakWriter) writeUpgradeTwice(relay setting) {
	w.writeEarlyFault(FaultUpgrade, relay, setting{"again_s", w.uniform(0.05, 0.5)})
}

func (w *soakWriter) writeShutdownInHandover(relay setting) {
	w.writeEarlyFault(FaultUpgrade, relay, setting{"signals", SignalsHandover})
}

func (w *soakWriter) writeCrowd(relay setting) {
	w.writeEarlyFault(FaultCrowd, relay, setting{"for_s", w.uniform(2, 4)}, setting{"callers", crowdCallers})
}

// writeCrowdedShutdown writes a shutdown of a relay while a crowd of callers uses up its descriptors.
func (w *soakWriter) writeCrowdedShutdown(relay setting) {
	at := w.earlyTime()
	w.writeFaultAt(at-hangLead, FaultCrowd, relay, setting{"for_s", hangTime}, setting{"callers", crowdCallers})
	w.writeFaultAt(at, FaultTerminate, relay, setting{"signals", SignalsRepeated})
}

// writeLongDiscoveryOutage writes an outage of discovery that is long enough for some processes to start without discovery.
func (w *soakWriter) writeLongDiscoveryOutage() {
	w.writeFaultAt(w.uniform(soakFirstFault, 2*soakFirstFault), FaultDiscoveryDown, setting{"for_s", w.uniform(2, 3.5)},
		setting{"how", choose(w, DiscoveryUnavailable, DiscoveryResets, DiscoveryUnresponsive)})
}

// writeHeldUpWrites delays some writes to a relay's sockets, as if the process had got no processor time.
func (w *soakWriter) writeHeldUpWrites(relay setting) {
	w.writeFault(FaultSyscallErrors, relay, setting{"for_s", w.uniform(1.5, 3)}, setting{"call", "write"},
		setting{"errno", heldUpName}, setting{"share", w.uniform(0.02, 0.1)})
}
