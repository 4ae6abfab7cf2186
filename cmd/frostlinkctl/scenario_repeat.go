package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// maxInconclusiveRuns is the maximum number of inconclusive runs that the command repeats.
const maxInconclusiveRuns = 5

// scenarioRepeatFlags are the flags of scenario repeat.
type scenarioRepeatFlags struct {
	playFlags
	runs int
}

func scenarioRepeatCommand() *cobra.Command {
	var f scenarioRepeatFlags
	c := &cobra.Command{
		Use:   "repeat FILE",
		Short: "Play a script several times with one seed, and show how far the runs differ",
		Long: "Play a script several times with one seed, and show how far the runs differ. All random choices are the same,\n" +
			"so that the runs differ only because of the timing on this machine.",
		Example: "  frostlinkctl scenario repeat scenarios/quiet.toml --runs 10",
		Args:    cobra.ExactArgs(1),
		RunE:    f.run,
	}
	f.add(c)
	c.Flags().IntVar(&f.runs, "runs", 10, "number of runs")
	return c
}

func (f *scenarioRepeatFlags) run(c *cobra.Command, args []string) error {
	if f.runs < 2 {
		return fmt.Errorf("--runs: %d, must be at least 2", f.runs)
	}
	s, options, err := f.prepare(c, args[0])
	if err != nil {
		return err
	}
	results, err := f.play(c, s, options)
	if err != nil {
		return err
	}
	spreads := measureSpreads(results)
	if err := writeJSON(c.OutOrStdout(), f.jsonFile, spreads); err != nil {
		return err
	}
	if err := printSpreads(textOutput(c.OutOrStdout(), f.jsonFile), spreads); err != nil {
		return err
	}
	failed := false
	for _, result := range results {
		failed = failed || !result.Passed()
	}
	return findings(failed)
}

// play plays the scenario until there are f.runs conclusive runs.
func (f *scenarioRepeatFlags) play(c *cobra.Command, s *scenario.Scenario, options harness.Options) ([]*harness.Result, error) {
	var results []*harness.Result
	for inconclusive := 0; len(results) < f.runs; {
		result, err := harness.Run(c.Context(), s, options)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(c.ErrOrStderr(), "run %d of %d: worth %.4f, %d breaches, %d faults, %.2f%% late\n", len(results)+1, f.runs,
			result.DeliveredWeight.Total, len(result.Violations), len(result.Failures), 100*result.LateShare)
		if !result.Void {
			results = append(results, result)
			continue
		}
		if inconclusive++; inconclusive > maxInconclusiveRuns {
			return nil, fmt.Errorf("%d runs are void because the machine is too busy", inconclusive)
		}
	}
	return results, nil
}

func printSpreads(out io.Writer, spreads []spread) error {
	table := newNumberTable(out)
	fmt.Fprintln(table, "figure\tmean\tleast\tmost\toff by\tof the mean\t")
	for _, s := range spreads {
		fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.2f%%\t\n", s.Figure, s.Mean, s.Min, s.Max, s.MaxDeviation, 100*s.RelativeDeviation)
	}
	return flushTable(table)
}
