package scenario

import "slices"

// RejectionInfo is what a destination's rejection says about when to retry.
type RejectionInfo string

// The kinds of rejection info.
const (
	RejectionSaysNothing RejectionInfo = "nothing"
	RejectionSaysWait    RejectionInfo = "wait" // Retry-After with the wait that is needed
)

// CancelBehavior is what an endpoint does with an attempt that was cancelled.
type CancelBehavior string

// The cancel behaviours.
const (
	CancelIgnored      CancelBehavior = "runs-on"      // the attempt is executed all the same
	CancelLeavesQueue  CancelBehavior = "leaves-queue" // it is dropped while it waits
	CancelStopsAttempt CancelBehavior = "stops"        // it is dropped while it waits, and aborted while it is executed
)

// Destination is a system that requests are delivered to.
type Destination struct {
	Name              string         `toml:"name,required"`
	Kind              string         `toml:"kind"`
	Tenant            string         `toml:"tenant"`
	Zone              string         `toml:"site"`
	Share             float64        `toml:"share,required"` // of the traffic, relative to the other destinations' shares
	Endpoints         int            `toml:"endpoints"`
	Concurrency       int            `toml:"slots"` // attempts that an endpoint executes at once
	QueueLength       int            `toml:"queue"` // attempts that wait at an endpoint
	ServiceTimeFactor float64        `toml:"pace"`  // multiplies service times
	Limit             *Limit         `toml:"limit"` // nil: unlimited
	CountsRejected    bool           `toml:"refused_counted"`
	MaxConnections    int            `toml:"connections"` // of an endpoint, idle ones included; 0: unlimited
	RejectionInfo     RejectionInfo  `toml:"tells"`
	HandshakeMS       float64        `toml:"handshake_ms"` // added to the first attempt on a connection
	PauseEvery        Range          `toml:"pause_every_s"`
	Pause             Range          `toml:"pause_ms"`
	ErrorRate         float64        `toml:"error_rate"`
	CancelBehavior    CancelBehavior `toml:"cancelled"`
	ColdCapacity      float64        `toml:"cold_share"`   // fraction of the capacity right after an outage
	SlowStartTime     float64        `toml:"warm_s"`       // from then to full capacity
	OverloadDowntime  float64        `toml:"fallen_for_s"` // how long an overload keeps it down
}

// Limit is what a destination admits from all relays together: either a rate with a burst, or a count per window.
type Limit struct {
	Rate   float64 `toml:"rate"` // attempts per second
	Burst  float64 `toml:"burst"`
	Count  int     `toml:"count"`
	Window float64 `toml:"span_s"`
}

// PerSecond returns the attempts per second that the limit admits.
func (l *Limit) PerSecond() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return float64(l.Count) / l.Window
}

// Capacity returns the attempts per second that a destination's endpoints execute when all are healthy.
func (s *Scenario) Capacity(d *Destination) float64 {
	return float64(d.Endpoints*d.Concurrency) / s.MeanServiceTime(d)
}

// AdmittedRate returns the attempts per second that a destination can execute: what its limit admits, or its capacity if that is less.
func (s *Scenario) AdmittedRate(d *Destination) float64 {
	capacity := s.Capacity(d)
	if d.Limit == nil {
		return capacity
	}
	return min(capacity, d.Limit.PerSecond())
}

// DestinationIndex returns the index of the destination with a name, or -1.
func (s *Scenario) DestinationIndex(name string) int {
	return slices.IndexFunc(s.Destinations, func(d Destination) bool { return d.Name == name })
}

// Kinds returns the kinds of destinations, in the scenario's order.
func (s *Scenario) Kinds() []string {
	return distinct(s.Destinations, func(d *Destination) string { return d.Kind })
}

// Zones returns the zones of destinations, in the scenario's order.
func (s *Scenario) Zones() []string {
	return distinct(s.Destinations, func(d *Destination) string { return d.Zone })
}

// distinct returns the different values of an attribute, in the order in which they first occur.
func distinct(destinations []Destination, attribute func(*Destination) string) []string {
	var values []string
	for i := range destinations {
		if value := attribute(&destinations[i]); !slices.Contains(values, value) {
			values = append(values, value)
		}
	}
	return values
}
