package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/fleettask"
)

// checkedExport is the result of checking an export.
type checkedExport struct {
	fleettask.Ledger
	Fault string `json:"fault,omitempty"`
}

func exportCheckCommand(s *coordService) *cobra.Command {
	f := &exportFlags{service: s}
	c := newServiceCall(&cobra.Command{
		Use:   "check",
		Short: "Check that each record is in the export exactly once",
		Long: "Read all slices of the export, from the last one back, and check that each continues the previous slice of its relay without a gap\n" +
			"or a repeated record. Other files in the folder are ignored.\nExit codes: 0 success, 1 problems found, 2 could not run.",
		Example: "  frostlinkctl export check --folder /shared/export --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, s, f.check, printCheckedExport)
	f.add(c)
	return c
}

func (f *exportFlags) check(c *cobra.Command, _ []string) (checkedExport, error) {
	ledger, err := f.ledger(c.Context())
	if err != nil {
		return checkedExport{}, err
	}
	checked := checkedExport{Ledger: ledger}
	if _, err := ledger.VerifyChain(f.readHeader); err != nil {
		checked.Fault = err.Error()
	}
	return checked, nil
}

func printCheckedExport(out io.Writer, e checkedExport) error {
	fmt.Fprintf(out, "%d records of %d relays in %d slices\n", e.Records, len(e.Positions), e.Slices)
	if e.Fault != "" {
		fmt.Fprintln(out, e.Fault)
	}
	return findings(e.Fault != "")
}
