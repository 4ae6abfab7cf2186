// Package cli is what the commands for people have in common: exit codes and where JSON goes.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes of every command.
const (
	ExitFine  = 0
	ExitFound = 1 // it found something
	ExitFail  = 2 // it could not run
)

// ErrFound says that a command did its work and found something wrong; it has been printed.
var ErrFound = errors.New("found something")

// Run runs a command and gives its exit code.
func Run(ctx context.Context, root *cobra.Command, args []string, in io.Reader, out, errs io.Writer) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return ExitFine
	case errors.Is(err, ErrFound):
		return ExitFound
	default:
		fmt.Fprintln(errs, err)
		return ExitFail
	}
}

// WriteJSON writes a value to a file, or to standard output for -.
func WriteJSON(out io.Writer, path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	raw = append(raw, '\n')
	if path == "-" {
		_, err = out.Write(raw)
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}
