package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// The days that are played. Each is as long, and its trouble is the same, whatever the number of relays.
const (
	Calm = "calm" // nothing goes wrong
	Join = "join" // a partner with a third of the traffic takes a quarter of its limit for 9 s
	Zone = "zone" // partners with half of the traffic are down for 5 s, and return cold
	Herd = "herd" // relays are killed during a release of hosts
	Rush = "rush" // half as much again is sent, more than partners take
)

// DayNames are the days.
var DayNames = []string{Calm, Join, Zone, Herd, Rush}

const (
	dayLength = 30.0 // seconds
	perRelay  = 7.5  // messages a second for each relay
	// spare is partners' limits over the traffic, and work over those what their slots can do.
	spare, work = 1.15, 1.35
	// perHost calls a second are what one host takes, and hostConns connections at least. The busiest partners have mostHosts
	// at most, the others fewHosts, so that a large fleet has more partners and not larger ones: the platform's have one to
	// four, two in the mean.
	perHost, hostConns, mostHosts, fewHosts = 60.0, 12, 4, 2
	// rush is what is sent on its day, over the usual.
	rush = 1.5
)

// shares of the traffic, by partner, or by partners that are alike where one would need more than mostHosts.
var shares = []float64{0.34, 0.26, 0.16, 0.12, 0.07, 0.05}

const head = `version = 1
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

// pace multiplies service times: what partners take is far shorter than the network.
const pace = 0.25

// mix is what a fleet meets on a day, whatever happens on it.
type mix struct {
	perRelay float64   // messages a second for each relay
	sent     float64   // of that
	spare    float64   // of partners' limits over perRelay
	work     float64   // of what slots can do over the limits
	shares   []float64 // of the traffic
	length   float64   // seconds
}

// standard is the mix of the days that are named here.
var standard = mix{perRelay: perRelay, sent: 1, spare: spare, work: work, shares: shares, length: dayLength}

// day builds a day on which nothing happens, and tells which partners are alike, by share. What partners take grows with
// the relays; what one host takes does not.
func (m mix) day(relays int, seed int64) (*Day, [][]int, error) {
	rate := m.perRelay * float64(relays)
	var b strings.Builder
	fmt.Fprintf(&b, head, m.length, rate*m.sent)
	mean := (0.5*230 + 0.4*340 + 0.1*260) / 1000 * pace
	var alike [][]int
	next := 0
	for i, share := range m.shares {
		most := float64(fewHosts)
		if i == 0 {
			most = mostHosts
		}
		parts := max(1, int(math.Ceil(rate*share*m.spare/(perHost*most))))
		limit := math.Max(2, math.Round(rate*share*m.spare/float64(parts)))
		endpoints := max(1, int(math.Ceil(limit/perHost)))
		if i == 0 {
			endpoints = max(2, endpoints)
		}
		slots := max(2, int(math.Ceil(limit*m.work*mean/float64(endpoints))))
		var same []int
		for range parts {
			fmt.Fprintf(&b, "[[partner]]\nname = \"p%d\"\nshare = %v\nendpoints = %d\nslots = %d\nqueue = %d\npace = %v\n"+
				"limit = { count = %d, span_s = 1 }\nrefused_counted = true\nhandshake_ms = 2\nconnections = %d\n",
				next, share/float64(parts), endpoints, slots, 2*slots, pace, int(limit), max(hostConns, 3*slots))
			same = append(same, next)
			next++
		}
		alike = append(alike, same)
	}
	s, err := scenario.Parse("fleet", []byte(b.String()))
	if err != nil {
		return nil, nil, err
	}
	s.Relays = relays
	return &Day{Scenario: s, Seed: seed, Discovery: Discovery{
		Work: registerSpan / time.Duration(max(12, relays)), Timeout: 2 * time.Second,
		Most: 6 * time.Second, Lag: time.Second,
	}}, alike, nil
}

// NewDay gives a day for so many relays: its trouble is the same at the same time, whatever the seed.
func NewDay(name string, relays int, seed int64) (*Day, error) {
	m := standard
	if name == Rush {
		m.sent = rush
	}
	day, alike, err := m.day(relays, seed)
	if err != nil {
		return nil, err
	}
	// each has something happen to all partners of a share.
	each := func(share int, seconds float64, e Fault) {
		for _, p := range alike[share] {
			e.At, e.Destination = scenario.Seconds(seconds), p
			day.Faults = append(day.Faults, e)
		}
	}
	switch name {
	case Calm, Rush:
	case Join:
		each(0, 8, Fault{Kind: Lower, Share: 0.25})
		each(0, 17, Fault{Kind: Lower, Share: 1})
	case Zone:
		for _, share := range []int{0, 2} {
			each(share, 8, Fault{Kind: Out})
			each(share, 13, Fault{Kind: Back})
		}
	case Herd:
		for share := range shares {
			each(share, 7+float64(share), Fault{Kind: Replace})
		}
		day.Faults = append(day.Faults, Fault{At: scenario.Seconds(10), Kind: Kill, Share: 0.7})
	default:
		return nil, fmt.Errorf("%q is no day: there are %s", name, strings.Join(DayNames, ", "))
	}
	return day, nil
}

// registerSpan is the time in which the register can take one call of each relay.
const registerSpan = 5 * time.Second
