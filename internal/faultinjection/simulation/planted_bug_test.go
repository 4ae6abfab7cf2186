//go:build !race

package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
	"frostlink/policy"
)

// Each planted bug makes the fleet harmful to destinations, discovery or messages. The findings must name the harm.
func TestPlay_CatchesHarmfulFleets(t *testing.T) {
	for _, tt := range []struct {
		day    string
		bug    PlantedBug
		check  func(*Result) []string
		caught []string
	}{
		{HerdDay, PlantedBug{NoJitter: true}, ruleFindings, []string{"polls: "}},
		{JoinDay, PlantedBug{MinimumQuota: true}, joinFindings, []string{"excess: "}},
		{RushDay, PlantedBug{MinimumQuota: true}, rushFindings, []string{"sum: "}},
		{RushDay, PlantedBug{Events: func(_ int, all []policy.Event) []policy.Event { // each response reports a third of the limit
			for _, e := range all {
				if end, ok := e.(policy.AttemptEnded); ok && end.LoadReport != nil {
					end.LoadReport.RateLimit /= 3
				}
			}
			return all
		}}, rushFindings, []string{"used: "}},
		{ZoneDay, PlantedBug{MinimumQuota: true}, ruleFindings, []string{"overload: "}}, // with 120 relays, as 80 relays do not exceed their quotas enough for an overload
		{ZoneDay, PlantedBug{TrustsGossip: true}, ruleFindings, []string{"overload: "}},
		{ZoneDay, PlantedBug{UncoordinatedProbes: true}, func(r *Result) []string { return append(ruleFindings(r), zoneFindings(r)...) }, []string{"overload: ", "trials: "}},
		{HerdDay, PlantedBug{NoJournal: true}, ruleFindings, []string{"rule: "}},
	} {
		t.Run(fmt.Sprint(tt.day, tt.caught), func(t *testing.T) {
			t.Parallel()
			relays := 80
			if tt.day == ZoneDay && tt.bug.MinimumQuota {
				relays = 120
			}
			found := tt.check(playStandard(t, tt.day, relays, func(d *Day) { d.Bug = tt.bug }))
			for _, want := range tt.caught {
				if !slices.ContainsFunc(found, func(f string) bool { return strings.HasPrefix(f, want) }) {
					t.Errorf("found %q, want a finding that begins with %q", found, want)
				}
			}
		})
	}
}

// Each case changes the events or actions of the decision module so that a rule is broken. The findings must show the broken rule.
func TestPlay_CatchesEachBrokenRule(t *testing.T) {
	for name, tt := range map[string]struct {
		bug    PlantedBug
		caught string
	}{
		"a request fails twice": {PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Reject); ok {
				return []policy.Action{a, a}
			}
			return []policy.Action{a}
		})}, "was ended twice"},
		"a rejection is not made": {PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Reject); ok {
				return nil
			}
			return []policy.Action{a}
		})}, "has no end"},
		"rejections are 14 s late": {PlantedBug{Actions: delayedRejections()}, "after its time"},
		"two attempts at once": {PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Send); ok {
				return []policy.Action{a, a}
			}
			return []policy.Action{a}
		})}, "while an attempt is out"},
		"another destination's endpoint": {PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if s, ok := a.(policy.Send); ok {
				s.Endpoint = "p5-0"
				return []policy.Action{s}
			}
			return []policy.Action{a}
		})}, "not of its destination"},
		"an endpoint that is not listed": {PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if s, ok := a.(policy.Send); ok {
				s.Endpoint = "p0-99"
				return []policy.Action{s}
			}
			return []policy.Action{a}
		})}, "unknown host"},
		"changes of the list are ignored": {PlantedBug{Events: func(_ int, all []policy.Event) []policy.Event {
			return slices.DeleteFunc(all, func(e policy.Event) bool { l, ok := e.(policy.EndpointsChanged); return ok && !l.Full })
		}}, "after it drained"},
		"attempts in flight at a kill count as not executed": {PlantedBug{Events: func(_ int, all []policy.Event) []policy.Event {
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
		"a watch is not opened again": {PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.WatchEndpoints); ok {
				return nil
			}
			return []policy.Action{a}
		})}, "without a watch"},
	} {
		t.Run(name, func(t *testing.T) {
			found := strings.Join(ruleFindings(playStandard(t, HerdDay, 40, func(d *Day) { d.Bug = tt.bug })), "\n")
			if !strings.Contains(found, tt.caught) {
				t.Errorf("found %q, want a finding that contains %q", found, tt.caught)
			}
		})
	}
}

