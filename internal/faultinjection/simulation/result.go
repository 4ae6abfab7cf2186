package simulation

import (
	"fmt"
	"math"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/scenario"
)

// maxFailures is the number of failures in a result; further ones are not reported.
const maxFailures = 20

// Result is the result of a day.
type Result struct {
	Relays             int                  `json:"relays"`
	Messages           int                  `json:"messages"`
	DeliveredWeight    float64              `json:"worth"` // priority weight delivered, as a share of all
	AttemptedMessages  int                  `json:"first"` // messages with at least one attempt
	GivenUp            int                  `json:"given_up"`
	Rejected           int                  `json:"refused"`          // attempts that a limit or a full queue rejected
	ConnectionRejected int                  `json:"door"`             // attempts whose connection exceeded the endpoint's limit of connections
	Connections        int                  `json:"connections"`      // including those that failed
	CopiedResponses    int                  `json:"copied,omitempty"` // responses that endpoints wrote twice
	EarlyEnds          int                  `json:"-"`                //  messages that endpoints said were over at their first attempt
	Polls              int                  `json:"asks"`             // of discovery
	FailedPolls        int                  `json:"turned"`
	PeakPolls          int                  `json:"ask_peak"`  // the maximum in one second
	Unwatched          int                  `json:"unwatched"` // relays without a watch at the end
	Overloads          int                  `json:"falls"`     // of recovering destinations
	Failures           []string             `json:"faults,omitempty"`
	Violations         map[checker.Rule]int `json:"breaches,omitempty"` // number by rule, from the checker that also judges runs with real processes
	Destinations       []*Destination       `json:"partners"`

	deliveredWeight, totalWeight float64
	pollsBySecond                map[int]int
}

// Destination has the counts of one destination, by second.
type Destination struct {
	Limit   float64   `json:"limit"` // attempts per second
	Seconds []*Second `json:"seconds"`
}

// Second has the counts of one second at a destination.
type Second struct {
	Attempts  int     `json:"calls"` // that arrived, including rejected ones
	Delivered int     `json:"delivered"`
	Rejected  int     `json:"refused"`
	Capacity  float64 `json:"capacity"` // attempts per second that the destination could execute
}

// second returns the counts of the second that contains a time.
func (d *Destination) second(at time.Duration) *Second {
	for int(at/time.Second) >= len(d.Seconds) {
		d.Seconds = append(d.Seconds, &Second{})
	}
	return d.Seconds[at/time.Second]
}

// Excess returns by how much the attempts in a second exceed a share of the destination's limit, relative to that share. It is the
// maximum over the seconds [from, to), and 0 if no second exceeds it.
func (d *Destination) Excess(from, to int, share float64) float64 {
	limit := d.Limit * share
	excess := 0.0
	for _, s := range d.span(from, to) {
		excess = math.Max(excess, (float64(s.Attempts)-limit)/limit)
	}
	return excess
}

// Attempts returns the number of attempts in the seconds [from, to).
func (d *Destination) Attempts(from, to int) (attempts int) {
	for _, s := range d.span(from, to) {
		attempts += s.Attempts
	}
	return attempts
}

func (d *Destination) span(from, to int) []*Second {
	to = min(to, len(d.Seconds))
	if from >= to {
		return nil
	}
	return d.Seconds[from:to]
}

// SecondsUntilUsed returns the number of seconds, from second number from on, until the destination is used again: until the first two
// consecutive seconds that together deliver at least a share of the attempts that limit and capacity allow. It returns -1 if there are no
// such seconds.
func (d *Destination) SecondsUntilUsed(from int, share float64) int {
	for i := from; i+1 < len(d.Seconds); i++ {
		first, second := d.Seconds[i], d.Seconds[i+1]
		delivered := float64(first.Delivered + second.Delivered)
		possible := math.Min(d.Limit, first.Capacity) + math.Min(d.Limit, second.Capacity)
		if possible > 0 && delivered >= share*possible {
			return i - from
		}
	}
	return -1
}

// recordFailure records that a relay broke a rule.
func (r *Result) recordFailure(format string, args ...any) {
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
}

// countPoll counts a poll of discovery.
func (r *Result) countPoll(at time.Duration) {
	if r.pollsBySecond == nil {
		r.pollsBySecond = map[int]int{}
	}
	second := int(at / time.Second)
	r.Polls++
	r.pollsBySecond[second]++
	r.PeakPolls = max(r.PeakPolls, r.pollsBySecond[second])
}

// countDelivery counts a message that is delivered now.
func (f *fleet) countDelivery(m *scenario.Message) {
	f.result.deliveredWeight += remainingWeight(&f.Scenario.Classes[m.Class], f.now-m.At)
	f.completed[m.Number] = true
}

// remainingWeight returns the priority weight that counts for a message delivered at an age: all of it within the latency objective,
// then linearly less down to the late fraction at the deadline, and none after that.
func remainingWeight(c *scenario.Class, age time.Duration) float64 {
	seconds := age.Seconds()
	switch {
	case seconds <= c.LatencyObjective:
		return c.PriorityWeight
	case seconds > c.Deadline:
		return 0
	}
	late := (seconds - c.LatencyObjective) / (c.Deadline - c.LatencyObjective)
	return c.PriorityWeight * (1 - (1-c.LateFraction)*late)
}

// summarize completes the result at the end of the day, and reports messages and requests without a terminal outcome.
func (f *fleet) summarize(messages []*scenario.Message) {
	for _, m := range messages {
		f.result.totalWeight += f.Scenario.Classes[m.Class].PriorityWeight
		if executions := f.executions[m.Number]; executions > 1 {
			f.result.recordFailure("message %d had its effect %d times", m.Number, executions)
		}
		if !f.completed[m.Number] {
			f.result.recordFailure("message %d has no end", m.Number)
		}
	}
	for _, r := range f.relays {
		if _, watches := f.discovery.watchers[r]; !watches {
			f.result.Unwatched++
		}
		for _, request := range r.order {
			f.result.recordFailure("%s was taken on and has no end", request.id)
		}
	}
	for _, d := range f.destinations {
		f.result.Overloads += d.Overloads()
	}
	f.result.DeliveredWeight = f.result.deliveredWeight / math.Max(1, f.result.totalWeight)
}
