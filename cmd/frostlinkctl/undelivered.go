package main

import (
	"time"

	"github.com/spf13/cobra"
)

func undeliveredCommand() *cobra.Command {
	var f storeFlags
	c := &cobra.Command{
		Use:   "undelivered",
		Short: "Inspect and decide on messages that were accepted but not delivered",
		Long: "Inspect and decide on messages that were accepted but not delivered. The messages of a running relay are accessed through its\n" +
			"socket, the messages of a stopped relay in its folder. The operator's file names the socket and the folder.",
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

// localTime formats a time in the local time zone.
func localTime(t time.Time) string { return t.Local().Format(timestampLayout) }
