package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
)

// initOptions are the flags of init.
type initOptions struct {
	folder  string
	cluster string
	id      uint64
	members []string // each as ID=HOST:PORT
}

func initCommand() *cobra.Command {
	var o initOptions
	c := &cobra.Command{
		Use:   "init",
		Short: "Create the folder of an initial member of a new cluster",
		Long: "Create the folder of an initial member of a new cluster. Run this command once for each initial member, with the same list of\n" +
			"members and the same cluster name. A folder that already holds a member's data is not changed. Do not create a member anew\n" +
			"under its old id after its disk was lost: remove the member from the cluster, and join a new one.",
		Example: "  frostlink-coord init --folder coord-1 --cluster lahore --id 1 --member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 --member 3=127.0.0.1:7103",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return o.createFolder() },
	}
	f := c.Flags()
	f.StringVar(&o.folder, "folder", "", "`folder` of this member's data")
	f.StringVar(&o.cluster, "cluster", "", "`name` of the cluster")
	f.Uint64Var(&o.id, "id", 0, "this member's `id`")
	f.StringArrayVar(&o.members, "member", nil, "a member, as `ID=HOST:PORT`; repeat it for all members, including this one")
	_ = c.MarkFlagRequired("folder") // fails only for a flag that does not exist
	return c
}

func (o *initOptions) createFolder() error {
	members, err := api.ParseMembers(o.members)
	if err != nil {
		return fmt.Errorf("--member: %w", err)
	}
	identity := disk.Identity{Cluster: o.cluster, ID: o.id}
	for _, m := range members {
		if m.ID == o.id {
			identity.Address = m.Address
		}
	}
	const maxClusterName = coord.MaxNameSize - 1
	switch {
	case o.cluster == "" || len(o.cluster) > maxClusterName:
		return fmt.Errorf("--cluster: the name must have 1 to %d bytes", maxClusterName)
	case len(members) > coord.MaxMembers || len(members)%2 == 0:
		return fmt.Errorf("--member: %d members, must be 1, 3, 5 or 7: an even number tolerates no more failures than one member less", len(members))
	case identity.Address == "":
		return fmt.Errorf("--id: member %d is not in the list of --member", o.id)
	}
	return disk.Create(o.folder, identity, replica.Bootstrap(o.cluster, members))
}
