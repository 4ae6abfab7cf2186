//go:build !race

// A fleet runs on one thread, so the race detector can find nothing in it, and would make these tests take ten times as long.
// .ci/test runs them without it.

package simulation

import (
	"fmt"
	"testing"
)

func playStandard(t *testing.T, name string, relays int, change func(*Day)) *Result {
	t.Helper()
	return playDay(t, NewDay, name, relays, 1, change)
}

func playDrawn(t *testing.T, kind string, relays int, seed int64, change func(*Day)) *Result {
	t.Helper()
	return playDay(t, NewDrawnDay, kind, relays, seed, change)
}

func playDay(t *testing.T, newDay DayMaker, name string, relays int, seed int64, change func(*Day)) *Result {
	t.Helper()
	day, err := newDay(name, relays, seed)
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

// ruleFindings returns the findings that must not occur on a day of any kind: a message that is lost, late or executed twice, an
// attempt at an endpoint that is not listed or drains, an overloaded destination, more polls of discovery in a second than a
// fleet may make, or a relay without a watch at the end.
func ruleFindings(r *Result) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, f := range r.Failures {
		add("rule: %s", f)
	}
	if r.Overloads > 0 {
		add("overload: %d destinations", r.Overloads)
	}
	// Discovery can serve one poll of each relay within 5 s. A fleet of 80 relays spreads its polls over 8 s, so that an eighth of the
	// fleet polls in a second on average; the bound of a quarter allows for the variance.
	if most := max(12, r.Relays/4); r.PeakPolls > most {
		add("polls: %d in one second, %d at most", r.PeakPolls, most)
	}
	if r.Unwatched > 0 {
		add("polls: %d relays without a watch at the end", r.Unwatched)
	}
	return out
}

// joinFindings returns the findings of a JoinDay, on which destination 0 admits a quarter of its limit from 8 to 17 s. The first
// responses report the lowered limit to relays, which then keep to their quotas. The bound on the excess allows a tenth for
// the noise of load reports, a tenth for the raises after successes by which relays search for the limit, and a fifth for the
// variance of a Poisson count of 60 attempts in a second.
func joinFindings(r *Result) (out []string) {
	p := r.Destinations[0]
	if over := p.Excess(9, 17, 0.25); over > 0.45 {
		out = append(out, fmt.Sprintf("excess: %.2f of the lowered limit above it", over))
	}
	if delay := p.SecondsUntilUsed(17, 0.8); delay < 0 || delay > 3 {
		out = append(out, fmt.Sprintf("unused: %d s until the limit is used again", delay))
	}
	// When the limit is raised again, all relays have messages queued and raise their send rates. A burst of each relay would exceed
	// the limit by half.
	if over := p.Excess(17, 21, 1); over > 0.5 {
		out = append(out, fmt.Sprintf("burst: %.2f of the limit above it when it is raised again", over))
	}
	return out
}

// rushFindings returns the findings of a RushDay, on which clients send all destinations more than their limits allow, all day. Send
// rates that search for the limit are expected to cost at most one rejection for every five or six attempts; the bound on attempts is
// 1.3 times the limit. Relays must use the limits; the bound on deliveries leaves a margin for the smallest destination, where the
// variance of the counts of a second matters.
func rushFindings(r *Result) (out []string) {
	for i, p := range r.Destinations {
		delivered := 0
		for _, s := range p.Seconds[5:30] {
			delivered += s.Delivered
		}
		if sum := float64(p.Attempts(5, 30)) / (25 * p.Limit); sum > 1.3 {
			out = append(out, fmt.Sprintf("sum: attempts at destination %d are %.2f of its limit", i, sum))
		}
		if used := float64(delivered) / (25 * p.Limit); used < 0.88 {
			out = append(out, fmt.Sprintf("used: destination %d delivers %.2f of its limit", i, used))
		}
	}
	return out
}

// zoneFindings returns the findings of a ZoneDay, on which destination 0 is down from 8 to 13 s and recovers at 17% of its capacity.
// The overload rule allows attempts at 2.5 times the current capacity, averaged over 1.5 s; the bound for the count of a single second is
// a little higher. During the outage each relay makes trial requests within its part of the attempts that the rule allows at 17% of the
// capacity, and relays that have not noticed the outage yet have their first failures. The bound for both together is half of the limit.
func zoneFindings(r *Result) (out []string) {
	p := r.Destinations[0]
	for i := 14; i < 24; i++ {
		if s := p.Seconds[i]; float64(s.Attempts) > 2.7*s.Capacity+3 {
			out = append(out, fmt.Sprintf("overload: %d attempts in second %d at a capacity of %.0f", s.Attempts, i, s.Capacity))
		}
	}
	if attempts := p.Attempts(10, 13); float64(attempts) > 3*0.5*p.Limit+6 {
		out = append(out, fmt.Sprintf("trials: %d attempts in 3 s of an outage at a limit of %.0f", attempts, p.Limit))
	}
	if delay := p.SecondsUntilUsed(14, 0.8); delay < 0 || delay > 4 {
		out = append(out, fmt.Sprintf("unused: %d s until its capacity is used", delay))
	}
	return out
}
