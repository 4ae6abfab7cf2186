package tasks

import (
	"context"
	"log/slog"
	"sync"

	"mallowlead/internal/coord/api"
	"mallowlead/internal/lease"
)

// Run does a relay's part of the fleet's tasks until its context ends. Nothing on a message's path waits for it.
func Run(ctx context.Context, s *Section, relay string) {
	members, err := api.ParseMembers(s.Members)
	if err != nil {
		slog.Error("fleet tasks", "err", err) // the section was checked
		return
	}
	client := lease.NewClient(relay, s.Cluster, members, s.TTL(), s.Guard(), slog.Default())
	var work sync.WaitGroup
	defer work.Wait()
	for _, t := range s.tasks(relay) {
		work.Go(func() {
			if err := client.Keep(ctx, t); err != nil && ctx.Err() == nil {
				slog.Error("a fleet task", "lease", t.Lease, "err", err)
			}
		})
	}
	client.Run(ctx)
}

// tasks are those that the section turns on.
func (s *Section) tasks(relay string) (list []lease.Task) {
	if s.Beat != nil {
		list = append(list, beat(s.Beat, relay))
	}
	return list
}
