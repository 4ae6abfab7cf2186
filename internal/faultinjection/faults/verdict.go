package faults

import (
	"slices"
	"time"
)

const (
	// maxLateness is how late the harness's own timers may fire in a conclusive run. If a timer fires later, the machine was too busy, and
	// the run is void.
	maxLateness = 150 * time.Millisecond
	// idleAfter is the longest time from the start of the last execution to the end of a run that passes CheckIdle.
	idleAfter = 2 * time.Second
)

// Result is the result of a run.
type Result struct {
	Seed               uint64       `json:"seed"`
	Members            int          `json:"members"`
	Relays             int          `json:"relays"`
	Fenced             bool         `json:"fenced"`
	Executions         int          `json:"acts"`
	Accepted           int          `json:"accepted"`
	Grants             int          `json:"grants"` // number of different tokens of all executions
	InjectedFaults     map[Kind]int `json:"caused"`
	CopiedResponses    int          `json:"copied,omitempty"` // responses that the proxies wrote twice
	TakeoverSeconds    []float64    `json:"takeover_s"`       // from the death of each lease holder to the next accepted execution
	MaxLatenessSeconds float64      `json:"rig_late_s"`       // of the harness's own timers
	Void               bool         `json:"void"`             // inconclusive, because the machine was too busy
	Violations         []Violation  `json:"faults,omitempty"` // empty if the run passed
	Dir                string       `json:"folder,omitempty"` // folder with the logs and data of the run, if the run failed
}

func newResult(o Options) Result {
	return Result{Seed: o.Seed, Members: o.Members, Relays: o.Relays, Fenced: o.Fenced}
}

// judge returns the result of a run from its observations.
func judge(o Options, seen observations) Result {
	r := newResult(o)
	tokens := map[uint64]bool{}
	for _, e := range seen.executions {
		tokens[e.Token] = true
		if e.Accepted {
			r.Accepted++
		}
	}
	r.Executions, r.Grants, r.InjectedFaults = len(seen.executions), len(tokens), seen.injected
	r.CopiedResponses = seen.copies
	r.TakeoverSeconds = seen.takeoverSeconds()
	r.MaxLatenessSeconds, r.Void = seen.maxLateness.Seconds(), seen.maxLateness > maxLateness
	r.Violations = append(seen.violations, CheckExecutions(seen.executions, seen.pauses)...)
	if seen.isIdle() {
		r.Violations = append(r.Violations, Violation{CheckIdle, "no relay sends requests to the resource at the end of the quiet period"})
	}
	if len(r.Violations) > 0 {
		r.Dir = o.Dir
	}
	return r
}

// isIdle reports whether no execution began within idleAfter before the end of the run.
func (o *observations) isIdle() bool {
	return len(o.executions) == 0 || o.end-o.executions[len(o.executions)-1].Begin > idleAfter
}

// takeoverSeconds returns the time from each death of a lease holder to the next accepted execution.
func (o *observations) takeoverSeconds() []float64 {
	var list []float64
	for _, death := range o.holderDeaths {
		i := slices.IndexFunc(o.executions, func(e Execution) bool { return e.Begin > death && e.Accepted })
		if i >= 0 {
			list = append(list, (o.executions[i].Begin - death).Seconds())
		}
	}
	return list
}
