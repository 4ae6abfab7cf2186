package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// Further kinds of drawn days.
const (
	RollingDay = "roll"  // all relays restart, a tenth at a time, while endpoints are replaced
	SplitDay   = "split" // a zone is cut off, or destinations are unreachable; responses are lost and connections reset
)

// DrawnDayNames are the kinds of drawn days.
var DrawnDayNames = []string{CalmDay, RollingDay, HerdDay, ZoneDay, SplitDay, JoinDay}

// drawnFaults has the function that adds the faults of each kind of day.
var drawnFaults = map[string]func(d *drawnDay){
	CalmDay:    (*drawnDay).addSurge,
	RollingDay: (*drawnDay).addRollingRestart,
	HerdDay:    (*drawnDay).addKills,
	ZoneDay:    (*drawnDay).addOutages,
	SplitDay:   (*drawnDay).addPartition,
	JoinDay:    (*drawnDay).addLoweredLimits,
}

// NewDrawnDay returns a day of a kind. Its sizes, shares, limits and the times of its faults are drawn from the seed, from the ranges
// that the platform states for such faults.
func NewDrawnDay(kind string, relays int, seed int64) (*Day, error) {
	if !slices.Contains(DrawnDayNames, kind) {
		return nil, fmt.Errorf("unknown kind of drawn day %q: known kinds are %s", kind, strings.Join(DrawnDayNames, ", "))
	}
	random := drawSource{scenario.NewRandomStreams(seed).Stream("day of kind " + kind)}
	day, _, err := drawWorkload(random).newDay(relays, seed)
	if err != nil {
		return nil, err
	}
	d := &drawnDay{Day: day, random: random}
	d.drawClients()
	drawnFaults[kind](d)
	day.Faults = append(day.Faults, drawCopies(day.Scenario.Length, seed), drawEarlyEnds(day.Scenario.Length, seed))
	return day, nil
}

// drawCopies returns the fault of each drawn day in which endpoints write responses twice. It has a random stream of its own, so that all
// else on a day does not depend on it.
func drawCopies(length float64, seed int64) Fault {
	random := drawSource{scenario.NewRandomStreams(seed).Stream("copied responses of a day")}
	return Fault{At: scenario.Seconds(random.between(1, 3)), Kind: FaultCopies, Share: random.between(0.05, 0.2), Duration: scenario.Seconds(length)}
}

// drawEarlyEnds returns the fault of each drawn day in which messages are over at their first attempt. It has a random stream of its own
// too.
func drawEarlyEnds(length float64, seed int64) Fault {
	random := drawSource{scenario.NewRandomStreams(seed).Stream("early ends of a day")}
	return Fault{At: scenario.Seconds(random.between(1, 3)), Kind: FaultEarlyEnds, Share: random.between(0.01, 0.05), Duration: scenario.Seconds(length)}
}

// drawSource draws numbers from ranges, and subsets.
type drawSource struct{ *rand.Rand }

func (s drawSource) between(low, high float64) float64 { return low + (high-low)*s.Float64() }

// some draws the indices of a share of n items, at least one of them, in random order.
func (s drawSource) some(n int, share float64) []int {
	return s.Perm(n)[:max(1, int(share*float64(n)+0.5))]
}

func drawWorkload(random drawSource) workload {
	const largestShare = 0.35 // one destination, or a few equal ones in a large fleet, get much of the traffic
	w := workload{
		ratePerRelay: random.between(5, 9), sentShare: random.between(0.75, 1), limitFactor: random.between(1, 1.4),
		capacityRatio: random.between(1.2, 1.6), length: random.between(26, 34),
	}
	total := 0.0
	for i := range 5 + random.IntN(4) {
		share := random.between(0.02, 0.3)
		if i == 0 {
			share = largestShare
		}
		w.shares = append(w.shares, share)
		total += share
	}
	for i := range w.shares {
		w.shares[i] /= total
	}
	return w
}

// drawnDay is a day whose faults are being drawn.
type drawnDay struct {
	*Day
	random drawSource
}

// drawClients draws the retries of clients, the share of clients that honour Retry-After, the delay of watch events, and the
// destinations that send Retry-After with a rejection.
func (d *drawnDay) drawClients() {
	s := d.Scenario
	s.Clients.Retries, s.Clients.HonourRetryAfter = d.random.IntN(3), d.random.between(0.37, 0.82)
	d.Discovery.PublishDelay = d.duration(0.5, 4)
	for i := range s.Destinations {
		if destination := &s.Destinations[i]; d.random.Float64() < 0.5 {
			destination.RejectionInfo = scenario.RejectionSaysWait
		}
	}
}

