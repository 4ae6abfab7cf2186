package main

import (
	"fmt"
	"math"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/harness"
)

// mostVoids runs on which the rig was late are played again.
const mostVoids = 5

// spread is how a figure differs between runs of one script and seed.
type spread struct {
	Figure string    `json:"figure"`
	Mean   float64   `json:"mean"`
	Least  float64   `json:"least"`
	Most   float64   `json:"most"`
	Off    float64   `json:"off"`   // the largest distance from the mean
	Share  float64   `json:"share"` // the same as a share of the mean
	Runs   []float64 `json:"runs"`
}

func rehearseRepeat() *cobra.Command {
	var o runOptions
	var runs int
	c := &cobra.Command{
		Use:   "repeat FILE",
		Short: "Play a script several times with one seed, and tell how far the runs differ",
		Long: "Play a script several times with one seed, and tell how far the runs differ: all that is drawn is the same,\n" +
			"so that what differs is the machine's timing and what follows from it.",
		Example: "  frostlinkctl rehearse repeat scenarios/quiet.toml --runs 10",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if runs < 2 {
				return fmt.Errorf("--runs: %d, 2 at least", runs)
			}
			s, options, err := o.prepare(c, args[0])
			if err != nil {
				return err
			}
			var results []*harness.Result
			bad, voids := false, 0
			for n := 0; n < runs; {
				res, err := harness.Run(c.Context(), s, options)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.ErrOrStderr(), "run %d of %d: worth %.4f, %d breaches, %d faults, %.2f%% late\n", n+1, runs, res.DeliveredWeight.Total,
					len(res.Violations), len(res.Failures), 100*res.LateShare)
				if res.Void { // it says nothing: once more
					if voids++; voids > mostVoids {
						return fmt.Errorf("%d runs are void: the machine is too busy", voids)
					}
					continue
				}
				n++
				bad = bad || !res.Passed()
				results = append(results, res)
			}
			rows := spreads(results)
			if o.json != "" {
				if err := cli.WriteJSON(c.OutOrStdout(), o.json, rows); err != nil {
					return err
				}
			}
			if o.json != "-" {
				t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
				fmt.Fprintln(t, "figure\tmean\tleast\tmost\toff by\tof the mean\t")
				for _, r := range rows {
					fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.2f%%\t\n", r.Figure, r.Mean, r.Least, r.Most, r.Off, 100*r.Share)
				}
				if err := t.Flush(); err != nil {
					return err
				}
			}
			if bad {
				return cli.ErrFindings
			}
			return nil
		},
	}
	o.flags(c)
	c.Flags().IntVar(&runs, "runs", 10, "how often")
	return c
}

// spreads compares runs figure by figure.
func spreads(results []*harness.Result) []spread {
	figures := []struct {
		name string
		of   func(r *harness.Result) float64
	}{
		{"worth", func(r *harness.Result) float64 { return r.DeliveredWeight.Total }},
		{"worst 10 s", func(r *harness.Result) float64 { return r.DeliveredWeight.WorstWindow }},
		{"worst class", func(r *harness.Result) float64 { return r.DeliveredWeight.WorstClass }},
		{"worst tenant", func(r *harness.Result) float64 { return r.DeliveredWeight.WorstTenant }},
		{"asked", func(r *harness.Result) float64 { return float64(r.Counts.Requested) }},
		{"delivered", func(r *harness.Result) float64 { return float64(r.Counts.Delivered) }},
		{"in time", func(r *harness.Result) float64 { return float64(r.Counts.InTime) }},
		{"refused", func(r *harness.Result) float64 { return float64(r.Counts.Rejected) }},
		{"failed", func(r *harness.Result) float64 { return float64(r.Counts.Failed) }},
		{"unserved", func(r *harness.Result) float64 { return float64(r.Counts.Unserved) }},
		{"hand-ins", func(r *harness.Result) float64 { return float64(r.Counts.Submissions) }},
		{"taken on", func(r *harness.Result) float64 { return float64(r.Counts.Accepted) }},
		{"calls", func(r *harness.Result) float64 { return float64(r.Counts.Attempts) }},
	}
	for _, outcome := range []string{checker.OK, checker.Error, checker.Rejected, checker.RetryAfter, checker.Reset, checker.Interrupted, checker.Abandoned} {
		figures = append(figures, struct {
			name string
			of   func(r *harness.Result) float64
		}{"calls " + outcome, func(r *harness.Result) float64 { return float64(r.Counts.AttemptsByOutcome[outcome]) }})
	}
	var rows []spread
	for _, f := range figures {
		row := spread{Figure: f.name, Least: math.Inf(1), Most: math.Inf(-1)}
		for _, r := range results {
			v := f.of(r)
			row.Runs = append(row.Runs, v)
			row.Mean += v / float64(len(results))
			row.Least, row.Most = min(row.Least, v), max(row.Most, v)
		}
		row.Off = max(row.Most-row.Mean, row.Mean-row.Least)
		if row.Mean > 0 {
			row.Share = row.Off / row.Mean
		}
		rows = append(rows, row)
	}
	return rows
}
