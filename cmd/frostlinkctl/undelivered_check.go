package main

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
	"frostlink/internal/operatorconfig"
	"frostlink/internal/relay"
)

// deadLetterCheckFlags are the flags of undelivered check.
type deadLetterCheckFlags struct {
	store      *storeFlags
	configFile string // the platform's configuration of the relay
}

func deadLetterCheckCommand(store *storeFlags) *cobra.Command {
	f := &deadLetterCheckFlags{store: store}
	c := onStore(&cobra.Command{
		Use:   "check",
		Short: "Show what the operator's rules would do with the messages now in the store; nothing is changed",
		Long: "Show what the operator's rules would do with the messages now in the store; nothing is changed. Rules that a class\n" +
			"does not allow are refused. A running relay supplies its classes; for a stopped relay name its configuration file with --config.",
		Example: "  frostlinkctl undelivered check --operator deploy/frostlink.toml --config config.json",
		Args:    cobra.NoArgs,
	}, store, readOnly, f.check)
	c.Flags().StringVar(&f.configFile, "config", "", "the relay's configuration `file` from the platform")
	return c
}

func (f *deadLetterCheckFlags) check(c *cobra.Command, store *deadletter.Client, _ []string) error {
	request, err := f.dryRun()
	if err != nil {
		return err
	}
	results, err := store.Check(c.Context(), request)
	if err != nil {
		return err
	}
	printText := func(out io.Writer) error { return printDryRun(out, results, request.Rules) }
	if err := printResult(c.OutOrStdout(), f.store.json, results, printText); err != nil {
		return err
	}
	return findings(slices.ContainsFunc(results, func(r deadletter.DryRunResult) bool { return len(r.Faults) > 0 }))
}

// dryRun returns a request with the operator's rules and, if the relay's configuration is given, its classes.
func (f *deadLetterCheckFlags) dryRun() (request deadletter.DryRunRequest, err error) {
	if f.store.operatorFile == "" {
		return request, errors.New("--operator: missing; it names the file with the rules")
	}
	config, err := operatorconfig.Read(f.store.operatorFile)
	if err != nil {
		return request, err
	}
	request.Rules = config.DeadLetter.Rules
	if f.configFile != "" {
		relayConfig, err := relay.ReadConfig(f.configFile)
		if err != nil {
			return request, err
		}
		request.Classes = relayConfig.RedeliveryClasses(config.DeadLetter)
	}
	return request, nil
}

// printDryRun prints the effects of each rule. The first result, for messages that no rule matches, is printed last.
func printDryRun(out io.Writer, results []deadletter.DryRunResult, rules []deadletter.Rule) error {
	for _, r := range slices.Concat(results[1:], results[:1]) {
		if r.Rule == 0 {
			fmt.Fprintf(out, "no rule: holds %d messages\n", r.Matches)
		} else {
			fmt.Fprintf(out, "rule %d (%s): matches %d messages\n", r.Rule, rules[r.Rule-1].Action, r.Matches)
		}
		for _, fault := range r.Faults {
			fmt.Fprintf(out, "  REFUSED: it %s\n", fault)
		}
		for action, count := range r.Actions {
			fmt.Fprintf(out, "  %s now: %d\n", action, count)
		}
		for _, sample := range r.Samples {
			fmt.Fprintf(out, "  such as %s\n", sample)
		}
	}
	return nil
}
