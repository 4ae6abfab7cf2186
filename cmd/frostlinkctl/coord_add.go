package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"frostlink/internal/coord/api"
)

// coordAddFlags are the flags of coord add.
type coordAddFlags struct {
	service *coordService
	vote    bool
}

func coordAddCommand(s *coordService) *cobra.Command {
	f := &coordAddFlags{service: s}
	c := newServiceCall(&cobra.Command{
		Use:   "add ID=HOST:PORT",
		Short: "Add a joining member as a learner, or make a learner a voter",
		Long: "Add a joining member as a learner, which receives the log and has no vote. When coord status shows that the learner has caught up,\n" +
			"make it a voter with --vote. Make one change at a time.",
		Example: "  frostlinkctl coord add 4=127.0.0.1:7104 --operator deploy/frostlink.toml\n" +
			"  frostlinkctl coord add 4=127.0.0.1:7104 --vote --operator deploy/frostlink.toml",
		Args: cobra.ExactArgs(1),
	}, s, f.addMember, printMessage)
	c.Flags().BoolVar(&f.vote, "vote", false, "make the learner a voter")
	return c
}

func (f *coordAddFlags) addMember(c *cobra.Command, args []string) (string, error) {
	m, err := api.ParseMember(args[0])
	if err != nil {
		return "", err
	}
	m.Learner = !f.vote
	if _, err = f.service.callLeader(c.Context(), api.PathMembers, api.Request{AddMember: &m}); err != nil {
		return "", err
	}
	return fmt.Sprintf("member %d is in, learner: %v", m.ID, m.Learner), nil
}
