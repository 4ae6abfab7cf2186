package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"frostlink/internal/faultinjection/harness"
)

// scenarioRunFlags are the flags of scenario run.
type scenarioRunFlags struct {
	playFlags
	keepFolder string
	quiet      bool
}

func scenarioRunCommand() *cobra.Command {
	var f scenarioRunFlags
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play a script and check the rules",
		Long: "Play a script and check the platform's rules. The run lasts as long as the script says, plus the time that the last messages need.\n" +
			"Exit codes: 0 success, 1 a rule was broken or a relay crashed, 2 could not run or the machine was too busy.",
		Example: "  frostlinkctl scenario run scenarios/fiscal-year-end.toml --seed 7 --json out.json --keep logs",
		Args:    cobra.ExactArgs(1),
		RunE:    f.run,
	}
	f.add(c)
	c.Flags().StringVar(&f.keepFolder, "keep", "", "keep the event log, the relays' logs and stores in this `folder`")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress lines")
	return c
}

func (f *scenarioRunFlags) run(c *cobra.Command, args []string) error {
	s, options, err := f.prepare(c, args[0])
	if err != nil {
		return err
	}
	options.KeepDir = f.keepFolder
	if f.jsonFile != stdout && !f.quiet {
		options.Progress = c.ErrOrStderr()
	}
	out := textOutput(c.OutOrStdout(), f.jsonFile)
	fmt.Fprintf(out, "%s, seed %d: %s\n%d relays, %d partners, %.0f messages a second for %.0f s\n", s.Name, f.seed, s.About,
		s.Relays, len(s.Destinations), s.Load.Rate, s.Length)
	result, err := harness.Run(c.Context(), s, options)
	if err != nil {
		return err
	}
	result.Print(out)
	if err := writeJSON(c.OutOrStdout(), f.jsonFile, result); err != nil {
		return err
	}
	if result.Void {
		return fmt.Errorf("void: %.2f%% of the harness's events were more than 5 ms late", 100*result.LateShare)
	}
	return findings(!result.Passed())
}
