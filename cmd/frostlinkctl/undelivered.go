package main

import (
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
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
		deadLetterDecisionCommand(&f, deadletter.Hold, "Hold a message: no rule resends it", false),
		deadLetterDecisionCommand(&f, deadletter.Redeliver, "Have a message resent, where its class allows it", false),
		deadLetterDecisionCommand(&f, deadletter.Discard, "Discard a message, with a reason", true),
		deadLetterAttestCommand(&f))
	return c
}

// localTime returns an instant as the tool prints it, in the zone of whoever reads it.
func localTime(t time.Time) string { return t.Local().Format(timestampLayout) }
