package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/fleettask"
)

// checkedExport is what the check of an export found.
type checkedExport struct {
	fleettask.Ledger
	Fault string `json:"fault,omitempty"`
}

func exportCheckCommand(s *coordService) *cobra.Command {
	f := &exportFlags{service: s}
	c := newServiceCall(&cobra.Command{
		Use:   "check",
		Short: "Check that each record is in the export once",
		Long: "Read all slices that count, from the last one back: each follows the one before of its relay without a gap and without a record\n" +
			"twice. Other files in the folder count for nothing.\nExit codes: 0 fine, 1 something is wrong, 2 could not run.",
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
