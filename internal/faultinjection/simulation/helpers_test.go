//go:build !race

// A fleet runs on one thread: with the race detector it would take ten times as long for nothing. .ci/test plays it without.

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

func playDay(t *testing.T, of DayMaker, name string, relays int, seed int64, change func(*Day)) *Result {
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

// faults returns what is wrong with a day, whatever its kind: a message lost, late or executed twice, an attempt at an endpoint
// that is not listed or drains, a destination overloaded, or discovery polled by more relays at once than it serves.
func ruleFindings(r *Result) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, f := range r.Failures {
		add("rule: %s", f)
	}
	if r.Overloads > 0 {
		add("overload: %d destinations", r.Overloads)
	}
	// Discovery serves a poll of each relay in 5 s; polls are spread over 8 s, and their variance adds to that.
	if most := max(12, r.Relays/4); r.PeakPolls > most {
		add("polls: %d in one second, %d at most", r.PeakPolls, most)
	}
	if r.Unwatched > 0 {
		add("polls: %d relays without a watch at the end", r.Unwatched)
	}
	return out
}

// joinFindings returns what is wrong where destination 0 admitted a quarter of its limit from 8 to 17 s. Relays are
// notified of it with the first responses and keep to their quotas: a tenth above for the noise of load reports, a tenth for
// the raises by success that find the limit, and the variance of a Poisson count, which is a fifth more at a second's 60 calls.
func joinFindings(r *Result) (out []string) {
	p := r.Destinations[0]
	if over := p.Excess(9, 17, 0.25); over > 0.45 {
		out = append(out, fmt.Sprintf("excess: %.2f of the lowered limit above it", over))
	}
	if again := p.SecondsUntilUsed(17, 0.8); again < 0 || again > 3 {
		out = append(out, fmt.Sprintf("unused: %d s until the limit is used again", again))
	}
	// All have messages queued when it is raised again, and all raise their send rates: half above is what a burst of each would be.
	if over := p.Excess(17, 21, 1); over > 0.5 {
		out = append(out, fmt.Sprintf("burst: %.2f of the limit above it when it is raised again", over))
	}
	return out
}

// rushFindings returns what is wrong where all destinations are sent more than they admit all day: send rates seek the limit, and cost
// a rejection for five or six attempts at most; what destinations admit is used, but for the smallest, where the variance of a
// second counts.
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

// zoneFindings returns what is wrong where destination 0 was down from 8 to 13 s and came back at 17% of its capacity. The rule lets 2.5
// times its present capacity through in 1.5 s; a second's count may be a little more. In the outage relays make trial
// requests, each at its part of that budget, and new ones fail for the first time: half of the limit is far above both.
func zoneFindings(r *Result) (out []string) {
	p := r.Destinations[0]
	for i := 14; i < 24; i++ {
		if s := p.Seconds[i]; float64(s.Attempts) > 2.7*s.Capacity+3 {
			out = append(out, fmt.Sprintf("overload: %d attempts in second %d at a capacity of %.0f", s.Attempts, i, s.Capacity))
		}
	}
	if calls := p.Attempts(10, 13); float64(calls) > 3*0.5*p.Limit+6 {
		out = append(out, fmt.Sprintf("trials: %d attempts in 3 s of an outage at a limit of %.0f", calls, p.Limit))
	}
	if again := p.SecondsUntilUsed(14, 0.8); again < 0 || again > 4 {
		out = append(out, fmt.Sprintf("unused: %d s until its capacity is used", again))
	}
	return out
}
