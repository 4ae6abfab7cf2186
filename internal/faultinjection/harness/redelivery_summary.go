package harness

import (
	"cmp"
	"slices"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// redeliveryWindow is the span over which the rate of redeliveries is measured.
const redeliveryWindow = time.Second

// Redeliveries summarizes the attempts at a destination that redeliver messages, under ids that relays generated.
type Redeliveries struct {
	Destination  string        `json:"partner"`
	Attempts     int           `json:"calls"`
	Relays       int           `json:"relays"` // number of relays that made the attempts
	Turns        int           `json:"turns"`  // uninterrupted sequences of attempts of one relay
	MaxPerSecond int           `json:"most"`   // maximum number of attempts in any second
	From         time.Duration `json:"from"`
	To           time.Duration `json:"to"`
}

// redeliveries summarizes the redeliveries in the log of a run, by destination.
func redeliveries(log []checker.Event, s *scenario.Scenario) (all []Redeliveries) {
	for dest, attempts := range redeliveryAttempts(log, len(s.Destinations)) {
		if len(attempts) > 0 {
			all = append(all, summarizeRedeliveries(s.Destinations[dest].Name, attempts))
		}
	}
	return all
}

// redeliveryAttempts returns the attempts of redeliveries at each destination, in the order of their first bytes.
func redeliveryAttempts(log []checker.Event, destinations int) [][]checker.Event {
	redelivered := map[string]bool{}
	attempts := make([][]checker.Event, destinations)
	for _, e := range log {
		switch {
		case e.Kind == checker.Redelivered:
			redelivered[e.ID] = true
		case e.Kind == checker.AttemptSent && e.Destination < destinations:
			attempts[e.Destination] = append(attempts[e.Destination], e)
		}
	}
	for dest := range attempts {
		attempts[dest] = slices.DeleteFunc(attempts[dest], func(e checker.Event) bool { return !redelivered[e.ID] })
		slices.SortFunc(attempts[dest], func(a, b checker.Event) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	}
	return attempts
}

// summarizeRedeliveries summarizes the attempts at one destination. There must be at least one attempt.
func summarizeRedeliveries(name string, attempts []checker.Event) Redeliveries {
	sum := Redeliveries{Destination: name, Attempts: len(attempts), From: attempts[0].FirstByte, To: attempts[len(attempts)-1].FirstByte}
	relays := map[int]bool{}
	windowStart := 0 // index of the first attempt in the window that ends with the present one
	for i, e := range attempts {
		for e.FirstByte-attempts[windowStart].FirstByte >= redeliveryWindow {
			windowStart++
		}
		sum.MaxPerSecond = max(sum.MaxPerSecond, i-windowStart+1)
		relays[e.Relay] = true
		if i == 0 || e.Relay != attempts[i-1].Relay {
			sum.Turns++
		}
	}
	sum.Relays = len(relays)
	return sum
}
