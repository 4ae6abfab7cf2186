package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/faultinjection/harness"
	"frostlink/internal/faultinjection/scenario"
)

// soakRun is one seed's.
type soakRun struct {
	Seed   int64  `json:"seed"`
	Tries  int    `json:"tries"` // runs that the machine was too busy for come before it
	Script string `json:"script,omitempty"`
	*harness.Result
}

func rehearseSoak() *cobra.Command {
	var o runOptions
	var from int64
	var seeds, relays int
	var length float64
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play random faults that overlap upon many relays, a run for each of several seeds",
		Long: "Play random faults that overlap upon many relays: processes killed, ended and stopped, wall clocks stepped, system calls and\n" +
			"folders that fail, partners, register and network in trouble. Each run is judged by the auditor of the six rules and by the\n" +
			"relays' own invariants. The same seed draws the same faults; the script and the logs of a run that fails are kept in --keep.\n" +
			"Exit codes: 0 every run kept all rules, 1 one did not, 2 could not run or the machine was too busy.",
		Example: "  frostlinkctl rehearse soak --seed 1 --seeds 20 --count 36 --keep found",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := relayCommand(o.relays)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if o.json == "-" {
				out = io.Discard
			}
			var runs []soakRun
			bad, void := 0, 0
			for seed := from; seed < from+int64(seeds); seed++ {
				run, err := playSoak(c, seed, relays, length, command, o.keep)
				if err != nil {
					return err
				}
				runs = append(runs, run)
				switch {
				case run.Void:
					void++
				case !run.Passed():
					bad++
				}
				printSoak(out, &run)
			}
			fmt.Fprintf(out, "%d of %d seeds kept all rules and invariants, %d did not, %d were void\n", seeds-bad-void, seeds, bad, void)
			return verdict(c, o.json, runs, bad, void)
		},
	}
	f := c.Flags()
	f.Int64Var(&from, "seed", 1, "the first seed")
	f.IntVar(&seeds, "seeds", 10, "how many seeds, one after another")
	f.IntVar(&relays, "count", 36, "how many relays")
	f.Float64Var(&length, "length", 9, "seconds for which clients send")
	f.StringVar(&o.json, "json", "", "write the results as JSON to this `file`; - is standard output")
	f.StringVar(&o.relays, "relays", "", "the relay's `program` (default frostlink beside this program)")
	f.StringVar(&o.keep, "keep", "", "keep scripts and logs of runs that fail in this `folder`")
	return c
}

// verdict writes the results of several runs where they are wanted, and says how they ended as a whole.
func verdict(c *cobra.Command, path string, runs any, bad, void int) error {
	if path != "" {
		if err := cli.WriteJSON(c.OutOrStdout(), path, runs); err != nil {
			return err
		}
	}
	switch {
	case bad > 0:
		return cli.ErrFindings
	case void > 0:
		return fmt.Errorf("the machine was too busy for %d runs", void)
	}
	return nil
}

// soakTries is how often a seed is played where the machine was too busy for a run to say anything.
const soakTries = 3

// playSoak plays a seed.
func playSoak(c *cobra.Command, seed int64, relays int, length float64, command []string, keep string) (soakRun, error) {
	run := soakRun{Seed: seed}
	text := scenario.SoakScenario(seed, relays, length)
	s, err := scenario.Parse(fmt.Sprintf("soak-%d.toml", seed), []byte(text))
	if err != nil {
		return run, err
	}
	kept, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return run, err
	}
	defer os.RemoveAll(kept)
	for run.Tries < soakTries && (run.Tries == 0 || run.Void) {
		run.Tries++
		if run.Result, err = harness.Run(c.Context(), s, harness.Options{Seed: seed, RelayCommand: command, KeepDir: kept}); err != nil {
			return run, err
		}
	}
	if keep == "" || run.Passed() {
		return run, nil
	}
	run.Script = filepath.Join(keep, fmt.Sprintf("soak-%d.toml", seed))
	if err := os.MkdirAll(keep, 0o755); err != nil {
		return run, err
	}
	logs := filepath.Join(keep, fmt.Sprintf("soak-%d", seed)) // what an earlier soak kept of this seed makes room
	return run, errors.Join(os.WriteFile(run.Script, []byte(text), 0o644), os.RemoveAll(logs), os.CopyFS(logs, os.DirFS(kept)))
}

func printSoak(out io.Writer, run *soakRun) {
	verdict := "kept"
	switch {
	case run.Void:
		verdict = "void"
	case !run.Passed():
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "seed %4d  %-6s  worth %.3f  %4d messages  %3d breaches  %3d faults  %.2f%% late  %d tries\n", run.Seed, verdict, run.DeliveredWeight.Total,
		run.Counts.Requested, len(run.Violations), len(run.Failures), 100*run.LateShare, run.Tries)
	if run.Passed() {
		return
	}
	for _, b := range run.Violations {
		fmt.Fprintf(out, "      %v\n", b)
	}
	for _, f := range run.Failures {
		fmt.Fprintf(out, "      %s\n", f)
	}
}
