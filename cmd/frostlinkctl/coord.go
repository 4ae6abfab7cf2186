package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/operatorconfig"
)

// askWithin bounds a command that needs a member that leads: an election takes about a second.
const askWithin = 8 * time.Second

// service is the coordination service that a command is for.
type service struct {
	cluster string
	texts   []string
	own     string
	members []coord.Member
	caller  *api.Caller
}

// flags adds the flags that say which service is meant, to a command and all below it.
func (s *service) flags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&s.cluster, "cluster", "", "`name` of the cluster")
	f.StringArrayVar(&s.texts, "member", nil, "a member of the service, as `ID=HOST:PORT`; several times")
	f.StringVar(&s.own, "operator", "", "operator's `file` whose [coordination] names cluster and members, in place of the two flags")
}

// open takes over what the flags say.
func (s *service) open() error {
	if s.own != "" {
		own, err := operatorconfig.Read(s.own)
		if err != nil {
			return err
		}
		if own.Coordination == nil {
			return fmt.Errorf("%s: coordination: the section is absent", s.own)
		}
		s.cluster, s.texts = own.Coordination.Cluster, own.Coordination.Members
	}
	if s.cluster == "" || len(s.texts) == 0 {
		return fmt.Errorf("--cluster, --member: missing (or --operator)")
	}
	var err error
	if s.members, err = api.ParseMembers(s.texts); err != nil {
		return fmt.Errorf("--member: %w", err)
	}
	s.caller = api.NewCaller(s.cluster)
	return nil
}

// lead sends a request to the member that leads.
func (s *service) lead(ctx context.Context, path string, r api.Request) (api.Response, error) {
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	return s.caller.CallLeader(ctx, s.members, path, r)
}

// command makes a command that calls the service and prints what it got, also as JSON.
func (s *service) command(c *cobra.Command, do func(c *cobra.Command, args []string) (any, error), show func(out io.Writer, v any) error) *cobra.Command {
	var asJSON string
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := s.open(); err != nil {
			return err
		}
		v, err := do(c, args)
		if err != nil {
			return err
		}
		if asJSON != "" {
			err = cli.WriteJSON(c.OutOrStdout(), asJSON, v)
		}
		// What it found counts also where it is not printed.
		out := c.OutOrStdout()
		if asJSON == "-" {
			out = io.Discard
		}
		return errors.Join(err, show(out, v))
	}
	c.Flags().StringVar(&asJSON, "json", "", "write the result as JSON to this `file`; - is standard output, and nothing else then")
	return c
}

func coordCommand() *cobra.Command {
	s := &service{}
	c := &cobra.Command{
		Use:     "coord",
		Short:   "Look at the coordination service and change its members",
		Long:    "Look at the coordination service and change its members: docs/operators/coordination.md.",
		Example: "  frostlinkctl coord status --cluster lahore --member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 --member 3=127.0.0.1:7103",
	}
	s.flags(c)
	c.AddCommand(s.statusCommand(), s.membersCommand(), s.addCommand(), s.removeCommand(), s.snapshotCommand(), coordVerify(), coordRehearse(), s.measureCommand())
	return c
}

// asked is what one member said of itself.
type asked struct {
	Member coord.Member `json:"member"`
	Error  string       `json:"error,omitempty"`
	api.Status
}

func (s *service) ask(ctx context.Context) []asked {
	list := make([]asked, len(s.members))
	for i, m := range s.members {
		within, stop := context.WithTimeout(ctx, 2*time.Second)
		status, err := s.caller.Status(within, m.Address)
		stop()
		list[i] = asked{Member: m, Status: status}
		switch {
		case err != nil:
			list[i].Error = err.Error()
		case status.Cluster != s.cluster:
			list[i].Error = fmt.Sprintf("a member of cluster %q", status.Cluster)
		case status.Member.ID != m.ID:
			list[i].Error = fmt.Sprintf("is member %d", status.Member.ID)
		}
	}
	return list
}

