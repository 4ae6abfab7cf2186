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
	Rolling = "roll"  // all relays are restarted by tenths while hosts are replaced
	Split   = "split" // a zone is cut off, or partners vanish; answers get lost and connections are reset
)

// DrawnDayNames are the kinds of day that are drawn.
var DrawnDayNames = []string{Calm, Rolling, Herd, Zone, Split, Join}

// dice are a day's draws.
type dice struct{ *rand.Rand }

func (d dice) in(low, high float64) float64 { return low + (high-low)*d.Float64() }

// some draws a share of so many things, one at least, in no order.
func (d dice) some(n int, share float64) []int { return d.Perm(n)[:max(1, int(share*float64(n)+0.5))] }

// NewDrawnDay gives a day of a kind, with sizes, shares, limits and the times of its troubles drawn from the seed. The spans are those
// in which the platform says that such things happen.
func NewDrawnDay(kind string, relays int, seed int64) (*Day, error) {
	if !slices.Contains(DrawnDayNames, kind) {
		return nil, fmt.Errorf("%q is no kind of day that is drawn: there are %s", kind, strings.Join(DrawnDayNames, ", "))
	}
	d := dice{scenario.NewRandomStreams(seed).Stream("day of kind " + kind)}
	m := mix{perRelay: d.in(5, 9), sent: d.in(0.75, 1), spare: d.in(1, 1.4), work: d.in(1.2, 1.6), length: d.in(26, 34)}
	sum := 0.0
	for range 5 + d.IntN(4) { // a few get much of the traffic
		share := d.in(0.02, 0.3)
		if m.shares, sum = append(m.shares, share), sum+share; len(m.shares) == 1 {
			m.shares[0], sum = 0.35, 0.35
		}
	}
	for i := range m.shares {
		m.shares[i] /= sum
	}
	day, _, err := m.day(relays, seed)
	if err != nil {
		return nil, err
	}
	s := day.Scenario
	s.Clients.Retries, s.Clients.HonourRetryAfter = d.IntN(3), d.in(0.37, 0.82)
	day.Discovery.Lag = scenario.Seconds(d.in(0.5, 4))
	for i := range s.Destinations {
		if p := &s.Destinations[i]; d.Float64() < 0.5 {
			p.RejectionInfo = "wait"
		}
	}
	day.happen(kind, d)
	return day, nil
}

// happen draws what goes wrong on a day.
func (day *Day) happen(kind string, d dice) {
	s := day.Scenario
	n := len(s.Destinations)
	add := func(at float64, e Fault) {
		e.At = scenario.Seconds(at)
		day.Faults = append(day.Faults, e)
	}
	each := func(share, at float64, e Fault) {
		for _, p := range d.some(n, share) {
			e.Destination = p
			add(at, e)
		}
	}
	lower := func() {
		for _, p := range d.some(n, 0.3) {
			at := d.in(5, 12)
			add(at, Fault{Kind: Lower, Destination: p, Share: d.in(0.15, 0.6)})
			add(at+d.in(5, 10), Fault{Kind: Lower, Destination: p, Share: 1})
		}
	}
	replace := func() {
		for i, p := range d.some(n, 0.5) {
			add(5+1.5*float64(i)+d.in(0, 1), Fault{Kind: Replace, Destination: p})
		}
	}
	switch kind {
	case Calm:
		s.Faults = []scenario.Fault{{At: d.in(5, 15), Duration: d.in(2.4, 7.8), Kind: "jump", Factor: 1.5}}
	case Rolling:
		replace()
		at, step := d.in(4, 6), d.in(1, 2)
		for i := range 10 {
			add(at+step*float64(i), Fault{Kind: Roll, From: float64(i) / 10, Share: 0.1})
		}
	case Herd:
		add(d.in(6, 12), Fault{Kind: Kill, Share: 0.7})
		add(d.in(s.Length-8, s.Length-4), Fault{Kind: Kill, From: 0.7, Share: 0.3})
		replace()
		lower()
	case Zone:
		at := d.in(5, 12)
		for _, p := range d.some(n, 0.4) {
			add(at, Fault{Kind: Out, Destination: p})
			add(at+5, Fault{Kind: Back, Destination: p})
		}
		each(1.0/8, d.in(5, 12), Fault{Kind: Slow, Factor: d.in(5, 20), Duration: seconds(d.in(8, 15))})
		each(1.0/8, d.in(5, 12), Fault{Kind: Errors, Share: d.in(0.3, 0.9), Duration: seconds(d.in(5, 10))})
	case Split:
		at := d.in(6, 12)
		if d.Float64() < 0.5 {
			add(at, Fault{Kind: Cut, Zone: d.IntN(zones), Duration: 6 * time.Second})
		} else {
			each(0.2, at, Fault{Kind: Vanish, Duration: 6 * time.Second})
		}
		day.Discovery.Lag = scenario.Seconds(d.in(3, 5))
		add(d.in(4, 10), Fault{Kind: Harm, Share: d.in(0.05, 0.15), Duration: seconds(d.in(5, 12))})
	case Join:
		lower()
		lower()
		add(d.in(3, 8), Fault{Kind: Hasty, Share: d.in(0.02, 0.1), Duration: seconds(d.in(8, 15))})
		s.Clients.Retries, s.Clients.HonourRetryAfter, s.Clients.Backoff = 5, 0, scenario.Range{Low: 40, High: 200}
		each(0.3, d.in(3, 8), Fault{Kind: Errors, Share: d.in(0.02, 0.1), Duration: seconds(d.in(8, 15))})
	}
}

func seconds(s float64) time.Duration { return scenario.Seconds(s) }
