package main

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"frostlink/internal/coord/api"
)

func coordRemoveCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "remove ID",
		Short:   "Remove a member permanently; its id can't be used again",
		Example: "  frostlinkctl coord remove 2 --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, s, s.removeMember, printMessage)
}

func (s *coordService) removeMember(c *cobra.Command, args []string) (string, error) {
	id, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || id == 0 {
		return "", fmt.Errorf("%q is not a valid member id", args[0])
	}
	if _, err = s.callLeader(c.Context(), api.PathMembers, api.Request{RemoveMember: id}); err != nil {
		return "", err
	}
	return fmt.Sprintf("member %d is out", id), nil
}
