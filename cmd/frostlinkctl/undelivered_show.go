package main

import (
	"encoding/hex"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// deadLetterShowFlags are the flags of undelivered show.
type deadLetterShowFlags struct {
	store        *storeFlags
	asHex        bool
	asQuotedText bool
}

func deadLetterShowCommand(store *storeFlags) *cobra.Command {
	f := &deadLetterShowFlags{store: store}
	c := onStore(&cobra.Command{
		Use:     "show ID",
		Short:   "Show a message with its whole history, and with its body if --hex or --text is given",
		Example: "  frostlinkctl undelivered show 4f0c2a9d1b770000 --folder store --text",
		Args:    cobra.ExactArgs(1),
	}, store, readOnly, f.show)
	c.Flags().BoolVar(&f.asHex, "hex", false, "show the body as a hex dump")
	c.Flags().BoolVar(&f.asQuotedText, "text", false, "show the body as quoted text")
	return c
}

func (f *deadLetterShowFlags) show(c *cobra.Command, store *deadletter.Client, args []string) error {
	record, err := store.Get(c.Context(), args[0])
	if err != nil {
		return err
	}
	if !f.asHex && !f.asQuotedText {
		return printResult(c.OutOrStdout(), f.store.json, record, func(out io.Writer) error { return printRecord(out, record) })
	}
	body, err := store.Body(c.Context(), args[0])
	if err != nil {
		return err
	}
	message := deadletter.Exported{Record: *record, Body: body}
	return printResult(c.OutOrStdout(), f.store.json, message, func(out io.Writer) error { return f.printMessage(out, &message) })
}

// printMessage prints a message with its body.
func (f *deadLetterShowFlags) printMessage(out io.Writer, message *deadletter.Exported) error {
	if err := printRecord(out, &message.Record); err != nil {
		return err
	}
	if f.asHex {
		fmt.Fprint(out, hex.Dump(message.Body))
	}
	if f.asQuotedText {
		fmt.Fprintf(out, "%q\n", message.Body)
	}
	return nil
}

// printRecord prints a message with its incarnations and attestations.
func printRecord(out io.Writer, r *deadletter.Record) error {
	fmt.Fprintf(out, "%s: %s to partner %d, tenant %q, key %q, %d bytes\n", r.ID, r.Class, r.Destination, r.Tenant, r.IdempotencyKey, r.BodySize)
	fmt.Fprintf(out, "%s since %s: %s\n", r.State, localTime(r.Since), r.Reason)
	if r.Subject != "" {
		fmt.Fprintf(out, "about %q\n", r.Subject)
	}
	for i, incarnation := range r.Incarnations {
		printIncarnation(out, i+1, &incarnation)
	}
	for _, attestation := range r.Attestations {
		used := "not used yet"
		if attestation.Used {
			used = "used"
		}
		fmt.Fprintf(out, "attested by %s at %s (%s): %s\n", attestation.By, localTime(attestation.At), used, attestation.Evidence)
	}
	return nil
}

// printIncarnation prints what happened to a message under one of its ids, with all attempts.
func printIncarnation(out io.Writer, ordinal int, n *deadletter.Incarnation) {
	fmt.Fprintf(out, "life %d, id %s, at %s: taken on %s, until %s, given up %s: %s (%s)\n", ordinal, n.ID, n.Relay, localTime(n.AcceptedAt),
		localTime(n.Deadline), localTime(n.CompletedAt), n.Reason, n.Status)
	if n.Attestation != nil {
		fmt.Fprintf(out, "  resent on the word of %s: %s\n", n.Attestation.By, n.Attestation.Evidence)
	}
	for _, attempt := range n.Attempts {
		end := "no end"
		if !attempt.EndedAt.IsZero() {
			end = localTime(attempt.EndedAt)
		}
		outcome := attempt.Outcome
		if outcome == "" {
			outcome = "unknown"
		}
		fmt.Fprintf(out, "  call to %s, %s to %s: %s; ran: %s\n", attempt.Endpoint, localTime(attempt.StartedAt), end, outcome, attempt.Execution)
	}
}
