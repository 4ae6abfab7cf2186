package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
)

// stdout is the JSON file name that means standard output.
const stdout = "-"

// verified describes the content of a member's folder.
type verified struct {
	Identity    disk.Identity  `json:"identity"`
	Incarnation uint64         `json:"life"`
	Snapshot    uint64         `json:"snapshot"` // index of the last log entry that the snapshot covers
	Entries     int            `json:"entries"`
	Last        uint64         `json:"last"` // index of the last log entry
	Committed   uint64         `json:"committed"`
	Counts      coord.Counts   `json:"counts"` // table sizes of the state at the last entry known to be committed
	Members     []coord.Member `json:"members"`
	Damage      string         `json:"damage,omitempty"`
}

func verifyCommand() *cobra.Command {
	var folder, jsonFile string
	c := &cobra.Command{
		Use:   "verify",
		Short: "Check the folder of a member that is not running",
		Long: "Check the folder of a member that is not running: all checksums, the order of the log, and whether the log can be applied.\n" +
			"Nothing is written.\nExit codes: 0 success, 1 the folder is damaged, 2 could not run.",
		Example: "  frostlink-coord verify --folder coord-1",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return runVerify(c.OutOrStdout(), folder, jsonFile) },
	}
	c.Flags().StringVar(&folder, "folder", "", "`folder` of the member's data")
	c.Flags().StringVar(&jsonFile, "json", "", "write the result as JSON to this `file`; with -, only the JSON is printed, to standard output")
	_ = c.MarkFlagRequired("folder") // fails only for a flag that does not exist
	return c
}

func runVerify(out io.Writer, folder, jsonFile string) error {
	v, err := verify(folder)
	if err != nil {
		return err
	}
	if jsonFile != "" {
		if err := cli.WriteJSON(out, jsonFile, v); err != nil {
			return err
		}
	}
	if jsonFile != stdout {
		v.print(out)
	}
	if v.Damage != "" {
		return cli.ErrFindings
	}
	return nil
}

func (v *verified) print(out io.Writer) {
	fmt.Fprintf(out, "member %d of %s, life %d: snapshot of entry %d, %d entries up to %d, committed up to %d\n",
		v.Identity.ID, v.Identity.Cluster, v.Incarnation, v.Snapshot, v.Entries, v.Last, v.Committed)
	if v.Damage != "" {
		fmt.Fprintln(out, "damaged:", v.Damage)
	}
}

// verify reads a folder. Damage is part of the result; an error means that the folder can't be
// accessed.
func verify(folder string) (*verified, error) {
	if _, err := os.Stat(folder); err != nil {
		return nil, err //nolint:wrapcheck // the error names the folder, and is printed as it is
	}
	id, state, err := disk.Read(folder)
	v := &verified{Identity: id, Incarnation: uint64(len(state.Incarnations))}
	if err != nil {
		v.Damage = err.Error()
		return v, nil
	}
	v.Snapshot, v.Entries, v.Committed = state.Snapshot.GetMetadata().GetIndex(), len(state.Entries), state.HardState.GetCommit()
	v.Last = v.Snapshot
	if v.Entries > 0 {
		v.Last = state.Entries[v.Entries-1].GetIndex()
	}
	machine, err := replica.Replay(id.Cluster, state)
	if err != nil {
		v.Damage = err.Error()
		return v, nil
	}
	v.Counts, v.Members = machine.Counts(), machine.Members()
	return v, nil
}
