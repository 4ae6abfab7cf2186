package main

import "github.com/spf13/cobra"

func coordCommand() *cobra.Command {
	s := &coordService{}
	c := &cobra.Command{
		Use:     "coord",
		Short:   "Inspect the coordination service and change its members",
		Long:    "Inspect the coordination service and change its members. See docs/operators/coordination.md.",
		Example: "  frostlinkctl coord status --cluster lahore --member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 --member 3=127.0.0.1:7103",
	}
	s.addFlags(c)
	c.AddCommand(coordStatusCommand(s), coordMembersCommand(s), coordAddCommand(s), coordRemoveCommand(s), coordSnapshotCommand(s),
		coordVerifyCommand(), coordFaultRunCommand(), deprecatedAlias(coordFaultRunCommand(), "rehearse"), coordMeasureCommand(s))
	return c
}
