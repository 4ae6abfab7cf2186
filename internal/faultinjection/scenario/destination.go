package scenario

import "slices"

// RejectionInfo is the information that a destination's rejection contains about when to retry.
type RejectionInfo string

// The kinds of rejection info.
const (
	RejectionSaysNothing RejectionInfo = "nothing"
	RejectionSaysWait    RejectionInfo = "wait" // a Retry-After with the necessary wait
)

// CancelBehavior is what an endpoint does with an attempt that was cancelled.
type CancelBehavior string

// The cancel behaviours.
const (
	CancelIgnored      CancelBehavior = "runs-on"      // the attempt is executed nevertheless
	CancelLeavesQueue  CancelBehavior = "leaves-queue" // the attempt is dropped if it still waits in the queue
	CancelStopsAttempt CancelBehavior = "stops"        // the attempt is dropped if it still waits in the queue, and aborted if it is being executed
)

// Destination is a system that requests are delivered to.
type Destination struct {
	Name              string         `toml:"name,required"`
	Kind              string         `toml:"kind"`
	Tenant            string         `toml:"tenant"`
	Zone              string         `toml:"site"`
	Share             float64        `toml:"share,required"` // of the traffic, relative to the other destinations' shares
	Endpoints         int            `toml:"endpoints"`
	Concurrency       int            `toml:"slots"` // attempts that an endpoint executes at the same time
	QueueLength       int            `toml:"queue"` // attempts that can wait at an endpoint
	ServiceTimeFactor float64        `toml:"pace"`  // multiplies service times
	Limit             *Limit         `toml:"limit"` // nil: unlimited
	CountsRejected    bool           `toml:"refused_counted"`
	MaxConnections    int            `toml:"connections"` // to one endpoint, including idle ones; 0: unlimited
	RejectionInfo     RejectionInfo  `toml:"tells"`
	HandshakeMS       float64        `toml:"handshake_ms"` // added to the service time of the first attempt on a connection
	PauseEvery        Range          `toml:"pause_every_s"`
	Pause             Range          `toml:"pause_ms"`
	ErrorRate         float64        `toml:"error_rate"`
	CancelBehavior    CancelBehavior `toml:"cancelled"`
	ColdCapacity      float64        `toml:"cold_share"`   // fraction of the capacity right after an outage
	SlowStartTime     float64        `toml:"warm_s"`       // time from the end of an outage to full capacity
	OverloadDowntime  float64        `toml:"fallen_for_s"` // time for which an overload takes the destination down
}

// Limit is the limit on the attempts that a destination admits from all relays together: either a rate with a burst, or a count per
// window.
type Limit struct {
	Rate   float64 `toml:"rate"` // attempts per second
	Burst  float64 `toml:"burst"`
	Count  int     `toml:"count"`
	Window float64 `toml:"span_s"`
}

// PerSecond returns the number of attempts per second that the limit admits.
func (l *Limit) PerSecond() float64 {
	if l.Rate > 0 {
		return l.Rate
	}
	return float64(l.Count) / l.Window
}

// Capacity returns the number of attempts per second that a destination executes when all of its endpoints are healthy.
func (s *Scenario) Capacity(d *Destination) float64 {
	return float64(d.Endpoints*d.Concurrency) / s.MeanServiceTime(d)
}

// AdmittedRate returns the number of attempts per second that a destination admits and executes: the lower of its limit and capacity.
func (s *Scenario) AdmittedRate(d *Destination) float64 {
	capacity := s.Capacity(d)
	if d.Limit == nil {
		return capacity
	}
	return min(capacity, d.Limit.PerSecond())
}

// DestinationIndex returns the index of the destination with this name, or -1.
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

// distinct returns the distinct values of an attribute, in the order of their first occurrence.
func distinct(destinations []Destination, attribute func(*Destination) string) []string {
	var values []string
	for i := range destinations {
		if value := attribute(&destinations[i]); !slices.Contains(values, value) {
			values = append(values, value)
		}
	}
	return values
}
