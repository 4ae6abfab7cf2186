package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"frostlink/internal/fleettask"
)

func exportCatCommand(s *coordService) *cobra.Command {
	f := &exportFlags{service: s}
	c := &cobra.Command{
		Use:     "cat",
		Short:   "Print all records of the export as lines of JSON, in the order in which they were added",
		Example: "  frostlinkctl export cat --folder /shared/export --operator deploy/frostlink.toml >all.jsonl",
		Args:    cobra.NoArgs,
		RunE:    f.cat,
	}
	f.add(c)
	return c
}

func (f *exportFlags) cat(c *cobra.Command, _ []string) error {
	if err := f.service.open(); err != nil {
		return err
	}
	ledger, err := f.ledger(c.Context())
	if err != nil {
		return err
	}
	chain, err := ledger.VerifyChain(f.readHeader)
	if err != nil {
		return err
	}
	printRecord := func(record []byte) error {
		_, err := fmt.Fprintf(c.OutOrStdout(), "%s\n", record)
		return err //nolint:wrapcheck // the error of a write to standard output names it
	}
	for _, slice := range chain {
		if _, err := fleettask.ReadSlice(f.folder, slice.Name, printRecord); err != nil {
			return err
		}
	}
	return nil
}
