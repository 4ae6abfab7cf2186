package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

const (
	// attemptsPerEndpoint bounds the part of a destination's limit that one endpoint is sized for, in attempts per second. An endpoint
	// accepts at least minEndpointConns connections.
	attemptsPerEndpoint, minEndpointConns = 60.0, 12
	// Destinations of the largest share of the traffic have up to maxEndpointsOfLargest endpoints, the others up to maxEndpoints, so that
	// a larger fleet has more destinations and not larger ones. The platform's destinations have one to four endpoints, two on average.
	maxEndpointsOfLargest, maxEndpoints = 4, 2
	// Lower bounds for small destinations.
	minLimit, minConcurrency, minEndpointsOfLargest = 2, 2, 2
	// queuePerSlot and connsPerSlot are the queued attempts and the connections that an endpoint accepts per concurrent attempt.
	queuePerSlot, connsPerSlot = 2, 3
	// serviceTimeFactor scales the service times of the classes at the destinations, so that they are far shorter than network latency.
	serviceTimeFactor = 0.25
	// meanServiceTimeMS is the mean service time of the classes in scenarioHead, weighted by their shares.
	meanServiceTimeMS = 0.5*230 + 0.4*340 + 0.1*260
)

const (
	// Discovery can serve one poll of each relay within discoveryPeriod. For fewer than minDiscoveryClients relays it has the capacity
	// for that number.
	discoveryPeriod     = 5 * time.Second
	minDiscoveryClients = 12
	discoveryTimeout    = 2 * time.Second
	discoveryQueueTime  = 6 * time.Second
	publishDelay        = time.Second
)

// workload describes the traffic of a day and the destinations that it goes to.
type workload struct {
	ratePerRelay  float64   // messages per second per relay
	sentShare     float64   // traffic that is sent, as a multiple of ratePerRelay
	limitFactor   float64   // the destinations' limits as a multiple of their traffic at ratePerRelay
	capacityRatio float64   // the destinations' capacity as a multiple of their limits
	shares        []float64 // of the traffic; each goes to one destination, or to several equal ones if one would need too many endpoints
	length        float64   // seconds
}

// scenarioHead is the scenario of all workloads without its destinations. Its format arguments are the length and the rate.
const scenarioHead = `version = 1
name = "fleet"
length_s = %v
relays = 1
[relay]
slots = 4
hold = 90
[report]
every_ms = [110, 420]
delay_ms = [60, 290]
noise = 0.08
[clients]
retries = 1
[load]
rate = %v
clumps = 0.1
[[class]]
name = "fee-payment"
share = 0.5
worth = 2
late_share = 0.5
aim_s = 2.5
deadline_s = 12
effect = "keyed"
memory_s = 15
service_ms = 230
spread = "lognormal"
cv = 0.9
noise = 0.2
[[class]]
name = "parcel-status"
share = 0.4
late_share = 0.3
aim_s = 3
deadline_s = 12
effect = "safe"
service_ms = 340
noise = 0.3
[[class]]
name = "mutation-deed"
share = 0.1
worth = 2
late_share = 0.5
aim_s = 2.5
deadline_s = 12
effect = "unsafe"
service_ms = 260
noise = 0.3
`

// newDay returns a day without faults, and the numbers of the destinations of each share in w.shares. The number of destinations
// grows with the number of relays; the load of one endpoint does not.
func (w workload) newDay(relays int, seed int64) (day *Day, numbersByShare [][]int, err error) {
	rate := w.ratePerRelay * float64(relays)
	var text strings.Builder
	fmt.Fprintf(&text, scenarioHead, w.length, rate*w.sentShare)
	next := 0
	for i, share := range w.shares {
		spec := w.sizeDestinations(rate*share*w.limitFactor, i == 0)
		spec.share = share / float64(spec.count)
		var numbers []int
		for range spec.count {
			spec.write(&text, next)
			numbers = append(numbers, next)
			next++
		}
		numbersByShare = append(numbersByShare, numbers)
	}
	s, err := scenario.Parse("fleet", []byte(text.String()))
	if err != nil {
		return nil, nil, err
	}
	s.Relays = relays
	return &Day{Scenario: s, Seed: seed, Discovery: Discovery{
		ServiceTime: discoveryPeriod / time.Duration(max(minDiscoveryClients, relays)), Timeout: discoveryTimeout,
		MaxQueueTime: discoveryQueueTime, PublishDelay: publishDelay,
	}}, numbersByShare, nil
}

// destinationSpec describes equal destinations.
type destinationSpec struct {
	count       int
	share       float64 // of the traffic, for each destination
	limit       float64 // attempts per second, for each destination
	endpoints   int
	concurrency int // concurrent attempts at each endpoint
}

// sizeDestinations returns equal destinations whose limits add up to a limit, in attempts per second.
func (w workload) sizeDestinations(limit float64, largest bool) destinationSpec {
	endpoints := float64(maxEndpoints)
	if largest {
		endpoints = maxEndpointsOfLargest
	}
	d := destinationSpec{count: max(1, int(math.Ceil(limit/(attemptsPerEndpoint*endpoints))))}
	d.limit = math.Max(minLimit, math.Round(limit/float64(d.count)))
	d.endpoints = max(1, int(math.Ceil(d.limit/attemptsPerEndpoint)))
	if largest {
		d.endpoints = max(minEndpointsOfLargest, d.endpoints)
	}
	serviceTime := meanServiceTimeMS / 1000 * serviceTimeFactor
	d.concurrency = max(minConcurrency, int(math.Ceil(d.limit*w.capacityRatio*serviceTime/float64(d.endpoints))))
	return d
}

// write writes one of the destinations as a table of a scenario file.
func (d *destinationSpec) write(text *strings.Builder, number int) {
	fmt.Fprintf(text, "[[partner]]\nname = \"p%d\"\nshare = %v\nendpoints = %d\nslots = %d\nqueue = %d\npace = %v\n"+
		"limit = { count = %d, span_s = 1 }\nrefused_counted = true\nhandshake_ms = 2\nconnections = %d\n",
		number, d.share, d.endpoints, d.concurrency, queuePerSlot*d.concurrency, serviceTimeFactor, int(d.limit),
		max(minEndpointConns, connsPerSlot*d.concurrency))
}
