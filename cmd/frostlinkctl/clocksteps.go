package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// clockSteps are the steps that scripts are played with, in seconds; 0: none, to compare with.
var clockSteps = []float64{0, 0.5, -0.5, 5, -5, 60, -60, 3600, -3600}

// steppedRun is a script played with a step of all relays' wall clocks.
type steppedRun struct {
	Path string  `json:"path"`
	Step float64 `json:"step_s"`
	Off  float64 `json:"off"` // of the worth without a step
	*harness.Result
}

func rehearseClockSteps() *cobra.Command {
	var o runOptions
	var at, most float64
	var together int
	c := &cobra.Command{
		Use:   "clock-steps FILE...",
		Short: "Play scripts with the relays' wall clocks stepped, and without, and compare the worth",
		Long: "Play each script without a step and with the wall clocks of all relays stepped by 0.5, 5, 60 and 3,600 s either way, some runs\n" +
			"side by side, and compare. Exit codes: 0 no rule broken and the worth kept, 1 not so, 2 could not run or the machine was too busy.",
		Example: "  frostlinkctl rehearse clock-steps scenarios/quiet.toml scenarios/relay-killed.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			command, err := relayCommand(o.relays)
			if err != nil {
				return err
			}
			var runs []*steppedRun
			for _, path := range args {
				for _, step := range clockSteps {
					runs = append(runs, &steppedRun{Path: path, Step: step})
				}
			}
			if err := playStepped(c, runs, at, together, command); err != nil {
				return err
			}
			bad, void := compareSteps(runs, most)
			if o.json != "-" {
				w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
				fmt.Fprintln(w, "script\tstep s\tworth\toff\tworst 10 s\tbreaches\tfaults\tlate %\t")
				for _, r := range runs {
					fmt.Fprintf(w, "%s\t%+v\t%.3f\t%+.3f\t%.3f\t%d\t%d\t%.2f\t\n", r.Scenario, r.Step, r.DeliveredWeight.Total, r.Off, r.DeliveredWeight.WorstWindow, len(r.Violations),
						len(r.Failures), 100*r.LateShare)
				}
				_ = w.Flush()
			}
			return verdict(c, o.json, runs, bad, void)
		},
	}
	f := c.Flags()
	f.Float64Var(&at, "at", 8, "seconds after which clocks are stepped")
	f.Float64Var(&most, "most", 0.03, "how far the worth may fall")
	f.IntVar(&together, "together", 3, "runs side by side")
	f.StringVar(&o.json, "json", "", "write the results as JSON to this `file`; - is standard output")
	f.StringVar(&o.relays, "relays", "", "the relay's `program` (default frostlink beside this program)")
	return c
}

// playStepped plays the runs, so many side by side.
func playStepped(c *cobra.Command, runs []*steppedRun, at float64, together int, command []string) error {
	places := make(chan struct{}, max(1, together))
	errs := make([]error, len(runs))
	var work sync.WaitGroup
	for i, r := range runs {
		places <- struct{}{}
		work.Go(func() {
			defer func() { <-places }()
			errs[i] = r.play(c, at, command)
		})
	}
	work.Wait()
	return errors.Join(errs...)
}

// play plays a script with its step, again where the machine was too busy.
func (r *steppedRun) play(c *cobra.Command, at float64, command []string) error {
	text, err := os.ReadFile(r.Path)
	if err != nil {
		return err
	}
	if r.Step != 0 {
		text = fmt.Appendf(slices.Clone(text), "\n[[event]]\nat_s = %v\nwhat = \"clock_step\"\nby_s = %v\n", at, r.Step)
	}
	s, err := scenario.Parse(r.Path, text)
	if err != nil {
		return err
	}
	for try := 0; try < soakTries && (try == 0 || r.Void); try++ {
		if r.Result, err = harness.Run(c.Context(), s, harness.Options{Seed: s.Seed, RelayCommand: command}); err != nil {
			return err
		}
	}
	return nil
}

// compareSteps compares each run with its script's first, and counts those that are worse by more than most or broke a rule, and those
// that say nothing.
func compareSteps(runs []*steppedRun, most float64) (bad, void int) {
	baseline := 0.0
	for _, r := range runs {
		if r.Step == 0 {
			baseline = r.DeliveredWeight.Total
		}
		r.Off = r.DeliveredWeight.Total - baseline
		switch {
		case r.Void:
			void++
		case !r.Passed() || r.Off < -most:
			bad++
		}
	}
	return bad, void
}
