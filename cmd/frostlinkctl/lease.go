package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
)

// commandTTL is the session's of a command that changes something.
const commandTTL = 15 * time.Second

func leaseCommand() *cobra.Command {
	s := &service{}
	c := &cobra.Command{
		Use:     "lease",
		Short:   "Look at the fleet's leases, and take one from its holder",
		Long:    "Look at the fleet's leases, and take one from its holder: docs/operators/coordination.md.",
		Example: "  frostlinkctl lease list --operator deploy/frostlink.toml",
	}
	s.flags(c)
	c.AddCommand(s.listCommand(), s.showCommand(), s.revokeCommand(), s.historyCommand())
	return c
}

func (s *service) leases(ctx context.Context, prefix string) ([]coord.Lease, error) {
	a, err := s.lead(ctx, api.PathRead, api.Request{Query: &api.Query{Leases: prefix + "*"}})
	if a.Leases == nil {
		a.Leases = []coord.Lease{}
	}
	return a.Leases, err
}

func (s *service) listCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:     "list [PREFIX]",
		Short:   "List the leases that are held",
		Example: "  frostlinkctl lease list resend/ --operator deploy/frostlink.toml",
		Args:    cobra.MaximumNArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) {
		return s.leases(c.Context(), strings.Join(args, ""))
	},
		func(out io.Writer, v any) error {
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "lease\tholder\ttoken\theld for\tlasts\twait\treason")
			for _, l := range v.([]coord.Lease) {
				fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%d\t%s\n", l.Name, l.Holder, l.Token, l.HeldFor.Round(time.Millisecond), l.TimeLeft.Round(time.Millisecond),
					len(l.Queue), l.Reason)
			}
			return w.Flush()
		})
}

// lease gives one lease that is held. Where it is free the command found something.
func (s *service) lease(c *cobra.Command, name string) (coord.Lease, error) {
	list, err := s.leases(c.Context(), name)
	if err != nil {
		return coord.Lease{}, err
	}
	for _, l := range list {
		if l.Name == name {
			return l, nil
		}
	}
	fmt.Fprintf(c.OutOrStdout(), "%s is free\n", name)
	return coord.Lease{}, cli.ErrFindings
}

func (s *service) showCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:     "show LEASE",
		Short:   "Show a lease: its holder, and who waits in which order",
		Long:    "Show a lease: its holder, and who waits in which order.\nExit codes: 0 held, 1 free, 2 could not run.",
		Example: "  frostlinkctl lease show export --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) { return s.lease(c, args[0]) },
		func(out io.Writer, v any) error {
			l := v.(coord.Lease)
			fmt.Fprintf(out, "%s is held by %s (session %d) under token %d for %v, and lasts %v unless it is renewed\n", l.Name, l.Holder, l.Session, l.Token,
				l.HeldFor.Round(time.Millisecond), l.TimeLeft.Round(time.Millisecond))
			if l.Revoked {
				fmt.Fprintln(out, "it is being revoked")
			}
			if l.Reason != "" {
				fmt.Fprintf(out, "reason: %s\n", l.Reason)
			}
			for i, name := range l.Queue {
				fmt.Fprintf(out, "%4d. %s\n", i+1, name)
			}
			return nil
		})
}

func (s *service) revokeCommand() *cobra.Command {
	var reason string
	c := s.command(&cobra.Command{
		Use:   "revoke LEASE",
		Short: "Take a lease from its holder; the first who waits gets it",
		Long: "Take a lease from its holder. The first who waits gets it as soon as the holder has given it back, or can't believe any more that it\n" +
			"holds it: until then nobody does. The holder asks for it again after a while.\nExit codes: 0 fine, 1 it was free, 2 could not run.",
		Example: "  frostlinkctl lease revoke export --reason 'stuck at 3 %' --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) {
		l, err := s.lease(c, args[0])
		if err != nil {
			return nil, err
		}
		open, err := s.change(c.Context(), coord.Command{Op: coord.OpOpen, Nonce: rand.Text(), Name: "frostlinkctl", TTL: commandTTL})
		if err != nil {
			return nil, err
		}
		// The token names the grant that was seen: one that came after it is not revoked.
		r, err := s.change(c.Context(), coord.Command{Op: coord.OpRevoke, Session: open.Session, Seq: 1, Lease: l.Name, Token: l.Token, Reason: reason})
		if err != nil {
			return nil, err
		}
		_, _ = s.change(c.Context(), coord.Command{Op: coord.OpClose, Session: open.Session}) // else it ends by itself
		if r.Code == coord.CodeNotHeld {
			return fmt.Sprintf("%s was given back by %s meanwhile", l.Name, l.Holder), nil
		}
		return fmt.Sprintf("%s is being revoked from %s (token %d)", l.Name, l.Holder, l.Token), nil
	}, printDone)
	c.Flags().StringVar(&reason, "reason", "", "`why`, for the history")
	return c
}

// change sends a command. It may come twice, and is applied once.
func (s *service) change(ctx context.Context, command coord.Command) (coord.Result, error) {
	a, err := s.lead(ctx, api.PathCommand, api.Request{Command: &command})
	switch {
	case err != nil:
		return coord.Result{}, err
	case a.Result == nil:
		return coord.Result{}, fmt.Errorf("an answer without a result")
	case a.Result.Code == coord.CodeOK || a.Result.Code == coord.CodeNotHeld:
		return *a.Result, nil
	}
	return *a.Result, fmt.Errorf("%s: %s %s", command.Op, a.Result.Code, a.Result.Detail)
}

func (s *service) historyCommand() *cobra.Command {
	return s.command(&cobra.Command{
		Use:     "history [LEASE]",
		Short:   "Show what became of a lease, or of all, of late",
		Long:    fmt.Sprintf("Show what became of a lease, or of all, of late. The last %d events are kept, or up to a quarter less.", coord.MaxRetainedEvents),
		Example: "  frostlinkctl lease history export --operator deploy/frostlink.toml",
		Args:    cobra.MaximumNArgs(1),
	}, func(c *cobra.Command, args []string) (any, error) {
		name := "*"
		if len(args) > 0 {
			name = args[0]
		}
		a, err := s.lead(c.Context(), api.PathRead, api.Request{Query: &api.Query{History: name}})
		if a.History == nil {
			a.History = []coord.Event{}
		}
		return a.History, err
	}, func(out io.Writer, v any) error {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "time\tlease\ttoken\tholder\twhat\treason")
		for _, e := range v.([]coord.Event) {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", time.UnixMilli(e.WallMillis).UTC().Format("2006-01-02 15:04:05.000"), e.Lease, e.Token, e.Holder, e.Kind, e.Reason)
		}
		return w.Flush()
	})
}
