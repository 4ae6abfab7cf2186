//go:build !race

// A fleet runs on one thread: with the race detector it would take ten times as long for nothing. .ci/run plays it without.

package simulation

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

func play(t *testing.T, name string, relays int, change func(*Day)) *Result {
	t.Helper()
	return playOf(t, NewDay, name, relays, 1, change)
}

func playOf(t *testing.T, of Maker, name string, relays int, seed int64, change func(*Day)) *Result {
	t.Helper()
	day, err := of(name, relays, seed)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(day)
	}
	res, err := Play(day)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// faults names what is wrong with a day, whatever its kind: a message lost, late or doubled, a call to a host that is not
// listed or drained, a partner pushed over, or the register asked by more at once than it takes.
func faults(r *Result) (out []string) {
	bad := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, f := range r.Failures {
		bad("rule: %s", f)
	}
	if r.Overloads > 0 {
		bad("push: %d falls", r.Overloads)
	}
	// The register takes a call of each relay in 5 s; asks are spread over 8 s and chance adds to that.
	if most := max(12, r.Relays/4); r.PeakPolls > most {
		bad("asks: %d in one second, %d at most", r.PeakPolls, most)
	}
	if r.Unwatched > 0 {
		bad("asks: %d relays without a watch at the end", r.Unwatched)
	}
	return out
}

// ofJoin names what is wrong where partner 0 took a quarter of its limit from 8 to 17 s. Relays hear of it with the first
// answers and keep to their shares: a tenth above for the noise of reports, a tenth for the raises by success that find
// the limit, and chance of a Poisson count, which is a fifth more at a second's 60 calls.
func ofJoin(r *Result) (out []string) {
	p := r.Destinations[0]
	if over := p.Over(9, 17, 0.25); over > 0.45 {
		out = append(out, fmt.Sprintf("over: %.2f of the lowered limit above it", over))
	}
	if again := p.UsedAgain(17, 0.8); again < 0 || again > 3 {
		out = append(out, fmt.Sprintf("again: %d s until the limit is used again", again))
	}
	// All have messages waiting when it is raised again, and all raise their paces: half above is what a burst of each would be.
	if over := p.Over(17, 21, 1); over > 0.5 {
		out = append(out, fmt.Sprintf("rush: %.2f of the limit above it when it is raised again", over))
	}
	return out
}

// ofRush names what is wrong where all partners get more than they take all day: paces seek the limit, and cost a refusal
// for five or six calls at most; what partners take is used, but for the smallest, where a span's chance tells.
func ofRush(r *Result) (out []string) {
	for i, p := range r.Destinations {
		delivered := 0
		for _, s := range p.Seconds[5:30] {
			delivered += s.Delivered
		}
		if sum := float64(p.Calls(5, 30)) / (25 * p.Limit); sum > 1.3 {
			out = append(out, fmt.Sprintf("sum: calls to partner %d are %.2f of its limit", i, sum))
		}
		if used := float64(delivered) / (25 * p.Limit); used < 0.88 {
			out = append(out, fmt.Sprintf("used: partner %d delivers %.2f of its limit", i, used))
		}
	}
	return out
}

// ofZone names what is wrong where partner 0 was down from 8 to 13 s and came back at 17% of its capacity. The rule lets 2.5
// times its present capacity through in 1.5 s; a second's count may be a little more. In the outage relays try, each at its
// part of that budget, and new ones fail for the first time: half of the limit is far above both.
func ofZone(r *Result) (out []string) {
	p := r.Destinations[0]
	for i := 14; i < 24; i++ {
		if s := p.Seconds[i]; float64(s.Attempts) > 2.7*s.Capacity+3 {
			out = append(out, fmt.Sprintf("push: %d calls in second %d to a capacity of %.0f", s.Attempts, i, s.Capacity))
		}
	}
	if calls := p.Calls(10, 13); float64(calls) > 3*0.5*p.Limit+6 {
		out = append(out, fmt.Sprintf("knocks: %d calls in 3 s of an outage at a limit of %.0f", calls, p.Limit))
	}
	if again := p.UsedAgain(14, 0.8); again < 0 || again > 4 {
		out = append(out, fmt.Sprintf("again: %d s until what it can do is used", again))
	}
	return out
}

