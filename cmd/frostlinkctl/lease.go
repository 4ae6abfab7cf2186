package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

func leaseCommand() *cobra.Command {
	s := &coordService{}
	c := &cobra.Command{
		Use:     "lease",
		Short:   "Inspect and revoke the fleet's leases",
		Long:    "Inspect and revoke the fleet's leases. See docs/operators/coordination.md.",
		Example: "  frostlinkctl lease list --operator deploy/frostlink.toml",
	}
	s.addFlags(c)
	c.AddCommand(leaseListCommand(s), leaseShowCommand(s), leaseRevokeCommand(s), leaseHistoryCommand(s))
	return c
}

// leases returns the held leases whose names have a prefix.
func (s *coordService) leases(ctx context.Context, prefix string) ([]coord.Lease, error) {
	response, err := s.read(ctx, api.Query{Leases: prefix + "*"})
	if response.Leases == nil {
		return []coord.Lease{}, err // encoded as [] in JSON if empty
	}
	return response.Leases, err
}

// lease returns a lease that is held. If the lease is free, it prints that and returns cli.ErrFindings.
func (s *coordService) lease(c *cobra.Command, name string) (coord.Lease, error) {
	leases, err := s.leases(c.Context(), name)
	if err != nil {
		return coord.Lease{}, err
	}
	for _, lease := range leases {
		if lease.Name == name {
			return lease, nil
		}
	}
	fmt.Fprintf(c.OutOrStdout(), "%s is free\n", name)
	return coord.Lease{}, cli.ErrFindings
}

// eventTime returns the time of an event of the service, by the wall clock of the leader at that time.
func eventTime(e *coord.Event) string {
	return time.UnixMilli(e.WallMillis).UTC().Format(timestampLayout)
}
