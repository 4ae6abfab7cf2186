package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

// allLeases selects all leases in a query of the history.
const allLeases = "*"

func leaseHistoryCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "history [LEASE]",
		Short:   "Show the recent events of a lease, or of all leases",
		Long:    fmt.Sprintf("Show the recent events of a lease, or of all leases. The service keeps the last %d events, or up to a quarter fewer.", coord.MaxRetainedEvents),
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
		return []coord.Event{}, err // encoded as [] in JSON if empty
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
