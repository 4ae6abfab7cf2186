package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
)

func coordVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "verify FILE",
		Short:   "Check a state that was saved with coord snapshot",
		Long:    "Check a state that was saved with coord snapshot. Use frostlink-coord verify to check the folder of a member.",
		Example: "  frostlinkctl coord verify state.json",
		Args:    cobra.ExactArgs(1),
		RunE:    verifySnapshot,
	}
}

func verifySnapshot(c *cobra.Command, args []string) error {
	state, err := os.ReadFile(args[0])
	if err != nil {
		return err //nolint:wrapcheck // the error names the operation and the file
	}
	m, err := coord.Restore(state)
	if err != nil {
		fmt.Fprintf(c.OutOrStdout(), "%s: %v\n", args[0], err)
		return cli.ErrFindings
	}
	counts := m.Counts()
	fmt.Fprintf(c.OutOrStdout(), "cluster %s, entry %d: %d sessions, %d leases, %d values of %d bytes\n", m.Cluster(), m.Index(), counts.Sessions,
		counts.Leases, counts.Values, counts.ValueBytes)
	return nil
}
