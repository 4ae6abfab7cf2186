package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"frostlink/internal/coord/api"
)

func coordSnapshotCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:     "snapshot FILE",
		Short:   "Save the current state, for inspection or comparison",
		Example: "  frostlinkctl coord snapshot state.json --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, s, s.saveSnapshot, printMessage)
}

// saveSnapshot requests the state from each member in turn, because only the leader returns it.
func (s *coordService) saveSnapshot(c *cobra.Command, args []string) (string, error) {
	err := api.ErrNoLeader
	for _, m := range s.members {
		var state []byte
		if state, err = s.caller.Snapshot(c.Context(), m.Address); err != nil {
			continue
		}
		if err := os.WriteFile(args[0], state, 0o600); err != nil {
			return "", err //nolint:wrapcheck // the error names the operation and the file
		}
		return fmt.Sprintf("%d bytes in %s", len(state), args[0]), nil
	}
	return "", err
}
