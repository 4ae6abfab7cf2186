package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// deadLetterVerifyFlags are the flags of undelivered verify.
type deadLetterVerifyFlags struct {
	store *storeFlags
}

func deadLetterVerifyCommand(store *storeFlags) *cobra.Command {
	f := &deadLetterVerifyFlags{store: store}
	return onStore(&cobra.Command{
		Use:     "verify",
		Short:   "Read the whole store, and list damaged records",
		Example: "  frostlinkctl undelivered verify --folder store",
		Args:    cobra.NoArgs,
	}, store, readOnly, f.verify)
}

func (f *deadLetterVerifyFlags) verify(c *cobra.Command, store *deadletter.Client, _ []string) error {
	verified, err := store.Verify(c.Context())
	if err != nil {
		return err
	}
	printText := func(out io.Writer) error { return printVerified(out, &verified) }
	if err := printResult(c.OutOrStdout(), f.store.json, verified, printText); err != nil {
		return err
	}
	return findings(len(verified.Faults) > 0)
}

func printVerified(out io.Writer, v *deadletter.Verified) error {
	for _, fault := range v.Faults {
		fmt.Fprintf(out, "%s: %s\n", fault.Where, fault.What)
	}
	fmt.Fprintf(out, "%d messages are whole, %d faults\n", v.Good, len(v.Faults))
	return nil
}
