// Package fleet counts what the relays of a fleet did, from their traces: what is harmless at each relay may be harmful
// together, and shows only in the sum. It is pure: events go in, tables come out.
package fleet

import (
	"slices"
	"sort"

	"frostlink/internal/trace"
)

const (
	// outageFor, in milliseconds, without one call delivered and leastFailed failed ones are an outage: shorter gaps are
	// common where a limit binds.
	outageFor, leastFailed = 1000, 10
	// returnFor, in milliseconds, after an outage is looked at closely: a destination that returns is cold.
	returnFor = 3000
)

// The outcomes of calls, as the trace names them.
const (
	turnedAway   = "turned away"
	noConnection = "no connection"
	notSent      = "not sent"
)

// Counts are what happened in a time or at a destination.
type Counts struct {
	First     int `json:"first"`     // messages' first calls
	Again     int `json:"again"`     // calls after the first
	Delivered int `json:"delivered"` // calls
	Limit     int `json:"limit"`     // calls turned away with a report: the limit, or a full queue
	// Door are calls turned away on a connection just made and without a report, as hosts do that are shut, or that have all
	// the connections they take.
	Door    int `json:"door"`
	Unmade  int `json:"unmade"`  // calls for which no connection could be made
	Other   int `json:"other"`   // calls that ended otherwise: errors, resets, time-outs
	Fresh   int `json:"fresh"`   // connections opened, or tried to be
	Taken   int `json:"taken"`   // messages
	Refused int `json:"refused"` // messages, at their arrival
	Late    int `json:"late"`    // messages delivered after their aim
	Back    int `json:"back"`    // messages handed back after they were taken on
	Failed  int `json:"failed"`  // messages given up for good
}

// Second is one second of the fleet.
type Second struct {
	At     int `json:"at"` // seconds since the first event
	Starts int `json:"starts"`
	Asks   int `json:"asks"`   // watches asked for
	Turned int `json:"turned"` // watches that ended before they had brought anything
	Told   int `json:"told"`   // lists and changes that came
	Counts
}

// Outage is a time in which a destination delivered nothing.
type Outage struct {
	From   float64 `json:"from_s"`
	To     float64 `json:"to_s"`
	Calls  int     `json:"calls"`  // made in it
	Relays int     `json:"relays"` // that made them
	// Within 3 s of the return: calls made, by how many relays, and how many of them had not called in the outage.
	Knocks   int `json:"knocks"`
	Knockers int `json:"knockers"`
	Unwarned int `json:"unwarned"`
}

// Destination is what went to one.
type Destination struct {
	Dest   int     `json:"dest"`
	Hosts  int     `json:"hosts"`
	Relays int     `json:"relays"` // that had messages for it
	Limit  float64 `json:"limit"`  // median of what it reported, in calls a second
	Left   float64 `json:"left"`   // mean share of it that was left, as reported
	Counts
	Outages []Outage `json:"outages,omitempty"`
}

// Table is all that was counted.
type Table struct {
	Relays       int           `json:"relays"` // whose traces were read
	Told         int           `json:"told"`   // relays in the fleet by the settings that one of them started with; 0: none started
	Seconds      []Second      `json:"seconds"`
	Destinations []Destination `json:"destinations"`
	Total        Counts        `json:"total"`
}

// Logged is an event with the relay whose log it stood in.
type Logged struct {
	Relay string
	trace.Event
}

// Count counts events, which may come in any order.
func Count(events []Logged) *Table {
	t := &Table{}
	if len(events) == 0 {
		return t
	}
	events = slices.Clone(events)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	began := events[0].At
	relays := map[string]bool{}
	at := map[int]*about{}
	for _, e := range events {
		relays[e.Relay] = true
		if e.Kind == trace.RelayStarted {
			t.Told = max(t.Told, e.Count)
		}
		// Seconds in which nothing was logged have no row: a clock that was far off makes no endless table.
		if second := int((e.At - began) / 1000); len(t.Seconds) == 0 || t.Seconds[len(t.Seconds)-1].At != second {
			t.Seconds = append(t.Seconds, Second{At: second})
		}
		now := &t.Seconds[len(t.Seconds)-1]
		now.note(e)
		if !ofMessages[e.Kind] {
			continue
		}
		d := at[e.Destination]
		if d == nil {
			d = &about{hosts: map[string]bool{}, relays: map[string]bool{}}
			at[e.Destination] = d
		}
		d.add(e)
		now.add(e.Event)
		t.Total.add(e.Event)
	}
	t.Relays = len(relays)
	for dest, d := range at {
		t.Destinations = append(t.Destinations, d.destination(dest, began))
	}
	sort.Slice(t.Destinations, func(i, j int) bool { return t.Destinations[i].Dest < t.Destinations[j].Dest })
	return t
}

