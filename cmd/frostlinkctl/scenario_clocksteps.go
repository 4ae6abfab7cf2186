package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// clockSteps are the clock steps with which each scenario is played, in seconds. The first run, without a step, is the baseline for the
// others.
var clockSteps = []float64{0, 0.5, -0.5, 5, -5, 60, -60, 3600, -3600}

// scenarioClockStepsFlags are the flags of scenario clock-steps.
type scenarioClockStepsFlags struct {
	at       float64 // the time of the step, in seconds from the start of the run
	maxLoss  float64 // the largest accepted loss of delivered weight
	parallel int
	jsonFile string
	relays   string // path of the relay program
}

// steppedRun is a run of a scenario in which the wall clocks of all relays are stepped.
type steppedRun struct {
	Path       string  `json:"path"`
	Step       float64 `json:"step_s"`
	Difference float64 `json:"off"` // delivered weight minus the delivered weight of the run without a step
	*harness.Result
}

func scenarioClockStepsCommand() *cobra.Command {
	var f scenarioClockStepsFlags
	c := &cobra.Command{
		Use:   "clock-steps FILE...",
		Short: "Play scripts with and without steps of the relays' wall clocks, and compare the worth",
		Long: "Play each script without a step and with the wall clocks of all relays stepped forward or back by 0.5, 5, 60 and 3,600 s, several\n" +
			"runs at a time. Exit codes: 0 success, 1 a rule was broken or too much worth was lost, 2 could not run or the machine was too busy.",
		Example: "  frostlinkctl scenario clock-steps scenarios/quiet.toml scenarios/relay-killed.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE:    f.run,
	}
	c.Flags().Float64Var(&f.at, "at", 8, "seconds after which the clocks are stepped")
	c.Flags().Float64Var(&f.maxLoss, "most", 0.03, "how far the worth of a run may fall below the worth of the run without a step")
	c.Flags().IntVar(&f.parallel, "together", 3, "number of runs at a time")
	addPlayOutputFlags(c, &f.jsonFile, &f.relays, "the results")
	return c
}

func (f *scenarioClockStepsFlags) run(c *cobra.Command, args []string) error {
	command, err := relayCommand(f.relays)
	if err != nil {
		return err
	}
	var runs []*steppedRun
	for _, path := range args {
		for _, step := range clockSteps {
			runs = append(runs, &steppedRun{Path: path, Step: step})
		}
	}
	errs := runConcurrently(len(runs), max(1, f.parallel), func(i int) error { return runs[i].play(c.Context(), f.at, command) })
	if err := errors.Join(errs...); err != nil {
		return err
	}
	counts := compareSteps(runs, f.maxLoss)
	printSteppedRuns(textOutput(c.OutOrStdout(), f.jsonFile), runs)
	if err := writeJSON(c.OutOrStdout(), f.jsonFile, runs); err != nil {
		return err
	}
	return counts.verdict()
}

// play plays the scenario with the clock step.
func (r *steppedRun) play(ctx context.Context, at float64, command []string) error {
	text, err := os.ReadFile(r.Path)
	if err != nil {
		return err //nolint:wrapcheck // the error names the operation and the file
	}
	if r.Step != 0 {
		text = fmt.Appendf(slices.Clone(text), "\n[[event]]\nat_s = %v\nwhat = \"clock_step\"\nby_s = %v\n", at, r.Step)
	}
	s, err := scenario.Parse(r.Path, text)
	if err != nil {
		return err
	}
	r.Result, _, err = playUntilConclusive(ctx, s, harness.Options{Seed: s.Seed, RelayCommand: command})
	return err
}

// compareSteps compares each run with the baseline, which is the run of the same scenario without a step, and counts the verdicts. A run
// also fails if its delivered weight is more than maxLoss below the baseline's.
func compareSteps(runs []*steppedRun, maxLoss float64) (counts tally) {
	baseline := 0.0
	for _, r := range runs {
		if r.Step == 0 {
			baseline = r.DeliveredWeight.Total
		}
		r.Difference = r.DeliveredWeight.Total - baseline
		counts.add(r.Void, r.Passed() && r.Difference >= -maxLoss)
	}
	return counts
}

func printSteppedRuns(out io.Writer, runs []*steppedRun) {
	table := newNumberTable(out)
	fmt.Fprintln(table, "script\tstep s\tworth\toff\tworst 10 s\tbreaches\tfaults\tlate %\t")
	for _, r := range runs {
		fmt.Fprintf(table, "%s\t%+v\t%.3f\t%+.3f\t%.3f\t%d\t%d\t%.2f\t\n", r.Scenario, r.Step, r.DeliveredWeight.Total, r.Difference,
			r.DeliveredWeight.WorstWindow, len(r.Violations), len(r.Failures), 100*r.LateShare)
	}
	_ = table.Flush() // a write error, such as a closed pipe, does not prevent the JSON and the verdict
}
