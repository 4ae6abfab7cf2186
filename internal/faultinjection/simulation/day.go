package simulation

import (
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault, with the fields that each takes beside At.
const (
	FaultLimitLowered   FaultKind = "lower"   // Destination Share: it admits a share of its limit from now on
	FaultOutage         FaultKind = "out"     // Destination: it refuses connections
	FaultRecovery       FaultKind = "back"    // Destination: it is back from its outage, cold
	FaultUnreachable    FaultKind = "vanish"  // Destination Duration: it answers nothing, as if its machines had vanished, and returns cold
	FaultSlowdown       FaultKind = "slow"    // Destination Factor Duration: service times are multiplied
	FaultErrors         FaultKind = "errors"  // Destination Share Duration: a share of its responses are errors
	FaultReplacement    FaultKind = "replace" // Destination: its endpoints are replaced by new ones
	FaultKill           FaultKind = "kill"    // First Share: a share of the relays is killed at once, and starts again
	FaultRollingRestart FaultKind = "roll"    // First Share: a share of the relays restarts, every second one gracefully, the others killed
	FaultDiscoveryDown  FaultKind = "down"    // Duration
	FaultPartition      FaultKind = "cut"     // Zone Duration: nothing passes between a zone's relays and endpoints and the others
	FaultNetworkHarm    FaultKind = "harm"    // Share Duration: that share of attempts loses its response or its connection
	FaultClientsLeaving FaultKind = "hasty"   // Share Duration: that share of clients leaves before its response, and submits elsewhere
)

// Fault is a fault of a fleet.
type Fault struct {
	At          time.Duration
	Kind        FaultKind
	Destination int
	Share       float64 // of the limit, the relays, the responses, the attempts or the clients
	First       float64 // the first relay, as a share of all
	Factor      float64
	Zone        int
	Duration    time.Duration
}

// PlantedBug is a bug that is put into the relays, so that tests see it caught.
type PlantedBug struct {
	NoJitter     bool // relays poll discovery at once, and again after fixed delays
	MinimumQuota bool // an even share of a limit that is below one attempt per second counts as one
	TrustsGossip bool // the word that a destination has recovered opens all of a relay's queues
	ProbesAlone  bool // each relay probes a destination that is down, four times a second
	NoJournal    bool // accepted requests are lost with their process
	// Events and Actions, where set, change what a relay's decision module hears and what it decides in a batch.
	Events  func(relay int, events []policy.Event) []policy.Event
	Actions func(relay int, now time.Duration, actions []policy.Action) []policy.Action
}

// Day is what is played.
type Day struct {
	Scenario  *scenario.Scenario
	Faults    []Fault
	Discovery Discovery
	Bug       PlantedBug
	Skew      float64 // share of all messages that goes to the first relay, beside its even part of the rest
	Seed      int64
}
