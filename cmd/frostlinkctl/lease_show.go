package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
)

func leaseShowCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "show LEASE",
		Short:   "Show a lease: its holder and its queue of waiters",
		Long:    "Show a lease: its holder and its queue of waiters.\nExit codes: 0 held, 1 free, 2 could not run.",
		Example: "  frostlinkctl lease show export --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, s, s.showLease, printLease)
}

func (s *coordService) showLease(c *cobra.Command, args []string) (coord.Lease, error) {
	return s.lease(c, args[0])
}

func printLease(out io.Writer, l coord.Lease) error {
	fmt.Fprintf(out, "%s is held by %s (session %d) under token %d for %v, and lasts %v unless it is renewed\n", l.Name, l.Holder, l.Session, l.Token,
		l.HeldFor.Round(time.Millisecond), l.TimeLeft.Round(time.Millisecond))
	if l.Revoked {
		fmt.Fprintln(out, "it is being revoked")
	}
	if l.Reason != "" {
		fmt.Fprintf(out, "reason: %s\n", l.Reason)
	}
	for i, name := range l.Queue {
		fmt.Fprintf(out, "%4d. %s\n", i+1, name)
	}
	return nil
}
