package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

const (
	// soakFirstFault is when the first faults of a soak begin, in seconds.
	soakFirstFault = 1.0
	// soakQuietTime is the time in seconds at the end of a soak in which no fault begins, so that all relays are up again at the end.
	soakQuietTime = 2.5
	// soakRatePerRelay is the number of messages per second for each relay.
	soakRatePerRelay = 3.0
	// soakDestinations is the number of destinations.
	soakDestinations = 10
	// soakStream is the second word of the generator's seed ("soak" in ASCII). It separates the draws of a soak's text from the draws
	// of its run.
	soakStream = 0x736f616b
	// restartSoakStream has the same purpose for a soak of restarts ("rsoak").
	restartSoakStream = 0x72736f616b
	// extraSoakStream separates the draws of responses that nobody asked for from all others ("esoak").
	extraSoakStream = 0x65736f616b
	// earlyEndSoakStream does the same for early ends ("gsoak").
	earlyEndSoakStream = 0x67736f616b
)

// soakHeader is the common part of all soaks: a class of each kind of idempotency, and an ordered class, all with short deadlines.
const soakHeader = `version = 1
name = "soak-%d"
about = "random faults that overlap, drawn from seed %d"
seed = %d
length_s = %v
relays = %d

[load]
rate = %v
clumps = 0.05

[[class]]
name = "payment"
share = 0.35
worth = 2
aim_s = 1.5
deadline_s = 4
effect = "keyed"
memory_s = 5
service_ms = 60

[[class]]
name = "order"
share = 0.25
worth = 2
aim_s = 1.5
deadline_s = 3
effect = "unsafe"
service_ms = 60

[[class]]
name = "status"
share = 0.25
aim_s = 1.5
deadline_s = 4
effect = "safe"
service_ms = 60

[[class]]
name = "deed"
share = 0.15
aim_s = 2
deadline_s = 4
effect = "safe"
ordered = true
keys = 60
service_ms = 40
`

// SoakScenario returns the text of a scenario with random, overlapping faults, drawn from a seed: processes that are killed,
// terminated or suspended, stepped clocks, failing system calls and folders, destinations that are down, slow or paused or that
// reset connections, responses that nobody asked for, discovery that is down, and lost datagrams.
func SoakScenario(seed int64, relays int, length float64) string {
	w := &soakWriter{random: rand.New(rand.NewPCG(uint64(seed), soakStream)), length: length}
	w.printf(soakHeader, seed, seed, seed, length, relays, soakRatePerRelay*float64(relays))
	for i := range soakDestinations {
		name := fmt.Sprintf("p%d", i)
		w.writeDestination(name, relays)
		w.writeDestinationFaults(name)
	}
	for number := 1; number <= relays; number++ {
		relay := setting{"relay", number}
		w.writeClockSteps(relay)
		w.writeProcessFault(relay)
		w.writeMachineFaults(relay)
	}
	w.writeNetworkFaults()
	w.writeExtraResponses(seed)
	w.writeEarlyEnds(seed)
	return w.text.String()
}

// soakWriter writes the text of a soak. Each method draws its random numbers in the order in which it writes them.
type soakWriter struct {
	text   strings.Builder
	random *rand.Rand
	length float64
}

// writeDestination draws a destination whose capacity exceeds its share of the load.
func (w *soakWriter) writeDestination(name string, relays int) {
	concurrency := 3 + relays/4
	w.printf("\n[[partner]]\nname = \"%s\"\nshare = %v\nendpoints = %d\nslots = %d\nqueue = %d\n",
		name, w.uniform(0.5, 2), 1+w.random.IntN(3), concurrency, 4*concurrency)
	if w.chance(0.3) {
		w.printf("tells = \"wait\"\nlimit = { count = %d, span_s = 1 }\n", 2+relays/2)
	}
}

// setting is a key of a fault and its value.
type setting struct {
	key   string
	value any
}

// milliseconds is a range of times in milliseconds as the value of a key.
type milliseconds struct{ low, high int }

// writeFault writes a fault at a random time.
func (w *soakWriter) writeFault(kind FaultKind, settings ...setting) {
	w.writeFaultAt(soakFirstFault+w.random.Float64()*(w.length-soakFirstFault-soakQuietTime), kind, settings...)
}

// writeFaultAt writes a fault that begins at the given time, in seconds.
func (w *soakWriter) writeFaultAt(at float64, kind FaultKind, settings ...setting) {
	w.printf("\n[[event]]\nat_s = %.3f\nwhat = %q\n", at, kind)
	for _, s := range settings {
		switch value := s.value.(type) {
		case string:
			w.printf("%s = %q\n", s.key, value)
		case milliseconds:
			w.printf("%s = [%d, %d]\n", s.key, value.low, value.high)
		default:
			w.printf("%s = %v\n", s.key, value)
		}
	}
}

func (w *soakWriter) printf(format string, args ...any) { fmt.Fprintf(&w.text, format, args...) }

// chance returns true with the given probability.
func (w *soakWriter) chance(probability float64) bool { return w.random.Float64() < probability }

// uniform draws a number between two bounds, truncated to three decimal places.
func (w *soakWriter) uniform(low, high float64) float64 {
	return float64(int(1000*(low+w.random.Float64()*(high-low)))) / 1000
}

// choose returns one of the values at random.
func choose[T any](w *soakWriter, values ...T) T { return values[w.random.IntN(len(values))] }
