package main

import (
	"bufio"
	"fmt"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/deadletter"
)

// idsFromStdin is the argument for reading ids from standard input, for example from a list that staff have checked against a
// destination's ledger.
const idsFromStdin = "-"

// decision is a command that decides on messages; rules have an action of the same name.
type decision struct {
	command        string
	help           string
	reasonRequired bool
}

var decisions = []decision{
	{command: deadletter.HoldCommand, help: "Hold a message, so that no rule resends it"},
	{command: deadletter.RedeliverCommand, help: "Resend a message, if its class allows it"},
	{command: deadletter.DiscardCommand, help: "Discard a message, with a reason", reasonRequired: true},
}

// decisionFlags are the flags of the commands that decide on messages by their ids.
type decisionFlags struct {
	store   *storeFlags
	command string
	order   deadletter.Command
}

func deadLetterDecisionCommand(store *storeFlags, d decision) *cobra.Command {
	f := &decisionFlags{store: store, command: d.command}
	c := onStore(&cobra.Command{
		Use:     d.command + " ID... | -",
		Short:   d.help,
		Example: fmt.Sprintf("  frostlinkctl undelivered %s 4f0c2a9d1b770000 --folder store --why \"the bank has booked it\"", d.command),
		Args:    cobra.MinimumNArgs(1),
	}, store, readWrite, f.decide)
	c.Flags().StringVar(&f.order.By, "by", currentUser(), "who decides")
	c.Flags().StringVar(&f.order.Reason, "why", "", "the reason")
	if d.reasonRequired {
		_ = c.MarkFlagRequired("why") // fails only for a flag that does not exist
	}
	return c
}

func deadLetterAttestCommand(store *storeFlags) *cobra.Command {
	f := &decisionFlags{store: store, command: deadletter.AttestCommand}
	c := onStore(&cobra.Command{
		Use:   "attest ID... | -",
		Short: "Attest that the partner did not receive a message that may have run",
		Long: "Attest that the partner did not receive a message that may have run. The attestation is kept permanently and shown\n" +
			"with the message, and allows one resend. With - the ids are read from standard input, for example a list checked against a ledger.",
		Example: "  frostlinkctl undelivered attest 4f0c2a9d1b770000 --folder store --by \"Amina Khan\" --evidence \"ledger of 30 June, page 7\"",
		Args:    cobra.MinimumNArgs(1),
	}, store, readWrite, f.decide)
	c.Flags().StringVar(&f.order.By, "by", "", "who attests it")
	c.Flags().StringVar(&f.order.Evidence, "evidence", "", "the evidence")
	_, _ = c.MarkFlagRequired("by"), c.MarkFlagRequired("evidence") // fail only for flags that do not exist
	return c
}

// decide applies the decision to each message. If the store rejects it for one message, decide continues with the next.
func (f *decisionFlags) decide(c *cobra.Command, store *deadletter.Client, ids []string) error {
	if len(ids) == 1 && ids[0] == idsFromStdin {
		ids = readIDs(c)
	}
	rejected := false
	decided := []*deadletter.Record{} // encoded as [] in JSON if empty
	for _, id := range ids {
		record, err := store.Command(c.Context(), f.command, id, f.order)
		if err != nil {
			rejected = true
			fmt.Fprintln(c.ErrOrStderr(), err)
			continue
		}
		decided = append(decided, record)
		if !f.store.json {
			fmt.Fprintf(c.OutOrStdout(), "%s: %s, %s\n", record.ID, record.State, record.Reason)
		}
	}
	if f.store.json {
		if err := cli.WriteJSON(c.OutOrStdout(), stdout, decided); err != nil {
			return err
		}
	}
	return findings(rejected)
}

// readIDs reads ids from standard input, one or more per line.
func readIDs(c *cobra.Command) []string {
	var ids []string
	for lines := bufio.NewScanner(c.InOrStdin()); lines.Scan(); {
		ids = append(ids, strings.Fields(lines.Text())...)
	}
	return ids
}

// currentUser returns the name of the user who runs the tool, or an empty string if it is not known.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
