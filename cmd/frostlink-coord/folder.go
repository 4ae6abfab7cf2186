package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"frostlink/internal/cli"
	"frostlink/internal/coord"
	"frostlink/internal/coord/api"
	"frostlink/internal/coord/disk"
	"frostlink/internal/coord/replica"
)

func initCommand() *cobra.Command {
	var dir, cluster string
	var id uint64
	var texts []string
	c := &cobra.Command{
		Use:   "init",
		Short: "Make the folder of one of the members with which a cluster begins",
		Long: "Make the folder of one of the members with which a cluster begins. Run it once for each of them, with the same list and the\n" +
			"same cluster. A folder that holds a member's data already is left alone; a member whose disk was lost is never made anew\n" +
			"under its old id: remove it, and join another one.",
		Example: "  frostlink-coord init --folder coord-1 --cluster lahore --id 1 --member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 --member 3=127.0.0.1:7103",
		Args:    cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			members, err := api.ParseMembers(texts)
			if err != nil {
				return fmt.Errorf("--member: %w", err)
			}
			identity := disk.Identity{Cluster: cluster, ID: id}
			for _, m := range members {
				if m.ID == id {
					identity.Address = m.Address
				}
			}
			switch {
			case cluster == "" || len(cluster) > coord.MaxNameSize-1:
				return fmt.Errorf("--cluster: a name of 1 to %d bytes is wanted", coord.MaxNameSize-1)
			case len(members) > coord.MaxMembers || len(members)%2 == 0:
				return fmt.Errorf("--member: %d of them; 1, 3, 5 or 7 are wanted: an even number bears no more losses than one less", len(members))
			case identity.Address == "":
				return fmt.Errorf("--id: member %d is not in the list of --member", id)
			}
			return disk.Create(dir, identity, replica.Bootstrap(cluster, members))
		},
	}
	f := c.Flags()
	f.StringVar(&dir, "folder", "", "`folder` of this member's data")
	f.StringVar(&cluster, "cluster", "", "`name` of the cluster")
	f.Uint64Var(&id, "id", 0, "this member's `id`")
	f.StringArrayVar(&texts, "member", nil, "a member, as `ID=HOST:PORT`; all of them, this one too")
	_ = c.MarkFlagRequired("folder")
	return c
}

func joinCommand() *cobra.Command {
	var dir, cluster, self string
	var via []string
	c := &cobra.Command{
		Use:   "join",
		Short: "Make the folder of a member that joins a running cluster",
		Long: "Make the folder of a member that joins a running cluster, under an id that was never used in it. Then start it with run, add it as\n" +
			"a learner, and give it its vote when it has caught up: docs/operators/coordination.md.",
		Example: "  frostlink-coord join --folder coord-4 --cluster lahore --member 4=127.0.0.1:7104 --via 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m, err := api.ParseMember(self)
			if err != nil {
				return fmt.Errorf("--member: %w", err)
			}
			status, err := anyStatus(c.Context(), cluster, via)
			if err != nil {
				return fmt.Errorf("--via: %w", err)
			}
			identity := disk.Identity{Cluster: cluster, ID: m.ID, Address: m.Address}
			for _, other := range status.Members {
				if other.ID == m.ID || other.Address == m.Address {
					return fmt.Errorf("--member: %d=%s is a member already", other.ID, other.Address)
				}
				if !other.Learner {
					identity.Peers = append(identity.Peers, other.ID)
					identity.PeerAddresses = append(identity.PeerAddresses, other.Address)
				}
			}
			return disk.Create(dir, identity, replica.PersistentState{})
		},
	}
	f := c.Flags()
	f.StringVar(&dir, "folder", "", "`folder` of this member's data")
	f.StringVar(&cluster, "cluster", "", "`name` of the cluster")
	f.StringVar(&self, "member", "", "this member, as `ID=HOST:PORT`")
	f.StringArrayVar(&via, "via", nil, "`address` of a member that runs")
	for _, name := range []string{"folder", "member", "via"} {
		_ = c.MarkFlagRequired(name)
	}
	return c
}

// anyStatus asks members for their status until one of the cluster answers.
func anyStatus(ctx context.Context, cluster string, addresses []string) (api.Status, error) {
	caller := api.NewCaller(cluster)
	err := fmt.Errorf("no address")
	for _, address := range addresses {
		within, stop := context.WithTimeout(ctx, 3*time.Second)
		var s api.Status
		s, err = caller.Status(within, address)
		stop()
		if err == nil && s.Cluster != cluster {
			err = fmt.Errorf("%s is a member of cluster %q, not of %q", address, s.Cluster, cluster)
		}
		if err == nil {
			return s, nil
		}
	}
	return api.Status{}, err
}

// verified is what a member's folder holds.
type verified struct {
	Identity  disk.Identity  `json:"identity"`
	Life      uint64         `json:"life"`
	Snapshot  uint64         `json:"snapshot"`
	Entries   int            `json:"entries"`
	Last      uint64         `json:"last"`
	Committed uint64         `json:"committed"`
	Counts    coord.Counts   `json:"counts"` // of the state as far as it is known to be committed
	Members   []coord.Member `json:"members"`
	Damage    string         `json:"damage,omitempty"`
}

func verifyCommand() *cobra.Command {
	var dir, asJSON string
	c := &cobra.Command{
		Use:   "verify",
		Short: "Read all that the folder of a member that is not running holds, and check it",
		Long: "Read all that the folder of a member that is not running holds: every checksum, the order of the log, the state that it leads\n" +
			"to. Nothing is written.\nExit codes: 0 fine, 1 it is damaged, 2 could not run.",
		Example: "  frostlink-coord verify --folder coord-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := verify(dir)
			if err != nil {
				return err
			}
			if asJSON != "" {
				if err := cli.WriteJSON(c.OutOrStdout(), asJSON, v); err != nil {
					return err
				}
			}
			if asJSON != "-" {
				fmt.Fprintf(c.OutOrStdout(), "member %d of %s, life %d: snapshot of entry %d, %d entries up to %d, committed up to %d\n", v.Identity.ID,
					v.Identity.Cluster, v.Life, v.Snapshot, v.Entries, v.Last, v.Committed)
				if v.Damage != "" {
					fmt.Fprintln(c.OutOrStdout(), "damaged:", v.Damage)
				}
			}
			if v.Damage != "" {
				return cli.ErrFound
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "folder", "", "`folder` of the member's data")
	c.Flags().StringVar(&asJSON, "json", "", "write the result as JSON to this `file`; - is standard output, and nothing else then")
	_ = c.MarkFlagRequired("folder")
	return c
}

func verify(dir string) (*verified, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, err
	}
	v := &verified{}
	id, state, err := disk.Read(dir)
	v.Identity, v.Life = id, uint64(len(state.Incarnations))
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
