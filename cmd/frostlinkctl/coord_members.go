package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

func coordMembersCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "members",
		Short:   "List the members according to the leader",
		Example: "  frostlinkctl coord members --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, s, s.leadersMembers, printMembers)
}

func (s *coordService) leadersMembers(c *cobra.Command, _ []string) ([]coord.Member, error) {
	for _, status := range s.memberStatuses(c.Context()) {
		if status.Error == "" && status.Status.Member.Role == coord.RoleLeader {
			return status.Members, nil
		}
	}
	return nil, api.ErrNoLeader
}

func printMembers(out io.Writer, members []coord.Member) error {
	for _, m := range members {
		kind := "voter"
		if m.Learner {
			kind = "learner"
		}
		fmt.Fprintf(out, "%d=%s %s\n", m.ID, m.Address, kind)
	}
	return nil
}
