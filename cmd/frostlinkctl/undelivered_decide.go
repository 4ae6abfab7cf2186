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

// idsFromStdin is the argument that stands for ids on standard input, as from a list that staff have checked against a destination's ledger.
const idsFromStdin = "-"

// attestAction is the store's name of an attestation. The other actions are those of rules.
const attestAction = "attest"

// decision is a command that does with messages what a rule does by its action.
type decision struct {
	action         string
	help           string
	reasonRequired bool
}

var decisions = []decision{
	{action: deadletter.Hold, help: "Hold a message: no rule resends it"},
	{action: deadletter.Redeliver, help: "Have a message resent, where its class allows it"},
	{action: deadletter.Discard, help: "Discard a message, with a reason", reasonRequired: true},
}

// decisionFlags are the flags of the commands that decide on messages by their ids.
type decisionFlags struct {
	store  *storeFlags
	action string
	order  deadletter.Command
}

func deadLetterDecisionCommand(store *storeFlags, d decision) *cobra.Command {
	f := &decisionFlags{store: store, action: d.action}
	c := onStore(&cobra.Command{
		Use:     d.action + " ID... | -",
		Short:   d.help,
		Example: fmt.Sprintf("  frostlinkctl undelivered %s 4f0c2a9d1b770000 --folder store --why \"the bank has booked it\"", d.action),
		Args:    cobra.MinimumNArgs(1),
	}, store, readWrite, f.decide)
	c.Flags().StringVar(&f.order.By, "by", currentUser(), "who wants it")
	c.Flags().StringVar(&f.order.Reason, "why", "", "why")
	if d.reasonRequired {
		_ = c.MarkFlagRequired("why") // it fails only for a flag that does not exist
	}
	return c
}

func deadLetterAttestCommand(store *storeFlags) *cobra.Command {
	f := &decisionFlags{store: store, action: attestAction}
	c := onStore(&cobra.Command{
		Use:   "attest ID... | -",
		Short: "State by name that the partner does not have a message that may have run",
		Long: "State by name that the partner does not have a message that may have run. It is kept and shown for ever, and\n" +
			"allows one resend. - stands for ids on standard input, as from a list that was checked against a ledger.",
		Example: "  frostlinkctl undelivered attest 4f0c2a9d1b770000 --folder store --by \"Amina Khan\" --evidence \"ledger of 30 June, page 7\"",
		Args:    cobra.MinimumNArgs(1),
	}, store, readWrite, f.decide)
	c.Flags().StringVar(&f.order.By, "by", "", "who attests it")
	c.Flags().StringVar(&f.order.Evidence, "evidence", "", "on what evidence")
	_, _ = c.MarkFlagRequired("by"), c.MarkFlagRequired("evidence") // they fail only for flags that do not exist
	return c
}

// decide carries the decision out on each message, and goes on where the store rejects it for one.
func (f *decisionFlags) decide(c *cobra.Command, store *deadletter.Client, ids []string) error {
	if len(ids) == 1 && ids[0] == idsFromStdin {
		ids = readIDs(c)
	}
	rejected := false
	decided := []*deadletter.Record{} // none is [] in JSON
	for _, id := range ids {
		record, err := store.Command(c.Context(), f.action, id, f.order)
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

// readIDs reads ids from standard input, several a line or one.
func readIDs(c *cobra.Command) []string {
	var ids []string
	for lines := bufio.NewScanner(c.InOrStdin()); lines.Scan(); {
		ids = append(ids, strings.Fields(lines.Text())...)
	}
	return ids
}

// currentUser returns the name of whoever runs the tool, or none where it is not known.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
