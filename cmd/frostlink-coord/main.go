package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	root := &cobra.Command{
		Use:     "frostlink-coord",
		Short:   "The coordination service: leases, fencing tokens and small values on a quorum of processes",
		Long:    "The coordination service of a fleet of relays. It is described in docs/operators/coordination.md.\nExit codes: 0 success, 1 problems found, 2 could not run.",
		Example: "  frostlink-coord prove --seeds 1000",
	}
	root.AddCommand(initCommand(), joinCommand(), runCommand(), verifyCommand(), proveCommand())
	code := cli.Run(ctx, root, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
