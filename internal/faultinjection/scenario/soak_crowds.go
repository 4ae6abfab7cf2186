package scenario

import (
	"fmt"
	"math/rand/v2"
)

const (
	// crowdSoakStream separates the draws of a soak of crowds from all others ("csoak").
	crowdSoakStream = 0x63736f616b
	// crowdSoakMemoryMB is the memory of a relay in a soak of crowds, the least that the platform grants, and crowdSoakSockets the number
	// of its descriptors.
	crowdSoakMemoryMB, crowdSoakSockets = 32, 128
	// hostileCallers is the number of callers in a crowd of a soak of crowds: more than a relay has descriptors.
	hostileCallers = 150
	// crowdSoakRatePerRelay is the number of messages per second for each relay: enough that clients keep connections.
	crowdSoakRatePerRelay = 10.0
	// crowdLead is how long, in seconds, a crowd is there before the relay's process is ended or replaced.
	crowdLead = 0.5
)

// CrowdSoakScenario returns the text of a scenario, drawn from a seed, in which hostile clients crowd each relay, which has little
// memory and few descriptors, while its process is ended or replaced: by kills in series, a kill right after it has accepted a
// request, SIGTERM with new settings around it, SIGTERM in immediate succession, or hand-overs. Destinations fail meanwhile.
func CrowdSoakScenario(seed int64, relays int, length float64) string {
	w := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), crowdSoakStream)), length: length}
	w.printf(soakHeader, seed, seed, seed, length, relays, crowdSoakRatePerRelay*float64(relays))
	w.printf("\n[rules]\norder_pause_s = %v\n", soakCooldown)
	w.printf("\n[relay]\nsockets = %d\nmemory_mb = %d\n", crowdSoakSockets, crowdSoakMemoryMB)
	for i := range soakDestinations {
		name := fmt.Sprintf("p%d", i)
		w.writeDestination(name, relays)
		w.writeDestinationFaults(name)
	}
	for i, number := range w.random.Perm(relays) {
		w.writeCrowdedFault(i, setting{"relay", number + 1})
	}
	w.writeEarlyEnds(seed)
	return w.text.String()
}

// writeCrowdedFault writes a crowd and, while it stays, the i-th kind of end or replacement of the relay's process.
func (w *soakWriter) writeCrowdedFault(i int, relay setting) {
	at := w.earlyTime()
	w.writeFaultAt(at, FaultCrowd, relay, setting{"for_s", hangTime}, setting{"callers", hostileCallers}, setting{"hostile", true})
	at += crowdLead
	switch i % 5 {
	case 0:
		w.writeFaultAt(at, FaultKill, relay, setting{"back_s", 1}, setting{"again_s", w.uniform(0.05, 1)})
	case 1:
		w.writeFaultAt(at, FaultTerminate, relay, setting{"signals", choose(w, SignalsReload, SignalsRepeated, SignalsStarting)})
	case 2:
		w.writeFaultAt(at, FaultUpgrade, relay, setting{"again_s", w.uniform(0.05, 0.5)})
	case 3:
		w.writeFaultAt(at, FaultKill, relay, setting{"back_s", w.uniform(0.3, 1)}, setting{"behind", true})
	default:
		w.writeFaultAt(at, FaultTerminate, relay, setting{"again_s", w.uniform(0.2, 1)})
	}
}
