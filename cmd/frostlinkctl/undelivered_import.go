package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"frostlink/internal/deadletter"
)

func deadLetterImportCommand(store *storeFlags) *cobra.Command {
	return onStore(&cobra.Command{
		Use:     "import FILE",
		Short:   "Import exported messages; messages without a final state are held",
		Example: "  frostlinkctl undelivered import held.jsonl --folder store",
		Args:    cobra.ExactArgs(1),
	}, store, readWrite, importDeadLetters)
}

func importDeadLetters(c *cobra.Command, store *deadletter.Client, args []string) error {
	file, err := os.Open(args[0])
	if err != nil {
		return err //nolint:wrapcheck // the error names the operation and the file
	}
	defer func() { _ = file.Close() }() // the file is only read
	read, added, err := importMessages(c.Context(), store, file)
	if err != nil {
		return fmt.Errorf("%s: message %d: %w", args[0], read+1, err)
	}
	fmt.Fprintf(c.OutOrStdout(), "%d messages read, %d of them news\n", read, added)
	return nil
}

// importMessages imports messages into the store until one fails. It returns how many it imported, and how many of these were new to the
// store.
func importMessages(ctx context.Context, store *deadletter.Client, in io.Reader) (read, added int, err error) {
	for messages := json.NewDecoder(in); ; read++ {
		var message deadletter.Exported
		if err := messages.Decode(&message); errors.Is(err, io.EOF) {
			return read, added, nil
		} else if err != nil {
			return read, added, err //nolint:wrapcheck // the caller adds the file and the message
		}
		isNew, err := store.Import(ctx, &message)
		if err != nil {
			return read, added, err
		}
		if isNew {
			added++
		}
	}
}
