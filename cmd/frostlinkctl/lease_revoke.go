package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
)

// toolSessionTTL is the time to live of the session that the tool opens to revoke a lease, and closes afterwards.
const toolSessionTTL = 15 * time.Second

// leaseRevokeFlags are the flags of lease revoke.
type leaseRevokeFlags struct {
	service *coordService
	reason  string
}

func leaseRevokeCommand(s *coordService) *cobra.Command {
	f := &leaseRevokeFlags{service: s}
	c := newServiceCall(&cobra.Command{
		Use:   "revoke LEASE",
		Short: "Revoke a lease; the first waiter gets it",
		Long: "Revoke a lease. The first waiter gets the lease as soon as the holder has released it or can no longer consider itself the holder; until\n" +
			"then nobody gets it. The former holder requests the lease again after a while.\nExit codes: 0 success, 1 the lease was free, 2 could not run.",
		Example: "  frostlinkctl lease revoke export --reason 'stuck at 3 %' --operator deploy/frostlink.toml",
		Args:    cobra.ExactArgs(1),
	}, s, f.revoke, printMessage)
	c.Flags().StringVar(&f.reason, "reason", "", "the `reason`, for the history")
	return c
}

func (f *leaseRevokeFlags) revoke(c *cobra.Command, args []string) (string, error) {
	lease, err := f.service.lease(c, args[0])
	if err != nil {
		return "", err
	}
	result, err := f.service.revoke(c.Context(), lease, f.reason)
	if err != nil {
		return "", err
	}
	if result.Code == coord.CodeNotHeld {
		return fmt.Sprintf("%s was given back by %s meanwhile", lease.Name, lease.Holder), nil
	}
	return fmt.Sprintf("%s is being revoked from %s (token %d)", lease.Name, lease.Holder, lease.Token), nil
}

// revoke opens a session and revokes a lease in it. The lease's token identifies the grant to revoke, so that a later grant is not
// revoked by mistake.
func (s *coordService) revoke(ctx context.Context, lease coord.Lease, reason string) (coord.Result, error) {
	opened, err := s.apply(ctx, coord.Command{Op: coord.OpOpen, Nonce: rand.Text(), Name: "frostlinkctl", TTL: toolSessionTTL})
	if err != nil {
		return coord.Result{}, err
	}
	result, err := s.apply(ctx, coord.Command{
		Op: coord.OpRevoke, Session: opened.Session, Seq: 1, Lease: lease.Name, Token: lease.Token, Reason: reason,
	})
	if err != nil {
		return coord.Result{}, err
	}
	_, _ = s.apply(ctx, coord.Command{Op: coord.OpClose, Session: opened.Session}) // if this fails, the session expires
	return result, nil
}
