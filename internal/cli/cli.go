// Package cli contains the code that all command-line tools share: their exit codes and the output of JSON.
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
	ExitOK       = 0
	ExitFindings = 1 // the command completed and found problems
	ExitError    = 2 // the command could not complete
)

// ErrFindings is returned by a command that completed, and found and printed problems.
var ErrFindings = errors.New("problems found")

// stdout is the path that means standard output.
const stdout = "-"

// Run runs a command, prints its error to errs, and returns the exit code.
func Run(ctx context.Context, root *cobra.Command, args []string, in io.Reader, out, errs io.Writer) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrFindings):
		return ExitFindings
	default:
		fmt.Fprintln(errs, err)
		return ExitError
	}
}

// WriteJSON writes a value as indented JSON to a file, or to out if the path is "-".
func WriteJSON(out io.Writer, path string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode as JSON: %w", err)
	}
	raw = append(raw, '\n')
	if path == stdout {
		if _, err := out.Write(raw); err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
		return nil
	}
	return os.WriteFile(path, raw, 0o644) //nolint:wrapcheck // the error names the operation and the file
}