// The fleet keeps all rules on each kind of day, at any size. Small fleets' counts a second are too small for the bounds
// on shares.
func TestFleet(t *testing.T) {
	for _, relays := range []int{1, 2, 3, 12, 80} {
		for _, day := range DayNames {
			t.Run(fmt.Sprintf("%s of %d", day, relays), func(t *testing.T) {
				t.Parallel()
				r := play(t, day, relays, nil)
				found := faults(r)
				if relays >= 12 && day == Join {
					found = append(found, ofJoin(r)...)
				}
				if relays >= 12 && day == Rush {
					found = append(found, ofRush(r)...)
				}
				if relays >= 12 && day == Zone {
					found = append(found, ofZone(r)...)
				}
				if day == Calm && r.DeliveredWeight < 0.93 {
					found = append(found, fmt.Sprintf("worth %.3f on a calm day", r.DeliveredWeight))
				}
				if len(found) > 0 {
					t.Error(strings.Join(found, "\n"))
				}
			})
		}
	}
}

// An outage of a partner with many endpoints, each of which a relay of many seldom calls, is seen for what it is: calls fall to
// the trials that the rule leaves room for, and nobody pushes it over when it returns.
func TestManyEndpoints(t *testing.T) {
	r := play(t, Zone, 120, func(day *Day) {
		p := &day.Scenario.Destinations[0]
		p.Concurrency = max(1, p.Concurrency*p.Endpoints/12)
		p.Endpoints = 12
	})
	p := r.Destinations[0]
	if calls := p.Calls(10, 13); float64(calls) > 3*0.5*p.Limit || r.Overloads > 0 || len(r.Failures) > 0 {
		t.Errorf("%d calls in 3 s of an outage at a limit of %.0f a second, %d falls, %v", calls, p.Limit, r.Overloads, r.Failures)
	}
}

// Each fault that makes a fleet harmful is planted, and caught for what it is.
func TestPlanted(t *testing.T) {
	for _, tt := range []struct {
		day    string
		plant  Plant
		check  func(*Result) []string
		caught []string
	}{
		{Herd, Plant{NoJitter: true}, faults, []string{"asks: "}},
		{Join, Plant{OneCall: true}, ofJoin, []string{"over: "}},
		{Rush, Plant{OneCall: true}, ofRush, []string{"sum: "}},
		{Rush, Plant{Events: func(_ int, all []policy.Event) []policy.Event { // each answer tells a third of the limit
			for _, e := range all {
				if end, ok := e.(policy.AttemptEnded); ok && end.LoadReport != nil {
					end.LoadReport.RateLimit /= 3
				}
			}
			return all
		}}, ofRush, []string{"used: "}},
		{Zone, Plant{OneCall: true}, faults, []string{"push: "}}, // of 120: at 80 its parts are not that much too large
		{Zone, Plant{Opens: true}, faults, []string{"push: "}},
		{Zone, Plant{Probes: true}, func(r *Result) []string { return append(faults(r), ofZone(r)...) }, []string{"push: ", "knocks: "}},
		{Herd, Plant{Forgets: true}, faults, []string{"rule: "}},
	} {
		t.Run(fmt.Sprint(tt.day, tt.caught), func(t *testing.T) {
			t.Parallel()
			relays := 80
			if tt.day == Zone && tt.plant.OneCall {
				relays = 120
			}
			found := tt.check(play(t, tt.day, relays, func(d *Day) { d.Plant = tt.plant }))
			for _, want := range tt.caught {
				if !slices.ContainsFunc(found, func(f string) bool { return strings.HasPrefix(f, want) }) {
					t.Errorf("found %q, want one with %q", found, want)
				}
			}
		})
	}
}

// Each rule that is checked is broken by a bent module, and caught.
func TestRulesPlanted(t *testing.T) {
	for name, tt := range map[string]struct {
		plant  Plant
		caught string
	}{
		"an end is made twice": {Plant{Actions: each(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Reject); ok {
				return []policy.Action{a, a}
			}
			return []policy.Action{a}
		})}, "was ended twice"},
		"an end is not made": {Plant{Actions: each(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Reject); ok {
				return nil
			}
			return []policy.Action{a}
		})}, "has no end"},
		"ends are made 14 s late": {Plant{Actions: heldBack()}, "after its time"},
		"two attempts at once": {Plant{Actions: each(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Send); ok {
				return []policy.Action{a, a}
			}
			return []policy.Action{a}
		})}, "while an attempt is out"},
		"another partner's host": {Plant{Actions: each(func(a policy.Action) []policy.Action {
			if s, ok := a.(policy.Send); ok {
				s.Endpoint = "p5-0"
				return []policy.Action{s}
			}
			return []policy.Action{a}
		})}, "not of its destination"},
		"a host that nobody listed": {Plant{Actions: each(func(a policy.Action) []policy.Action {
			if s, ok := a.(policy.Send); ok {
				s.Endpoint = "p0-99"
				return []policy.Action{s}
			}
			return []policy.Action{a}
		})}, "unknown host"},
		"news of the list are not heeded": {Plant{Events: func(_ int, all []policy.Event) []policy.Event {
			return slices.DeleteFunc(all, func(e policy.Event) bool { l, ok := e.(policy.EndpointsChanged); return ok && !l.Full })
		}}, "after it drained"},
		"what was out at a kill is taken for never run": {Plant{Events: func(_ int, all []policy.Event) []policy.Event {
			for i, e := range all {
				if a, ok := e.(policy.Arrived); ok {
					for j := range a.PriorAttempts {
						a.PriorAttempts[j].NotExecuted = true
					}
					all[i] = a
				}
			}
			return all
		}}, "had its effect 2 times"},
		"a watch is not asked for again": {Plant{Actions: each(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.WatchEndpoints); ok {
				return nil
			}
			return []policy.Action{a}
		})}, "without a watch"},
	} {
		t.Run(name, func(t *testing.T) {
			found := strings.Join(faults(play(t, Herd, 40, func(d *Day) { d.Plant = tt.plant })), "\n")
			if !strings.Contains(found, tt.caught) {
				t.Errorf("found %q, want %q", found, tt.caught)
			}
		})
	}
}

