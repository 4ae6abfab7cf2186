// Command frostlinkctl is the operator's tool: it rehearses incidents and decides on undelivered messages, a sub-command a
// subsystem.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit codes of every command.
const (
	exitFine  = 0
	exitFound = 1 // it found something
	exitFail  = 2 // it could not run
)

// errFound says that a command did its work and found something wrong; it has been printed.
var errFound = errors.New("found something")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:           "frostlinkctl",
		Short:         "The operator's tool for frostlink relays",
		Long:          "The operator's tool for frostlink relays.\nExit codes: 0 fine, 1 found something, 2 could not run.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(rehearseCommand(), undeliveredCommand(), fleetCommand())
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	switch err := root.ExecuteContext(ctx); {
	case err == nil:
		return exitFine
	case errors.Is(err, errFound):
		return exitFound
	default:
		fmt.Fprintln(errs, err)
		return exitFail
	}
}
