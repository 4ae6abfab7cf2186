package simulation

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault, with the fields of Fault that each uses in addition to At.
const (
	FaultLimitLowered   FaultKind = "lower"   // Destination Share: its limit is lowered to a share of the configured one, until the next such fault
	FaultOutage         FaultKind = "out"     // Destination: it refuses connections until FaultRecovery
	FaultRecovery       FaultKind = "back"    // Destination: it recovers from its outage, in slow start
	FaultUnreachable    FaultKind = "vanish"  // Destination Duration: it does not respond, as if its machines had vanished, and recovers in slow start
	FaultSlowdown       FaultKind = "slow"    // Destination Factor Duration: service times are multiplied
	FaultErrors         FaultKind = "errors"  // Destination Share Duration: a share of its responses are errors
	FaultReplacement    FaultKind = "replace" // Destination: its endpoints are replaced by new ones
	FaultKill           FaultKind = "kill"    // First Share: a share of the relays is killed at the same time, and starts again
	FaultRollingRestart FaultKind = "roll"    // First Share: a share of the relays restarts; every second one shuts down gracefully, the others are killed
	FaultDiscoveryDown  FaultKind = "down"    // Duration: the discovery service is unavailable
	FaultPartition      FaultKind = "cut"     // Zone Duration: a zone's relays and endpoints are cut off from those of the other zones
	FaultNetworkHarm    FaultKind = "harm"    // Share Duration: a share of attempts loses its response or its connection
	FaultCopies         FaultKind = "copies"  // Share Duration: endpoints write a share of their responses twice, the copy up to 250 ms later
	FaultEarlyEnds      FaultKind = "ended"   // Share Duration: a share of messages is over at the first attempt: the endpoint says so at once, and resets the connection later
	FaultClientsLeaving FaultKind = "hasty"   // Share Duration: a share of clients disconnects before the response, and submits again
)

// Fault is a fault that concerns a fleet.
type Fault struct {
	At          time.Duration
	Kind        FaultKind
	Destination int
	Share       float64 // of the limit, the relays, the responses, the attempts or the clients, by kind
	First       float64 // position of the first relay concerned, as a share of all relays
	Factor      float64
	Zone        int
	Duration    time.Duration
}

// PlantedBug is a bug that a test puts into the relays, to show that the checks find it.
type PlantedBug struct {
	NoJitter            bool // relays poll discovery immediately at their start, and retry after fixed delays
	MinimumQuota        bool // a quota, the even share of a limit, is never below one attempt per second
	TrustsGossip        bool // on gossip that a destination has recovered, relays consider all destinations healthy and open all queues
	UncoordinatedProbes bool // each relay probes an unhealthy destination four times a second
	TakesEveryResponse  bool // relays use connections again at once, and take each response for that of the request in flight
	ForgetsEnds         bool // relays drop what a response forbids if it may belong to an earlier request
	NoJournal           bool // accepted requests are lost when their process is killed
	// If set, Events changes the events of a batch before a relay's decision module gets them, and Actions the actions that the module
	// returns.
	Events  func(relay int, events []policy.Event) []policy.Event
	Actions func(relay int, now time.Duration, actions []policy.Action) []policy.Action
}

// Day is a scenario for a fleet, with faults.
type Day struct {
	Scenario  *scenario.Scenario
	Faults    []Fault
	Discovery Discovery
	Bug       PlantedBug
	Skew      float64 // share of all messages that goes to the first relay, in addition to its even part of the others
	Seed      int64
}
