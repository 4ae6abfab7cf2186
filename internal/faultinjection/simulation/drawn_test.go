//go:build !race

package simulation

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

func drawn(t *testing.T, kind string, relays int, seed int64, change func(*Day)) *Result {
	t.Helper()
	return playOf(t, NewDrawnDay, kind, relays, seed, change)
}

// On drawn days of each kind no rule is broken: some of a few relays, one each of 300. The same seed is the same day.
func TestDrawnDays(t *testing.T) {
	for _, kind := range DrawnDayNames {
		for relays, seeds := range map[int]int64{30: 6, 300: 1} {
			t.Run(fmt.Sprintf("%s of %d", kind, relays), func(t *testing.T) {
				t.Parallel()
				for seed := int64(1); seed <= seeds; seed++ {
					r := drawn(t, kind, relays, seed, nil)
					if len(r.Failures)+len(r.Violations) > 0 || r.Unwatched > 0 || r.DeliveredWeight < 0.5 {
						t.Errorf("seed %d: worth %.3f, %d relays without a watch at the end\n%s", seed, r.DeliveredWeight, r.Unwatched,
							strings.Join(r.Failures, "\n"))
					}
				}
			})
		}
	}
	one, two := drawn(t, Split, 12, 3, nil), drawn(t, Split, 12, 3, nil)
	if !reflect.DeepEqual(one, two) {
		t.Errorf("%+v and %+v of one seed", one, two)
	}
}

// heldBack gives the refusals of a module 14 s late.
func heldBack() func(int, time.Duration, []policy.Action) []policy.Action {
	late, due := map[int][]policy.Action{}, map[int]time.Duration{}
	return func(relay int, now time.Duration, all []policy.Action) (out []policy.Action) {
		for _, a := range all {
			if _, ok := a.(policy.Reject); !ok {
				out = append(out, a)
				continue
			}
			if len(late[relay]) == 0 {
				due[relay] = now + 14*time.Second
			}
			late[relay] = append(late[relay], a)
		}
		if len(late[relay]) > 0 && now >= due[relay] {
			out, late[relay] = append(out, late[relay]...), nil
		}
		return out
	}
}

// givenUp gives up each message 3 s after it was sent.
func givenUp() func(int, time.Duration, []policy.Action) []policy.Action {
	type sent struct {
		id string
		at time.Duration
	}
	by := map[int][]sent{}
	return func(relay int, now time.Duration, all []policy.Action) []policy.Action {
		for _, a := range all {
			if s, ok := a.(policy.Send); ok {
				by[relay] = append(by[relay], sent{s.ID, now})
			}
		}
		for len(by[relay]) > 0 && by[relay][0].at <= now-3*time.Second {
			all, by[relay] = append(all, policy.Fail{ID: by[relay][0].id}), by[relay][1:]
		}
		return all
	}
}

// bent changes each event that a module hears; nil drops it.
func bent(change func(policy.Event) policy.Event) func(int, []policy.Event) []policy.Event {
	return func(_ int, all []policy.Event) (out []policy.Event) {
		for _, e := range all {
			if e = change(e); e != nil {
				out = append(out, e)
			}
		}
		return out
	}
}

// Each rule is broken by a bent module in a fleet of 300, and the auditor, who sees what the stand-ins saw and no more, names it.
func TestPlantedAt300(t *testing.T) {
	for name, tt := range map[string]struct {
		kind   string
		plant  Plant
		change func(*Day)
		caught checker.Rule
	}{
		"an end is not made": {Join, Plant{Actions: each(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Reject); ok {
				return nil
			}
			return []policy.Action{a}
		})}, nil, checker.OutcomeMissing},
		"ends are made late":                          {Join, Plant{Actions: heldBack()}, nil, checker.OutcomeLate},
		"what was sent is given up, delivered or not": {Calm, Plant{Actions: givenUp()}, nil, checker.OutcomeTwice},
		"what was out at a kill is taken for never run": {Rolling, Plant{Events: bent(func(e policy.Event) policy.Event {
			if a, ok := e.(policy.Arrived); ok {
				for i := range a.PriorAttempts {
					a.PriorAttempts[i].NotExecuted = true
				}
			}
			return e
		})}, nil, checker.ExecutedTwice},
		"a reset is taken for never run": {Split, Plant{Events: bent(func(e policy.Event) policy.Event {
			if end, ok := e.(policy.AttemptEnded); ok && end.Outcome == policy.ConnectionReset {
				end.Outcome = policy.ConnectError
				return end
			}
			return e
		})}, nil, checker.ExecutedTwice},
		"two attempts at once": {Calm, Plant{Actions: each(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Send); ok {
				return []policy.Action{a, a}
			}
			return []policy.Action{a}
		})}, nil, checker.ConcurrentAttempts},
		"news of the list are not heeded": {Rolling, Plant{Events: bent(func(e policy.Event) policy.Event {
			if l, ok := e.(policy.EndpointsChanged); ok && !l.Full {
				return nil
			}
			return e
		})}, nil, checker.DrainBroken},
		"word of a return is leave to send": {Zone, Plant{Opens: true}, nil, checker.DestinationOverloaded},
		"a wait is not heeded": {Join, Plant{Events: bent(func(e policy.Event) policy.Event {
			if end, ok := e.(policy.AttemptEnded); ok {
				end.RetryAfter = 0
				return end
			}
			return e
		})}, func(d *Day) {
			d.Scenario.Load.Rate *= 2
			for i := range d.Scenario.Destinations { // waits longer than the pauses that relays make by themselves
				p := &d.Scenario.Destinations[i]
				p.RejectionInfo, p.Limit.Window, p.Limit.Count = "wait", 5*p.Limit.Window, 5*p.Limit.Count
			}
		}, checker.RetryAfterIgnored},
		"another partner's host": {Calm, Plant{Actions: each(func(a policy.Action) []policy.Action {
			if s, ok := a.(policy.Send); ok && s.Endpoint == "p0-0" {
				s.Endpoint = "p1-0"
				return []policy.Action{s}
			}
			return []policy.Action{a}
		})}, nil, checker.WrongDestination},
		"order is not kept": {Calm, Plant{Events: bent(func(e policy.Event) policy.Event {
			if a, ok := e.(policy.Arrived); ok {
				a.OrderKey = ""
				return a
			}
			return e
		})}, ordered, checker.OrderBroken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := func(d *Day) {
				d.Scenario.Length = min(d.Scenario.Length, 16)
				d.Plant = tt.plant
				if tt.change != nil {
					tt.change(d)
				}
			}
			if r := drawn(t, tt.kind, 300, 2, day); r.Violations[tt.caught] == 0 {
				t.Errorf("%v, want %q", r.Violations, tt.caught)
			}
		})
	}
	// What is planted above breaks the rule, and not the order itself.
	if r := drawn(t, Calm, 60, 2, ordered); len(r.Violations) > 0 {
		t.Errorf("order kept: %v", r.Failures)
	}
}

// ordered has one class keep order among messages about one thing.
func ordered(d *Day) {
	i := slices.IndexFunc(d.Scenario.Classes, func(c scenario.Class) bool { return c.Name == "parcel-status" })
	d.Scenario.Classes[i].Ordered, d.Scenario.Classes[i].OrderKeys = true, 20
}
