package main

import (
	"time"

	"github.com/spf13/cobra"
)

func undeliveredCommand() *cobra.Command {
	var f storeFlags
	c := &cobra.Command{
		Use:   "undelivered",
		Short: "Look at and decide on messages that were taken on and not delivered",
		Long: "Look at and decide on messages that were taken on and not delivered: on a running relay by its socket, on a\n" +
			"stopped one's folder. Both are named in the operator's file.",
		Example: "  frostlinkctl undelivered list --operator deploy/frostlink.toml --class fee-payment",
	}
	f.add(c)
	c.AddCommand(deadLetterListCommand(&f), deadLetterShowCommand(&f), deadLetterStatsCommand(&f), deadLetterCheckCommand(&f),
		deadLetterVerifyCommand(&f), deadLetterExportCommand(&f), deadLetterImportCommand(&f),
		deadLetterAttestCommand(&f))
	for _, d := range decisions {
		c.AddCommand(deadLetterDecisionCommand(&f, d))
	}
	return c
}

// localTime returns an instant as the tool prints it, in the zone of whoever reads it.
func localTime(t time.Time) string { return t.Local().Format(timestampLayout) }
