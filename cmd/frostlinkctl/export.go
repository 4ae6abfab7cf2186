package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord/api"
	"frostlink/internal/fleettask"
)

func exportCommand() *cobra.Command {
	s := &service{}
	c := &cobra.Command{
		Use:     "export",
		Short:   "Check and read what all relays have collected of their undelivered messages",
		Long:    "Check and read what all relays have collected of their undelivered messages: docs/operators/coordination.md.",
		Example: "  frostlinkctl export check --operator deploy/frostlink.toml",
	}
	s.flags(c)
	c.AddCommand(s.exportCheck(), s.exportCat())
	return c
}

// ledger reads what of the export counts.
func (s *service) ledger(ctx context.Context) (fleettask.Ledger, error) {
	a, err := s.lead(ctx, api.PathRead, api.Request{Query: &api.Query{Values: fleettask.ExportKey}})
	if err != nil {
		return fleettask.Ledger{}, err
	}
	for _, v := range a.Values {
		if v.Key == fleettask.ExportKey {
			return fleettask.DecodeLedger(v.Value)
		}
	}
	return fleettask.DecodeLedger(nil)
}

// folderFlag adds the flag that names the export's folder.
func folderFlag(c *cobra.Command, folder *string) {
	c.Flags().StringVar(folder, "folder", "", "the export's `folder`")
	_ = c.MarkFlagRequired("folder")
}

// checked is what an export came to.
type checked struct {
	fleettask.Ledger
	Fault string `json:"fault,omitempty"`
}

func (s *service) exportCheck() *cobra.Command {
	var folder string
	c := s.command(&cobra.Command{
		Use:   "check",
		Short: "Check that each record is in the export once",
		Long: "Read all slices that count, from the last one back: each follows the one before of its relay without a gap and without a record\n" +
			"twice. Other files in the folder count for nothing.\nExit codes: 0 fine, 1 something is wrong, 2 could not run.",
		Example: "  frostlinkctl export check --folder /shared/export --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, func(c *cobra.Command, _ []string) (any, error) {
		l, err := s.ledger(c.Context())
		if err != nil {
			return nil, err
		}
		v := checked{Ledger: l}
		if _, err := l.VerifyChain(func(name string) (fleettask.SliceHeader, error) { return fleettask.ReadSlice(folder, name, nil) }); err != nil {
			v.Fault = err.Error()
		}
		return v, nil
	}, func(out io.Writer, v any) error {
		e := v.(checked)
		fmt.Fprintf(out, "%d records of %d relays in %d slices\n", e.Records, len(e.Positions), e.Slices)
		if e.Fault != "" {
			fmt.Fprintln(out, e.Fault)
			return cli.ErrFindings
		}
		return nil
	})
	folderFlag(c, &folder)
	return c
}

func (s *service) exportCat() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use:     "cat",
		Short:   "Print all records of the export, a line of JSON each, in the order in which they were added",
		Example: "  frostlinkctl export cat --folder /shared/export --operator deploy/frostlink.toml >all.jsonl",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.open(); err != nil {
				return err
			}
			l, err := s.ledger(c.Context())
			if err != nil {
				return err
			}
			chain, err := l.VerifyChain(func(name string) (fleettask.SliceHeader, error) { return fleettask.ReadSlice(folder, name, nil) })
			if err != nil {
				return err
			}
			for _, h := range chain {
				if _, err := fleettask.ReadSlice(folder, h.Name, func(raw []byte) error {
					_, err := fmt.Fprintf(c.OutOrStdout(), "%s\n", raw)
					return err
				}); err != nil {
					return err
				}
			}
			return nil
		},
	}
	folderFlag(c, &folder)
	return c
}
