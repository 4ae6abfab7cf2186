package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

// allLeases is the name that stands for all leases in a query of their history.
const allLeases = "*"

func leaseHistoryCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "history [LEASE]",
		Short:   "Show what became of a lease, or of all, of late",
		Long:    fmt.Sprintf("Show what became of a lease, or of all, of late. The last %d events are kept, or up to a quarter less.", coord.MaxRetainedEvents),
		Example: "  frostlinkctl lease history export --operator deploy/frostlink.toml",
		Args:    cobra.MaximumNArgs(1),
	}, s, s.leaseHistory, printLeaseHistory)
}

func (s *coordService) leaseHistory(c *cobra.Command, args []string) ([]coord.Event, error) {
	name := allLeases
	if len(args) > 0 {
		name = args[0]
	}
	response, err := s.read(c.Context(), api.Query{History: name})
	if response.History == nil {
		return []coord.Event{}, err // none is [] in JSON
	}
	return response.History, err
}

func printLeaseHistory(out io.Writer, events []coord.Event) error {
	table := newTextTable(out)
	fmt.Fprintln(table, "time\tlease\ttoken\tholder\twhat\treason")
	for _, e := range events {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", eventTime(&e), e.Lease, e.Token, e.Holder, e.Kind, e.Reason)
	}
	return flushTable(table)
}
