package scenario

import (
	"fmt"
	"math/rand/v2"
)

const (
	// redeliverySoakStream is the second word of the generator's seed in a soak of redeliveries ("dsoak" in ASCII).
	redeliverySoakStream = 0x64736f616b
	// redeliveryDestinations is the number of destinations: few, so that a redelivery meets other calls to its destination.
	redeliveryDestinations = 4
	// redeliveryConnections is the number of connections that an endpoint accepts from each relay.
	redeliveryConnections = 2
	// slowLength is how long a destination is slow, in seconds: longer than a payment's deadline, so that payments that were executed
	// become dead letters while the destination is still slow.
	slowLength = 7.0
)

// redeliverySoakHeader has a class of each kind of idempotency, with a key TTL that leaves some seconds for redeliveries, and rules that
// redeliver all classes.
const redeliverySoakHeader = `version = 1
name = "soak-%d"
about = "redeliveries by rules beside slow destinations with few connections, drawn from seed %d"
seed = %d
length_s = %v
relays = %d

[relay]
resends = true
operator = """
version = 1
[undelivered]
folder = "{dir}/undelivered"
clients_return = false
[[undelivered.rule]]
action = "resend"
after_s = 1.2
most = 4
rate = 20
"""

[clients]
retries = 0

[load]
rate = %v
clumps = 0.05

[[class]]
name = "payment"
share = 0.6
worth = 2
aim_s = 1
deadline_s = 3.5
effect = "keyed"
memory_s = 7
ordered = true
keys = 6
service_ms = 80

[[class]]
name = "order"
share = 0.15
aim_s = 1
deadline_s = 3
effect = "unsafe"
service_ms = 80

[[class]]
name = "status"
share = 0.25
aim_s = 1
deadline_s = 3.5
effect = "safe"
service_ms = 80
`

// RedeliverySoakScenario returns the text of a scenario, drawn from a seed, in which operator's rules redeliver messages of all classes
// beside destinations that are slow, accept few connections, reset connections or reject, while relays are killed, terminated and
// upgraded.
func RedeliverySoakScenario(seed int64, relays int, length float64) string {
	w := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), redeliverySoakStream)), length: length}
	w.printf(redeliverySoakHeader, seed, seed, seed, length, relays, soakRatePerRelay*float64(relays))
	for i := range redeliveryDestinations {
		w.writeRedeliveryDestination(fmt.Sprintf("p%d", i), relays)
	}
	for number := 1; number <= relays; number++ {
		relay := setting{"relay", number}
		switch {
		case w.chance(0.25):
			w.writeFault(FaultKill, relay, setting{"back_s", w.uniform(0.3, 1)})
		case w.chance(0.25):
			w.writeFault(FaultTerminate, relay)
		case w.chance(0.25):
			w.writeFault(FaultUpgrade, relay)
		}
	}
	return w.text.String()
}

// writeRedeliveryDestination draws a destination that is slow for a while, and another fault of it.
func (w *soakWriter) writeRedeliveryDestination(name string, relays int) {
	concurrency := 3 + relays/4
	w.printf("\n[[partner]]\nname = \"%s\"\nshare = %v\nendpoints = %d\nslots = %d\nqueue = %d\nconnections = %d\n",
		name, w.uniform(0.5, 2), 1+w.random.IntN(2), concurrency, 4*concurrency, redeliveryConnections*relays)
	destination := setting{"partner", name}
	latest := max(soakFirstFault, w.length-slowLength-soakQuietTime)
	w.writeFaultAt(w.uniform(soakFirstFault, latest), FaultSlowdown, destination, setting{"for_s", slowLength}, setting{"factor", w.uniform(10, 40)})
	if w.chance(0.4) {
		w.writeFault(FaultResets, destination, setting{"for_s", w.uniform(0.5, 3)}, setting{"share", w.uniform(0.2, 0.6)})
	}
	if w.chance(0.3) {
		w.writeFault(FaultOverloaded, destination, setting{"for_s", w.uniform(0.5, 3)})
	}
}
