package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/strictconfig"
)

// scenarioCheckFlags are the flags of scenario check.
type scenarioCheckFlags struct {
	json bool
}

func scenarioCheckCommand() *cobra.Command {
	var f scenarioCheckFlags
	c := &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check scripts, and list all errors in them",
		Example: "  frostlinkctl scenario check scenarios/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE:    f.run,
	}
	c.Flags().BoolVar(&f.json, "json", false, "print the problems as JSON")
	return c
}

func (f *scenarioCheckFlags) run(c *cobra.Command, paths []string) error {
	out := c.OutOrStdout()
	problems := strictconfig.FieldErrors{}
	for _, path := range paths {
		s, err := readScenario(path)
		var fieldErrors strictconfig.FieldErrors
		switch {
		case errors.As(err, &fieldErrors):
			problems = append(problems, fieldErrors...)
		case err != nil:
			return err
		case !f.json:
			fmt.Fprintf(out, "%s: fine; %.0f messages, %d relays, %d partners, %d events\n", path, s.Load.Rate*s.Length,
				s.Relays, len(s.Destinations), len(s.Faults))
		}
	}
	if err := printResult(out, f.json, problems, func(out io.Writer) error { return printProblems(out, problems) }); err != nil {
		return err
	}
	return findings(len(problems) > 0)
}

func printProblems(out io.Writer, problems strictconfig.FieldErrors) error {
	if len(problems) > 0 {
		fmt.Fprintln(out, problems.Error())
	}
	return nil
}
