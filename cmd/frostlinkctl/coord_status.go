package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
)

func coordStatusCommand(s *coordService) *cobra.Command {
	return newServiceCall(&cobra.Command{
		Use:   "status",
		Short: "Show the status of every member",
		Long: "Show the status that every member reports, which may be out of date: only a leader in contact with a majority has the current state.\n" +
			"Exit codes: 0 success, 1 a member is unreachable, has failed or is not acknowledged by all, or the number of leaders is not 1, 2 could not run.",
		Example: "  frostlinkctl coord status --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, s, s.status, printStatuses)
}

func (s *coordService) status(c *cobra.Command, _ []string) ([]memberStatus, error) {
	return s.memberStatuses(c.Context()), nil
}

// printStatuses prints a line for each member. It returns cli.ErrFindings if a member has a problem, or if the number of leaders is not 1.
func printStatuses(out io.Writer, statuses []memberStatus) error {
	table := newTextTable(out)
	fmt.Fprintln(table, "member\taddress\trole\tleader\tterm\tlife\tapplied\tsessions\tleases\twaiting\tnot reached\tis wrong")
	faulty, leaders := false, 0
	for _, status := range statuses {
		m := status.Status.Member
		unreached, fault := unreachedPeers(m), status.fault()
		if m.Role == coord.RoleLeader {
			leaders++
		}
		faulty = faulty || fault != "" || len(unreached) > 0
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", status.Member.ID, status.Member.Address, m.Role, m.Leader, m.Term,
			m.Incarnation, m.Applied, status.Counts.Sessions, status.Counts.Leases, status.Counts.QueuedRequests, strings.Join(unreached, ","), fault)
	}
	_ = table.Flush() // a write error, such as a closed pipe, does not change the exit code
	if leaders != 1 {
		fmt.Fprintf(out, "%d members say that they lead\n", leaders)
	}
	return findings(faulty || leaders != 1)
}

// fault describes the problem of a member; it is empty if the member has none.
func (m *memberStatus) fault() string {
	if m.Error != "" {
		return m.Error
	}
	return m.Status.Member.Detail
}

// unreachedPeers returns the ids of the members that have not acknowledged a member's current incarnation.
func unreachedPeers(m coord.Status) []string {
	var ids []string
	for _, peer := range m.Peers {
		if !peer.Acknowledged {
			ids = append(ids, strconv.FormatUint(peer.ID, 10))
		}
	}
	return ids
}