// Each case changes the events or actions of the decision modules of 300 relays so that a rule is broken. The checker, which has only
// the events that the models recorded, must name the rule.
func TestCheck_NamesEachBrokenRuleOfLargeFleets(t *testing.T) {
	for name, tt := range map[string]struct {
		kind   string
		bug    PlantedBug
		change func(*Day)
		caught checker.Rule
	}{
		"a rejection is not made": {JoinDay, PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Reject); ok {
				return nil
			}
			return []policy.Action{a}
		})}, nil, checker.OutcomeMissing},
		"rejections are late":                  {JoinDay, PlantedBug{Actions: delayedRejections()}, nil, checker.OutcomeLate},
		"sent messages fail, delivered or not": {CalmDay, PlantedBug{Actions: prematureFailures()}, nil, checker.OutcomeTwice},
		"attempts in flight at a kill count as not executed": {RollingDay, PlantedBug{Events: eachEvent(func(e policy.Event) policy.Event {
			if a, ok := e.(policy.Arrived); ok {
				for i := range a.PriorAttempts {
					a.PriorAttempts[i].NotExecuted = true
				}
			}
			return e
		})}, nil, checker.ExecutedTwice},
		"a reset counts as not executed": {SplitDay, PlantedBug{Events: eachEvent(func(e policy.Event) policy.Event {
			if end, ok := e.(policy.AttemptEnded); ok && end.Outcome == policy.ConnectionReset {
				end.Outcome = policy.ConnectError
				return end
			}
			return e
		})}, nil, checker.ExecutedTwice},
		"two attempts at once": {CalmDay, PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if _, ok := a.(policy.Send); ok {
				return []policy.Action{a, a}
			}
			return []policy.Action{a}
		})}, nil, checker.ConcurrentAttempts},
		"changes of the list are ignored": {RollingDay, PlantedBug{Events: eachEvent(func(e policy.Event) policy.Event {
			if l, ok := e.(policy.EndpointsChanged); ok && !l.Full {
				return nil
			}
			return e
		})}, nil, checker.DrainBroken},
		"gossip of a recovery opens all queues": {ZoneDay, PlantedBug{TrustsGossip: true}, nil, checker.DestinationOverloaded},
		"a Retry-After is ignored": {JoinDay, PlantedBug{Events: eachEvent(func(e policy.Event) policy.Event {
			if end, ok := e.(policy.AttemptEnded); ok {
				end.RetryAfter = 0
				return end
			}
			return e
		})}, func(d *Day) {
			d.Scenario.Load.Rate *= 2
			for i := range d.Scenario.Destinations { // Retry-After times longer than the backoff of relays
				p := &d.Scenario.Destinations[i]
				p.RejectionInfo, p.Limit.Window, p.Limit.Count = scenario.RejectionSaysWait, 5*p.Limit.Window, 5*p.Limit.Count
			}
		}, checker.RetryAfterIgnored},
		"another destination's endpoint": {CalmDay, PlantedBug{Actions: eachAction(func(a policy.Action) []policy.Action {
			if s, ok := a.(policy.Send); ok && s.Endpoint == "p0-0" {
				s.Endpoint = "p1-0"
				return []policy.Action{s}
			}
			return []policy.Action{a}
		})}, nil, checker.WrongDestination},
		"the order key is ignored": {CalmDay, PlantedBug{Events: eachEvent(func(e policy.Event) policy.Event {
			if a, ok := e.(policy.Arrived); ok {
				a.OrderKey = ""
				return a
			}
			return e
		})}, orderClass, checker.OrderBroken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := func(d *Day) {
				d.Scenario.Length = min(d.Scenario.Length, 16)
				d.Bug = tt.bug
				if tt.change != nil {
					tt.change(d)
				}
			}
			if r := playDrawn(t, tt.kind, 300, 2, day); r.Violations[tt.caught] == 0 {
				t.Errorf("violations %v, want one of rule %q", r.Violations, tt.caught)
			}
		})
	}
	// Without the planted bug, relays break no rule with the ordered class: the finding above is due to the bug.
	if r := playDrawn(t, CalmDay, 60, 2, orderClass); len(r.Violations) > 0 {
		t.Errorf("violations without the bug: %v", r.Failures)
	}
}

// eachAction returns a PlantedBug.Actions that replaces each action by the result of change.
func eachAction(change func(policy.Action) []policy.Action) func(int, time.Duration, []policy.Action) []policy.Action {
	return func(_ int, _ time.Duration, all []policy.Action) (out []policy.Action) {
		for _, a := range all {
			out = append(out, change(a)...)
		}
		return out
	}
}

// eachEvent returns a PlantedBug.Events that replaces each event by the result of change, and drops the event if the result is nil.
func eachEvent(change func(policy.Event) policy.Event) func(int, []policy.Event) []policy.Event {
	return func(_ int, all []policy.Event) (out []policy.Event) {
		for _, e := range all {
			if e = change(e); e != nil {
				out = append(out, e)
			}
		}
		return out
	}
}

// delayedRejections returns a PlantedBug.Actions that collects rejections for 14 s, and then returns them together.
func delayedRejections() func(int, time.Duration, []policy.Action) []policy.Action {
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

// prematureFailures returns a PlantedBug.Actions that fails each message 3 s after an attempt was sent, whatever its outcome.
func prematureFailures() func(int, time.Duration, []policy.Action) []policy.Action {
	type sent struct {
		id string
		at time.Duration
	}
	byRelay := map[int][]sent{}
	return func(relay int, now time.Duration, all []policy.Action) []policy.Action {
		for _, a := range all {
			if s, ok := a.(policy.Send); ok {
				byRelay[relay] = append(byRelay[relay], sent{s.ID, now})
			}
		}
		for len(byRelay[relay]) > 0 && byRelay[relay][0].at <= now-3*time.Second {
			all, byRelay[relay] = append(all, policy.Fail{ID: byRelay[relay][0].id}), byRelay[relay][1:]
		}
		return all
	}
}

// orderClass has one class deliver the messages of an order key in order.
func orderClass(d *Day) {
	i := slices.IndexFunc(d.Scenario.Classes, func(c scenario.Class) bool { return c.Name == "parcel-status" })
	d.Scenario.Classes[i].Ordered, d.Scenario.Classes[i].OrderKeys = true, 20
}