// each bends each action of a batch by itself.
func each(bend func(policy.Action) []policy.Action) func(int, time.Duration, []policy.Action) []policy.Action {
	return func(_ int, _ time.Duration, all []policy.Action) (out []policy.Action) {
		for _, a := range all {
			out = append(out, bend(a)...)
		}
		return out
	}
}

// Cases at the edge: in none is a rule broken.
func TestHardCases(t *testing.T) {
	sec := func(s float64) time.Duration { return scenario.Seconds(s) }
	for name, change := range map[string]func(*Day){
		"79 of 80 killed, and the register takes two calls a second": func(d *Day) {
			d.Faults = append(d.Faults, Fault{At: sec(9), Kind: Kill, Share: 0.99})
			d.Discovery.Work = 500 * time.Millisecond
		},
		"all killed, twice": func(d *Day) {
			d.Faults = append(d.Faults, Fault{At: sec(9), Kind: Kill, Share: 1}, Fault{At: sec(12), Kind: Kill, Share: 1})
		},
		"the register down throughout": func(d *Day) {
			d.Faults = append(d.Faults, Fault{Kind: Down, Duration: time.Hour}, Fault{At: sec(9), Kind: Kill, Share: 0.7})
		},
		"a return while half of the fleet restarts": func(d *Day) {
			d.Faults = append(d.Faults, Fault{At: sec(8), Kind: Out}, Fault{At: sec(13), Kind: Back},
				Fault{At: sec(12.5), Kind: Kill, Share: 0.5})
		},
		"a limit lowered to zero and raised, each second": func(d *Day) {
			for at := 8.0; at < 18; at += 2 {
				d.Faults = append(d.Faults, Fault{At: sec(at), Kind: Lower}, Fault{At: sec(at + 1), Kind: Lower, Share: 1})
			}
		},
		"one relay with half of the traffic": func(d *Day) { d.Skew = 0.5 },
		"an outage that few of 80 noticed, and a rush at the return": func(d *Day) {
			d.Scenario.Load.Rate /= 20
			d.Faults = append(d.Faults, Fault{At: sec(8), Kind: Out, Destination: 5}, Fault{At: sec(13), Kind: Back, Destination: 5})
			d.Scenario.Faults = []scenario.Fault{{At: 13, Duration: 4, Kind: "jump", Factor: 20}}
		},
		"idle, then a clump": func(d *Day) {
			d.Scenario.Load.Rate /= 20
			d.Scenario.Faults = []scenario.Fault{{At: 20, Duration: 3, Kind: "jump", Factor: 30}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, Calm, 80, change)
			if strings.Contains(name, "the register") && r.FailedPolls < 80 {
				t.Errorf("the register turned away %d asks: the case is not what it says", r.FailedPolls)
			}
			if calls := r.Destinations[5].Calls(8, 13); strings.Contains(name, "few") && (calls == 0 || calls > 20) {
				t.Errorf("%d calls in the outage: the case is not what it says", calls)
			}
			for _, f := range append(r.Failures, make([]string, r.Overloads)...) {
				t.Errorf("fault or fall: %s", f)
			}
		})
	}
}

// A day is the same each time that it is played.
func TestSameAgain(t *testing.T) {
	if a, b := play(t, Herd, 12, nil), play(t, Herd, 12, nil); !reflect.DeepEqual(a, b) {
		t.Error("two plays of one day differ")
	}
}
