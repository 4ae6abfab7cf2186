package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

// exportPageSize is the number of messages that are listed per call.
const exportPageSize = 500

// deadLetterExportFlags are the flags of undelivered export.
type deadLetterExportFlags struct {
	filter filterFlags
	file   string
}

func deadLetterExportCommand(store *storeFlags) *cobra.Command {
	f := &deadLetterExportFlags{}
	c := onStore(&cobra.Command{
		Use:     "export",
		Short:   "Write messages with their bodies as lines of JSON",
		Example: "  frostlinkctl undelivered export --folder store --state held --to held.jsonl",
		Args:    cobra.NoArgs,
	}, store, readOnly, f.export)
	f.filter.add(c)
	c.Flags().StringVar(&f.file, "to", stdout, "the `file` to write, which must not exist; - means standard output")
	return c
}

func (f *deadLetterExportFlags) export(c *cobra.Command, store *deadletter.Client, _ []string) (err error) {
	out := c.OutOrStdout()
	if f.file != stdout {
		file, err := os.OpenFile(f.file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600) // an existing file is not overwritten
		if err != nil {
			return err //nolint:wrapcheck // the error names the operation and the file
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = file
	}
	e := &deadLetterExport{store: store, out: bufio.NewWriter(out), errs: c.ErrOrStderr()}
	if err := e.write(c.Context(), f.filter.filter(c)); err != nil {
		return err
	}
	fmt.Fprintf(c.ErrOrStderr(), "%d messages exported, %d damaged\n", e.written, e.damaged)
	return findings(e.damaged > 0)
}

// deadLetterExport writes the messages of a store to a file.
type deadLetterExport struct {
	store   *deadletter.Client
	out     *bufio.Writer
	errs    io.Writer // receives the errors of damaged messages
	written int
	damaged int
}

// write writes all messages that a filter matches, page by page.
func (e *deadLetterExport) write(ctx context.Context, filter *deadletter.Filter) error {
	for from, more := uint64(0), true; more; {
		page, err := e.store.List(ctx, filter, from, exportPageSize)
		if err != nil {
			return err
		}
		for _, record := range page.Messages {
			if err := e.writeMessage(ctx, record); err != nil {
				return err
			}
		}
		e.damaged += page.Damaged
		from, more = page.Next, page.Next > 0
	}
	return e.out.Flush() //nolint:wrapcheck // the error names the operation and the file
}

// writeMessage writes a message with its body. If the body can't be read, it prints the error and counts the message as damaged.
func (e *deadLetterExport) writeMessage(ctx context.Context, record *deadletter.Record) error {
	body, err := e.store.Body(ctx, record.ID)
	if err != nil {
		e.damaged++
		fmt.Fprintf(e.errs, "%s: %v\n", record.ID, err)
		return nil
	}
	line, err := json.Marshal(deadletter.Exported{Record: *record, Body: body})
	if err != nil {
		return fmt.Errorf("encode message %s: %w", record.ID, err)
	}
	if _, err := e.out.Write(append(line, '\n')); err != nil {
		return err //nolint:wrapcheck // the error names the operation and the file
	}
	e.written++
	return nil
}
