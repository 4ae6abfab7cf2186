package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/coord/api"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
)

// statusTimeout is the time limit for requesting a member's status.
const statusTimeout = 3 * time.Second

// joinOptions are the flags of join.
type joinOptions struct {
	folder  string
	cluster string
	member  string // as ID=HOST:PORT
	via     []string
}

func joinCommand() *cobra.Command {
	var o joinOptions
	c := &cobra.Command{
		Use:   "join",
		Short: "Create the folder of a member that joins a running cluster",
		Long: "Create the folder of a member that joins a running cluster, under an id that was never used in that cluster. Then start the member\n" +
			"with run, add it as a learner, and make it a voter when it has caught up. See docs/operators/coordination.md.",
		Example: "  frostlink-coord join --folder coord-4 --cluster lahore --member 4=127.0.0.1:7104 --via 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return o.createFolder(c.Context()) },
	}
	f := c.Flags()
	f.StringVar(&o.folder, "folder", "", "`folder` of this member's data")
	f.StringVar(&o.cluster, "cluster", "", "`name` of the cluster")
	f.StringVar(&o.member, "member", "", "this member, as `ID=HOST:PORT`")
	f.StringArrayVar(&o.via, "via", nil, "`address` of a running member")
	for _, name := range []string{"folder", "member", "via"} {
		_ = c.MarkFlagRequired(name) // fails only for a flag that does not exist
	}
	return c
}

func (o *joinOptions) createFolder(ctx context.Context) error {
	m, err := api.ParseMember(o.member)
	if err != nil {
		return fmt.Errorf("--member: %w", err)
	}
	status, err := firstStatus(ctx, o.cluster, o.via)
	if err != nil {
		return fmt.Errorf("--via: %w", err)
	}
	identity := disk.Identity{Cluster: o.cluster, ID: m.ID, Address: m.Address}
	for _, other := range status.Members {
		if other.ID == m.ID || other.Address == m.Address {
			return fmt.Errorf("--member: %d=%s is already a member", other.ID, other.Address)
		}
		if !other.Learner {
			identity.Peers = append(identity.Peers, other.ID)
			identity.PeerAddresses = append(identity.PeerAddresses, other.Address)
		}
	}
	return disk.Create(o.folder, identity, replica.PersistentState{})
}

// firstStatus requests the status from one address after another, and returns the first status of a member of the cluster.
func firstStatus(ctx context.Context, cluster string, addresses []string) (api.Status, error) {
	caller := api.NewCaller(cluster)
	err := errors.New("no address given")
	for _, address := range addresses {
		var status api.Status
		if status, err = statusOf(ctx, caller, address); err == nil {
			return status, nil
		}
	}
	return api.Status{}, err
}

func statusOf(ctx context.Context, caller *api.Caller, address string) (api.Status, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	status, err := caller.Status(ctx, address)
	if err == nil && status.Cluster != caller.Cluster {
		err = fmt.Errorf("%s is a member of cluster %q, not of %q", address, status.Cluster, caller.Cluster)
	}
	return status, err
}
