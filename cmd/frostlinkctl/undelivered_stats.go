package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// deadLetterStatsFlags are the flags of undelivered stats.
type deadLetterStatsFlags struct {
	store *storeFlags
}

func deadLetterStatsCommand(store *storeFlags) *cobra.Command {
	f := &deadLetterStatsFlags{store: store}
	return onStore(&cobra.Command{
		Use:     "stats",
		Short:   "Show how many messages the store holds, by class and tenant",
		Example: "  frostlinkctl undelivered stats --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, store, readOnly, f.stats)
}

func (f *deadLetterStatsFlags) stats(c *cobra.Command, store *deadletter.Client, _ []string) error {
	stats, err := store.Stats(c.Context())
	if err != nil {
		return err
	}
	return printResult(c.OutOrStdout(), f.store.json, stats, func(out io.Writer) error { return printStats(out, &stats) })
}

func printStats(out io.Writer, s *deadletter.Stats) error {
	fmt.Fprintf(out, "%d messages, %d bytes of bodies, file of %d bytes; %d listed as not kept\n", s.Messages, s.Bytes, s.File, s.Dropped)
	table := newTextTable(out)
	for state, count := range s.States {
		fmt.Fprintf(table, "%s\t%d\n", state, count)
	}
	for _, group := range s.Groups {
		fmt.Fprintf(table, "%s of %s\t%d\t%d bytes\n", group.Class, group.Tenant, group.Messages, group.Bytes)
	}
	for group, count := range s.RemovedByBound {
		fmt.Fprintf(table, "%s, left by a bound\t%d\n", group, count)
	}
	for group, count := range s.Rejected {
		fmt.Fprintf(table, "%s, refused at arrival\t%d\n", group, count)
	}
	return flushTable(table)
}