var ofMessages = map[trace.Kind]bool{trace.Accepted: true, trace.Rejected: true, trace.Completed: true, trace.AttemptStarted: true, trace.AttemptEnded: true}

// note counts what concerns no destination.
func (s *Second) note(e Logged) {
	switch e.Kind {
	case trace.RelayStarted:
		s.Starts++
	case trace.WatchRequested:
		s.Asks++
	case trace.EndpointsReceived:
		s.Told++
	case trace.WatchEnded:
		if e.Count == 0 {
			s.Turned++
		}
	}
}

func (c *Counts) add(e trace.Event) {
	switch e.Kind {
	case trace.Accepted:
		c.Taken++
	case trace.Rejected:
		c.Refused++
	case trace.AttemptStarted:
		if e.Count == 1 {
			c.First++
		} else {
			c.Again++
		}
	case trace.Completed:
		switch {
		case e.Outcome == trace.Deferred:
			c.Back++
		case e.Outcome == trace.Undeliverable:
			c.Failed++
		case e.Late:
			c.Late++
		}
	case trace.AttemptEnded:
		if e.NewConn {
			c.Fresh++
		}
		switch {
		case e.Outcome == trace.Delivered:
			c.Delivered++
		case e.Outcome == turnedAway && (!e.NewConn || e.RateLimit > 0):
			c.Limit++
		case e.Outcome == turnedAway:
			c.Door++
		case e.Outcome == noConnection:
			c.Unmade++
		default:
			c.Other++
		}
	}
}

// about is what is gathered of a destination.
type about struct {
	Counts
	hosts, relays map[string]bool
	limits        []float64
	left          float64
	answers       []Logged
	sends         []Logged
}

func (d *about) add(e Logged) {
	d.Counts.add(e.Event)
	if e.Endpoint != "" {
		d.hosts[e.Endpoint] = true
	}
	switch e.Kind {
	case trace.Accepted, trace.Rejected:
		d.relays[e.Relay] = true
	case trace.AttemptStarted:
		d.sends = append(d.sends, e)
	case trace.AttemptEnded:
		d.answers = append(d.answers, e)
		if e.RateLimit > 0 {
			d.limits = append(d.limits, e.RateLimit)
			d.left += e.RemainingFraction
		}
	}
}

func (d *about) destination(no int, began float64) Destination {
	out := Destination{Dest: no, Hosts: len(d.hosts), Relays: len(d.relays), Counts: d.Counts, Outages: d.outages(began)}
	if n := len(d.limits); n > 0 {
		slices.Sort(d.limits)
		out.Limit, out.Left = d.limits[n/2], d.left/float64(n)
	}
	return out
}

// outages finds the times without a delivery; the sends are in order, as are the answers.
func (d *about) outages(began float64) []Outage {
	var out []Outage
	failed, from, last := 0, 0.0, 0.0
	for i, e := range d.answers {
		last = e.At
		if e.Outcome != trace.Delivered {
			if failed++; failed == 1 {
				from = e.At - e.DurationMs // it was sent while the destination was out already
			}
		}
		if end := i == len(d.answers)-1; e.Outcome == trace.Delivered || end {
			if failed >= leastFailed && last-from >= outageFor {
				out = append(out, d.outage(from, last, began))
			}
			failed = 0
		}
	}
	return out
}

// outage counts who called in one and after it.
func (d *about) outage(from, to, began float64) Outage {
	o := Outage{From: (from - began) / 1000, To: (to - began) / 1000}
	warned, knockers := map[string]bool{}, map[string]bool{}
	for _, e := range d.sends {
		switch {
		case e.At >= from && e.At < to:
			o.Calls++
			warned[e.Relay] = true
		case e.At >= to && e.At < to+returnFor:
			o.Knocks++
			if !knockers[e.Relay] && !warned[e.Relay] {
				o.Unwarned++
			}
			knockers[e.Relay] = true
		}
	}
	o.Relays, o.Knockers = len(warned), len(knockers)
	return o
}