func (d *drawnDay) duration(low, high float64) time.Duration {
	return scenario.Seconds(d.random.between(low, high))
}

// add adds a fault at a time in seconds.
func (d *drawnDay) add(at float64, fault Fault) {
	fault.At = scenario.Seconds(at)
	d.Faults = append(d.Faults, fault)
}

// addToSome adds a fault to a share of the destinations.
func (d *drawnDay) addToSome(share, at float64, fault Fault) {
	for _, number := range d.some(share) {
		fault.Destination = number
		d.add(at, fault)
	}
}

// some draws a share of the destinations.
func (d *drawnDay) some(share float64) []int {
	return d.random.some(len(d.Scenario.Destinations), share)
}

func (d *drawnDay) addSurge() {
	d.Scenario.Faults = []scenario.Fault{
		{At: d.random.between(5, 15), Duration: d.random.between(2.4, 7.8), Kind: scenario.FaultLoadSurge, Factor: 1.5},
	}
}

func (d *drawnDay) addRollingRestart() {
	const steps = 10
	d.addReplacements()
	at, step := d.random.between(4, 6), d.random.between(1, 2)
	for i := range steps {
		d.add(at+step*float64(i), Fault{Kind: FaultRollingRestart, First: float64(i) / steps, Share: 1.0 / steps})
	}
}

func (d *drawnDay) addKills() {
	d.add(d.random.between(6, 12), Fault{Kind: FaultKill, Share: 0.7})
	d.add(d.random.between(d.Scenario.Length-8, d.Scenario.Length-4), Fault{Kind: FaultKill, First: 0.7, Share: 0.3})
	d.addReplacements()
	d.lowerSomeLimits()
}

func (d *drawnDay) addOutages() {
	const length = 5 // seconds
	at := d.random.between(5, 12)
	for _, number := range d.some(0.4) {
		d.add(at, Fault{Kind: FaultOutage, Destination: number})
		d.add(at+length, Fault{Kind: FaultRecovery, Destination: number})
	}
	d.addToSome(1.0/8, d.random.between(5, 12), Fault{Kind: FaultSlowdown, Factor: d.random.between(5, 20), Duration: d.duration(8, 15)})
	d.addToSome(1.0/8, d.random.between(5, 12), Fault{Kind: FaultErrors, Share: d.random.between(0.3, 0.9), Duration: d.duration(5, 10)})
}

func (d *drawnDay) addPartition() {
	const length = 6 * time.Second
	at := d.random.between(6, 12)
	if d.random.Float64() < 0.5 {
		d.add(at, Fault{Kind: FaultPartition, Zone: d.random.IntN(zones), Duration: length})
	} else {
		d.addToSome(0.2, at, Fault{Kind: FaultUnreachable, Duration: length})
	}
	d.Discovery.PublishDelay = d.duration(3, 5)
	d.add(d.random.between(4, 10), Fault{Kind: FaultNetworkHarm, Share: d.random.between(0.05, 0.15), Duration: d.duration(5, 12)})
}

func (d *drawnDay) addLoweredLimits() {
	d.lowerSomeLimits()
	d.lowerSomeLimits()
	d.add(d.random.between(3, 8), Fault{Kind: FaultClientsLeaving, Share: d.random.between(0.02, 0.1), Duration: d.duration(8, 15)})
	clients := &d.Scenario.Clients
	clients.Retries, clients.HonourRetryAfter, clients.Backoff = 5, 0, scenario.Range{Low: 40, High: 200}
	d.addToSome(0.3, d.random.between(3, 8), Fault{Kind: FaultErrors, Share: d.random.between(0.02, 0.1), Duration: d.duration(8, 15)})
}

// lowerSomeLimits lowers the limits of some destinations, and restores them after 5 to 10 s.
func (d *drawnDay) lowerSomeLimits() {
	for _, number := range d.some(0.3) {
		at := d.random.between(5, 12)
		d.add(at, Fault{Kind: FaultLimitLowered, Destination: number, Share: d.random.between(0.15, 0.6)})
		d.add(at+d.random.between(5, 10), Fault{Kind: FaultLimitLowered, Destination: number, Share: 1})
	}
}

// addReplacements replaces the endpoints of half of the destinations, one after another.
func (d *drawnDay) addReplacements() {
	for i, number := range d.some(0.5) {
		d.add(5+1.5*float64(i)+d.random.between(0, 1), Fault{Kind: FaultReplacement, Destination: number})
	}
}
