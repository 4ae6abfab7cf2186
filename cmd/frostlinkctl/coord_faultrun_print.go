package main

import (
	"fmt"
	"io"
	"slices"

	"frostlink/internal/faultinjection/faults"
)

// faultRuns are the results of coord fault-run.
type faultRuns []faults.Result

// failed reports whether a run failed. Runs for which the machine was too busy are inconclusive and do not count.
func (f faultRuns) failed() bool {
	return slices.ContainsFunc(f, func(r faults.Result) bool { return !r.Void && len(r.Violations) > 0 })
}

// print prints a line for each run, the violations, and how long it took until another relay acted after a holder's death.
func (f faultRuns) print(out io.Writer) {
	table := newNumberTable(out)
	fmt.Fprintln(table, "seed\tmembers\trelays\tacts\taccepted\tgrants\trig late s\tverdict\t")
	var takeovers []float64
	for _, r := range f {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t\n", r.Seed, r.Members, r.Relays, r.Executions, r.Accepted, r.Grants,
			r.MaxLatenessSeconds, faultRunVerdict(&r))
		takeovers = append(takeovers, r.TakeoverSeconds...)
	}
	_ = table.Flush() // a write error, such as a closed pipe, does not change the verdict
	for _, r := range f {
		for _, violation := range r.Violations {
			fmt.Fprintf(out, "seed %d: %s: %s (%s)\n", r.Seed, violation.Check, violation.Detail, r.Dir)
		}
	}
	if len(takeovers) == 0 {
		return
	}
	slices.Sort(takeovers)
	fmt.Fprintf(out, "from a holder's death to the next act, %d times: p50 %.2f s, p99 %.2f s, most %.2f s\n", len(takeovers),
		quantile(takeovers, 0.5), quantile(takeovers, 0.99), quantile(takeovers, 1))
}

func faultRunVerdict(r *faults.Result) string {
	switch {
	case r.Void:
		return "void"
	case len(r.Violations) > 0:
		return "failed"
	default:
		return "kept"
	}
}
