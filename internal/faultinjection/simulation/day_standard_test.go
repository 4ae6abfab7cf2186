//go:build !race

package simulation

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"frostlink/internal/faultinjection/scenario"
)

// The fleet keeps all rules on each standard day, at any size. The bounds on shares of limits are checked from 12 relays on, as the counts
// of a second vary too much in smaller fleets.
func TestPlay_KeepsTheRulesOnStandardDays(t *testing.T) {
	for _, relays := range []int{1, 2, 3, 12, 80} {
		for _, day := range DayNames {
			t.Run(fmt.Sprintf("%s of %d", day, relays), func(t *testing.T) {
				t.Parallel()
				r := playStandard(t, day, relays, nil)
				found := ruleFindings(r)
				if relays >= 12 && day == JoinDay {
					found = append(found, joinFindings(r)...)
				}
				if relays >= 12 && day == RushDay {
					found = append(found, rushFindings(r)...)
				}
				if relays >= 12 && day == ZoneDay {
					found = append(found, zoneFindings(r)...)
				}
				if day == CalmDay && r.DeliveredWeight < 0.93 {
					found = append(found, fmt.Sprintf("delivered weight %.3f on a calm day", r.DeliveredWeight))
				}
				if len(found) > 0 {
					t.Error(strings.Join(found, "\n"))
				}
			})
		}
	}
}

// In a large fleet each relay rarely makes an attempt at a particular endpoint of a destination with many endpoints. Relays must recognize
// an outage of such a destination nevertheless: attempts drop to the allowed trial requests, and the recovery brings no overload.
func TestPlay_RecognizesOutageOfManyEndpoints(t *testing.T) {
	r := playStandard(t, ZoneDay, 120, func(day *Day) {
		p := &day.Scenario.Destinations[0]
		p.Concurrency = max(1, p.Concurrency*p.Endpoints/12)
		p.Endpoints = 12
	})
	p := r.Destinations[0]
	if attempts := p.Attempts(10, 13); float64(attempts) > 3*0.5*p.Limit || r.Overloads > 0 || len(r.Failures) > 0 {
		t.Errorf("%d attempts in 3 s of an outage at a limit of %.0f a second, %d overloads, %v", attempts, p.Limit, r.Overloads, r.Failures)
	}
}

// The fleet keeps the rules in edge cases as well.
func TestPlay_KeepsTheRulesInEdgeCases(t *testing.T) {
	sec := func(s float64) time.Duration { return scenario.Seconds(s) }
	for name, change := range map[string]func(*Day){
		"79 of 80 killed, and discovery serves two polls a second": func(d *Day) {
			d.Faults = append(d.Faults, Fault{At: sec(9), Kind: FaultKill, Share: 0.99})
			d.Discovery.ServiceTime = 500 * time.Millisecond
		},
		"all killed, twice": func(d *Day) {
			d.Faults = append(d.Faults, Fault{At: sec(9), Kind: FaultKill, Share: 1}, Fault{At: sec(12), Kind: FaultKill, Share: 1})
		},
		"discovery down throughout": func(d *Day) {
			d.Faults = append(d.Faults, Fault{Kind: FaultDiscoveryDown, Duration: time.Hour}, Fault{At: sec(9), Kind: FaultKill, Share: 0.7})
		},
		"a recovery while half of the fleet restarts": func(d *Day) {
			d.Faults = append(d.Faults, Fault{At: sec(8), Kind: FaultOutage}, Fault{At: sec(13), Kind: FaultRecovery},
				Fault{At: sec(12.5), Kind: FaultKill, Share: 0.5})
		},
		"a limit lowered to zero and raised, each second": func(d *Day) {
			for at := 8.0; at < 18; at += 2 {
				d.Faults = append(d.Faults, Fault{At: sec(at), Kind: FaultLimitLowered}, Fault{At: sec(at + 1), Kind: FaultLimitLowered, Share: 1})
			}
		},
		"one relay with half of the traffic": func(d *Day) { d.Skew = 0.5 },
		"an outage that few of 80 noticed, and a surge at the recovery": func(d *Day) {
			d.Scenario.Load.Rate /= 20
			d.Faults = append(d.Faults, Fault{At: sec(8), Kind: FaultOutage, Destination: 5}, Fault{At: sec(13), Kind: FaultRecovery, Destination: 5})
			d.Scenario.Faults = []scenario.Fault{{At: 13, Duration: 4, Kind: scenario.FaultLoadSurge, Factor: 20}}
		},
		"idle, then a surge": func(d *Day) {
			d.Scenario.Load.Rate /= 20
			d.Scenario.Faults = []scenario.Fault{{At: 20, Duration: 3, Kind: scenario.FaultLoadSurge, Factor: 30}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playStandard(t, CalmDay, 80, change)
			if strings.Contains(name, "discovery") && r.FailedPolls < 80 {
				t.Errorf("%d polls failed, want 80 or more: the case does not load discovery as its name says", r.FailedPolls)
			}
			if attempts := r.Destinations[5].Attempts(8, 13); strings.Contains(name, "few") && (attempts == 0 || attempts > 20) {
				t.Errorf("%d attempts during the outage, want 1 to 20: the case is not what its name says", attempts)
			}
			for _, f := range append(r.Failures, make([]string, r.Overloads)...) {
				t.Errorf("failure or overload: %s", f)
			}
		})
	}
}

// Two runs of the same day have the same result.
func TestPlay_IsDeterministic(t *testing.T) {
	if a, b := playStandard(t, HerdDay, 12, nil), playStandard(t, HerdDay, 12, nil); !reflect.DeepEqual(a, b) {
		t.Error("two runs of one day differ")
	}
}
