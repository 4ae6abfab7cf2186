package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// deadLetterListFlags are the flags of undelivered list.
type deadLetterListFlags struct {
	store    *storeFlags
	filter   filterFlags
	from     uint64 // the number of the record at which the page begins
	pageSize int
}

func deadLetterListCommand(store *storeFlags) *cobra.Command {
	f := &deadLetterListFlags{store: store}
	c := onStore(&cobra.Command{
		Use:     "list",
		Short:   "List messages, a page at a time",
		Example: "  frostlinkctl undelivered list --folder store --state held --may-have-run",
		Args:    cobra.NoArgs,
	}, store, readOnly, f.list)
	f.filter.add(c)
	c.Flags().Uint64Var(&f.from, "from", 0, "begin at this record; the output of the previous page ends with its number")
	c.Flags().IntVar(&f.pageSize, "most", 100, "messages per page")
	return c
}

func (f *deadLetterListFlags) list(c *cobra.Command, store *deadletter.Client, _ []string) error {
	page, err := store.List(c.Context(), f.filter.filter(c), f.from, f.pageSize)
	if err != nil {
		return err
	}
	return printResult(c.OutOrStdout(), f.store.json, page, func(out io.Writer) error { return printPage(out, c.ErrOrStderr(), &page) })
}

// printPage prints a page of messages. On errs it prints how many records can't be read, and where the next page begins.
func printPage(out, errs io.Writer, page *deadletter.Listing) error {
	if err := printDeadLetters(out, page.Messages); err != nil {
		return err
	}
	if page.Damaged > 0 {
		fmt.Fprintf(errs, "%d records can't be read: see frostlinkctl undelivered verify\n", page.Damaged)
	}
	if page.Next > 0 {
		fmt.Fprintf(errs, "there is more: --from %d\n", page.Next)
	}
	return nil
}

func printDeadLetters(out io.Writer, records []*deadletter.Record) error {
	table := newTextTable(out)
	fmt.Fprintln(table, "id\tclass\ttenant\tpartner\tgiven up\treason\tattempts\tmay have run\tstate\twhy")
	for _, r := range records {
		mayHaveExecuted := "no"
		if r.MayHaveExecuted() != nil {
			mayHaveExecuted = "yes"
		}
		last := r.Last()
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", r.ID, r.Class, r.Tenant, r.Destination, localTime(last.CompletedAt),
			last.Reason, r.Attempts(), mayHaveExecuted, r.State, r.Reason)
	}
	return flushTable(table)
}
