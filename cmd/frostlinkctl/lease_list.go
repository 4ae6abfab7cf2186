package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
)

func leaseListCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "list [PREFIX]",
		Short:   "List the leases that are held",
		Example: "  frostlinkctl lease list resend/ --operator deploy/frostlink.toml",
		Args:    cobra.MaximumNArgs(1),
	}, s, s.listLeases, printLeases)
}

func (s *coordService) listLeases(c *cobra.Command, args []string) ([]coord.Lease, error) {
	return s.leases(c.Context(), strings.Join(args, ""))
}

func printLeases(out io.Writer, leases []coord.Lease) error {
	table := newTextTable(out)
	fmt.Fprintln(table, "lease\tholder\ttoken\theld for\tlasts\twait\treason")
	for _, l := range leases {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%v\t%d\t%s\n", l.Name, l.Holder, l.Token, l.HeldFor.Round(time.Millisecond),
			l.TimeLeft.Round(time.Millisecond), len(l.Queue), l.Reason)
	}
	return flushTable(table)
}
