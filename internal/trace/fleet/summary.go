package fleet

import (
	"cmp"
	"slices"

	"frostlink/internal/trace"
)

const millisecondsPerSecond = 1000

// Second counts the events of the fleet in one second.
type Second struct {
	At              int `json:"at"` // seconds since the first event
	Starts          int `json:"starts"`
	WatchRequests   int `json:"asks"`
	EmptyWatches    int `json:"turned"` // watches that ended before a list was received
	EndpointUpdates int `json:"told"`   // received endpoint lists and changes of them
	Counts
}

// Destination counts the events of one destination.
type Destination struct {
	Number            int     `json:"dest"`
	Endpoints         int     `json:"hosts"`
	Relays            int     `json:"relays"` // relays to which messages for the destination were submitted
	RateLimit         float64 `json:"limit"`  // median of the reported rate limits, in requests per second
	RemainingFraction float64 `json:"left"`   // mean of the reported unused fractions of the rate limit
	Counts
	Outages []Outage `json:"outages,omitempty"`
}

// Summary is the result of Summarize.
type Summary struct {
	Relays       int           `json:"relays"` // number of relays with events
	FleetSize    int           `json:"told"`   // largest number of relays in the settings with which a relay started; 0: no start logged
	Seconds      []Second      `json:"seconds"`
	Destinations []Destination `json:"destinations"`
	Total        Counts        `json:"total"`
}

// RelayEvent is an event with the name of the relay that logged it.
type RelayEvent struct {
	Relay string
	trace.Event
}

// Summarize counts events, which may come in any order.
func Summarize(events []RelayEvent) *Summary {
	summary := &Summary{}
	if len(events) == 0 {
		return summary
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b RelayEvent) int { return cmp.Compare(a.At, b.At) })
	start := events[0].At
	relays := map[string]bool{}
	byDestination := map[int]*destinationEvents{}
	for _, e := range events {
		relays[e.Relay] = true
		if e.Kind == trace.RelayStarted {
			summary.FleetSize = max(summary.FleetSize, e.Count)
		}
		second := summary.second(int((e.At - start) / millisecondsPerSecond))
		second.addFleetEvent(&e.Event)
		if !countedKinds[e.Kind] {
			continue
		}
		second.add(&e.Event)
		summary.Total.add(&e.Event)
		if byDestination[e.Destination] == nil {
			byDestination[e.Destination] = newDestinationEvents()
		}
		byDestination[e.Destination].add(e)
	}
	summary.Relays = len(relays)
	for number, d := range byDestination {
		summary.Destinations = append(summary.Destinations, d.summarize(number, start))
	}
	slices.SortFunc(summary.Destinations, func(a, b Destination) int { return cmp.Compare(a.Number, b.Number) })
	return summary
}

// second returns the row of a second, which must be the last row's or a later one. Seconds without events have no row, so
// that a log with a very wrong clock does not make the table extremely long.
func (s *Summary) second(at int) *Second {
	if n := len(s.Seconds); n == 0 || s.Seconds[n-1].At != at {
		s.Seconds = append(s.Seconds, Second{At: at})
	}
	return &s.Seconds[len(s.Seconds)-1]
}

// addFleetEvent counts an event that has no destination.
func (s *Second) addFleetEvent(e *trace.Event) {
	switch e.Kind {
	case trace.RelayStarted:
		s.Starts++
	case trace.WatchRequested:
		s.WatchRequests++
	case trace.EndpointsReceived:
		s.EndpointUpdates++
	case trace.WatchEnded:
		if e.Count == 0 {
			s.EmptyWatches++
		}
	default: // counted by Counts.add, or not at all
	}
}

// destinationEvents collects the events of one destination. They are added in order of time.
type destinationEvents struct {
	counts     Counts
	endpoints  map[string]bool
	relays     map[string]bool
	rateLimits []float64
	remaining  float64 // sum of the remaining fractions reported together with rateLimits
	started    []RelayEvent
	ended      []RelayEvent
}

func newDestinationEvents() *destinationEvents {
	return &destinationEvents{endpoints: map[string]bool{}, relays: map[string]bool{}}
}

func (d *destinationEvents) add(e RelayEvent) {
	d.counts.add(&e.Event)
	if e.Endpoint != "" {
		d.endpoints[e.Endpoint] = true
	}
	switch e.Kind {
	case trace.Accepted, trace.Rejected:
		d.relays[e.Relay] = true
	case trace.AttemptStarted:
		d.started = append(d.started, e)
	case trace.AttemptEnded:
		d.ended = append(d.ended, e)
		if e.RateLimit > 0 {
			d.rateLimits = append(d.rateLimits, e.RateLimit)
			d.remaining += e.RemainingFraction
		}
	default: // only counted, above
	}
}

func (d *destinationEvents) summarize(number int, start float64) Destination {
	out := Destination{
		Number:    number,
		Endpoints: len(d.endpoints),
		Relays:    len(d.relays),
		Counts:    d.counts,
		Outages:   d.outages(start),
	}
	if n := len(d.rateLimits); n > 0 {
		slices.Sort(d.rateLimits)
		out.RateLimit = d.rateLimits[n/2]
		out.RemainingFraction = d.remaining / float64(n)
	}
	return out
}
