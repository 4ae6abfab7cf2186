package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the tool with its arguments and returns its exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:   "frostlinkctl",
		Short: "The operator's tool for frostlink relays",
		Long:  "The operator's tool for frostlink relays.\nExit codes: 0 success, 1 problems found, 2 could not run.",
	}
	root.AddCommand(scenarioCommand(), undeliveredCommand(), fleetCommand(), coordCommand(), leaseCommand(), exportCommand(),
		deprecatedAlias(scenarioCommand(), "rehearse"))
	warnDeprecated(root, args, errs)
	return cli.Run(ctx, root, args, in, out, errs)
}
