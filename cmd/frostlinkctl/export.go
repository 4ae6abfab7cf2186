package main

import (
	"context"

	"github.com/spf13/cobra"

	"frostlink/internal/coord/api"
	"frostlink/internal/fleettask"
)

func exportCommand() *cobra.Command {
	s := &coordService{}
	c := &cobra.Command{
		Use:     "export",
		Short:   "Check and read the export of all relays' undelivered messages",
		Long:    "Check and read the export of all relays' undelivered messages. See docs/operators/coordination.md.",
		Example: "  frostlinkctl export check --operator deploy/frostlink.toml",
	}
	s.addFlags(c)
	c.AddCommand(exportCheckCommand(s), exportCatCommand(s))
	return c
}

// exportFlags are the flags of the commands on the export.
type exportFlags struct {
	service *coordService
	folder  string
}

func (f *exportFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.folder, "folder", "", "the export's `folder`")
	_ = c.MarkFlagRequired("folder") // fails only for a flag that does not exist
}

// ledger reads the export's ledger, which lists the slices that belong to the export, from the coordination service.
func (f *exportFlags) ledger(ctx context.Context) (fleettask.Ledger, error) {
	response, err := f.service.read(ctx, api.Query{Values: fleettask.ExportKey})
	if err != nil {
		return fleettask.Ledger{}, err
	}
	for _, value := range response.Values {
		if value.Key == fleettask.ExportKey {
			return fleettask.DecodeLedger(value.Value)
		}
	}
	return fleettask.DecodeLedger(nil)
}

// readHeader reads a slice to its end and returns its header.
func (f *exportFlags) readHeader(name string) (fleettask.SliceHeader, error) {
	return fleettask.ReadSlice(f.folder, name, nil)
}
