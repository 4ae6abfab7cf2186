package faults

import (
	"slices"
	"time"
)

const (
	// maxLateness is how late the harness's own timers may be: beyond it the machine was too busy for a verdict.
	maxLateness = 150 * time.Millisecond
	// idleAfter is how long before the end of a run the last execution may have begun.
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
	Grants             int          `json:"grants"` // tokens seen
	InjectedFaults     map[Kind]int `json:"caused"`
	TakeoverSeconds    []float64    `json:"takeover_s"`       // from a holder's death to another's next execution
	MaxLatenessSeconds float64      `json:"rig_late_s"`       // of the harness's own timers
	Void               bool         `json:"void"`             // inconclusive: the machine was too busy for a verdict
	Violations         []Violation  `json:"faults,omitempty"` // none: the run passed
	Dir                string       `json:"folder,omitempty"` // of a run that failed: logs and data
}

func newResult(o Options) Result {
	return Result{Seed: o.Seed, Members: o.Members, Relays: o.Relays, Fenced: o.Fenced}
}

// judge returns the result of a run by what it recorded.
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
	r.TakeoverSeconds = seen.takeoverSeconds()
	r.MaxLatenessSeconds, r.Void = seen.maxLateness.Seconds(), seen.maxLateness > maxLateness
	r.Violations = append(seen.violations, CheckExecutions(seen.executions, seen.pauses)...)
	if seen.isIdle() {
		r.Violations = append(r.Violations, Violation{CheckIdle, "nobody acts at the end of the calm"})
	}
	if len(r.Violations) > 0 {
		r.Dir = o.Dir
	}
	return r
}

// isIdle reports whether no relay acts at the end of the quiet period.
func (o *observations) isIdle() bool {
	return len(o.executions) == 0 || o.end-o.executions[len(o.executions)-1].Begin > idleAfter
}

// takeoverSeconds returns how long it took from each death of a holder to the next accepted execution.
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