func (s *service) statusCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:   "status",
		Short: "Ask every member how it is",
		Long: "Ask every member how it is. What a member says of itself may be old: only the one that leads, and has heard a majority, knows.\n" +
			"Exit codes: 0 fine, 1 a member can't be reached, failed, or not all know of its life, or none leads, 2 could not run.",
		Example: "  frostlinkctl coord status --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, func(c *cobra.Command, _ []string) (any, error) { return s.ask(c.Context()), nil },
		func(out io.Writer, v any) error {
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "member\taddress\trole\tleader\tterm\tlife\tapplied\tsessions\tleases\twaiting\tnot reached\tis wrong")
			found, leads := false, 0
			for _, a := range v.([]asked) {
				m := a.Status.Member
				var unreached []string
				for _, p := range m.Peers {
					if !p.Acknowledged {
						unreached = append(unreached, strconv.FormatUint(p.ID, 10))
					}
				}
				wrong := a.Error
				if wrong == "" {
					wrong = m.Detail
				}
				if m.Role == "leader" {
					leads++
				}
				found = found || wrong != "" || len(unreached) > 0
				fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", a.Member.ID, a.Member.Address, m.Role, m.Leader, m.Term, m.Incarnation, m.Applied,
					a.Counts.Sessions, a.Counts.Leases, a.Counts.QueuedRequests, strings.Join(unreached, ","), wrong)
			}
			_ = w.Flush()
			if leads != 1 {
				fmt.Fprintf(out, "%d members say that they lead\n", leads)
			}
			if found || leads != 1 {
				return cli.ErrFindings
			}
			return nil
		})
}

func (s *service) membersCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:     "members",
		Short:   "List the members as the leader has them",
		Example: "  frostlinkctl coord members --operator deploy/frostlink.toml",
		Args:    cobra.NoArgs,
	}, func(c *cobra.Command, _ []string) (any, error) {
		for _, a := range s.ask(c.Context()) {
			if a.Error == "" && a.Status.Member.Role == "leader" {
				return a.Members, nil
			}
		}
		return nil, api.ErrNoLeader
	}, func(out io.Writer, v any) error {
		for _, m := range v.([]coord.Member) {
			kind := "voter"
			if m.Learner {
				kind = "learner"
			}
			fmt.Fprintf(out, "%d=%s %s\n", m.ID, m.Address, kind)
		}
		return nil
	})
}

func printDone(out io.Writer, v any) error {
	fmt.Fprintln(out, v)
	return nil
}

func (s *service) addCommand() *cobra.Command {
	var vote bool
	c := s.command(&cobra.Command{
		Use:   "add ID=HOST:PORT",
		Short: "Add a member that joins, as a learner, or give a learner its vote",
		Long: "Add a member that joins, as a learner: it gets the log and has no vote. When coord status shows that it has caught up, give it its\n" +
			"vote with --vote. One change at a time.",
		Example: "  frostlinkctl coord add 4=127.0.0.1:7104 --operator deploy/frostlink.toml\n  frostlinkctl coord add 4=127.0.0.1:7104 --vote --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) {
		m, err := api.ParseMember(args[0])
		if err != nil {
			return nil, err
		}
		m.Learner = !vote
		if _, err = s.lead(c.Context(), api.PathMembers, api.Request{AddMember: &m}); err != nil {
			return nil, err
		}
		return fmt.Sprintf("member %d is in, learner: %v", m.ID, m.Learner), nil
	}, printDone)
	c.Flags().BoolVar(&vote, "vote", false, "give it its vote")
	return c
}

func (s *service) removeCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:     "remove ID",
		Short:   "Remove a member for good; its id is not used again",
		Example: "  frostlinkctl coord remove 2 --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) {
		id, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil || id == 0 {
			return nil, fmt.Errorf("%q is no member's id", args[0])
		}
		if _, err = s.lead(c.Context(), api.PathMembers, api.Request{RemoveMember: id}); err != nil {
			return nil, err
		}
		return fmt.Sprintf("member %d is out", id), nil
	}, printDone)
}

func (s *service) snapshotCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:     "snapshot FILE",
		Short:   "Save the state as it is now, to look at or to compare",
		Example: "  frostlinkctl coord snapshot state.json --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) {
		err := api.ErrNoLeader
		for _, m := range s.members {
			var raw []byte
			if raw, err = s.caller.Snapshot(c.Context(), m.Address); err != nil {
				continue
			}
			if err := os.WriteFile(args[0], raw, 0o600); err != nil {
				return nil, err
			}
			return fmt.Sprintf("%d bytes in %s", len(raw), args[0]), nil
		}
		return nil, err
	}, printDone)
}

func coordVerify() *cobra.Command {
	return &cobra.Command{
		Use:     "verify FILE",
		Short:   "Check a state that was saved with snapshot",
		Long:    "Check a state that was saved with snapshot. The folder of a member is checked with frostlink-coord verify.",
		Example: "  frostlinkctl coord verify state.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			m, err := coord.Restore(raw)
			if err != nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: %v\n", args[0], err)
				return cli.ErrFindings
			}
			n := m.Counts()
			fmt.Fprintf(c.OutOrStdout(), "cluster %s, entry %d: %d sessions, %d leases, %d values of %d bytes\n", m.Cluster(), m.Index(), n.Sessions,
				n.Leases, n.Values, n.ValueBytes)
			return nil
		},
	}
}
