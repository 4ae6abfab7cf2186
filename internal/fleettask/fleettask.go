package fleettask

import (
	"context"
	"log/slog"
	"sync"

	"frostlink/internal/coord/api"
	"frostlink/internal/deadletter"
	"frostlink/internal/lease"
)

// Fleet is a relay's part of the fleet's tasks.
type Fleet struct {
	section *Section
	relay   string
	client  *lease.Client
	resend  *Resend // nil: each relay resends by itself
	store   func() *deadletter.Store
}

// New makes a relay's part of the tasks that a section turns on. It begins with Run. store gives the relay's store of
// undelivered messages, or nil while it has none.
func New(s *Section, relay string, store func() *deadletter.Store) (*Fleet, error) {
	members, err := api.ParseMembers(s.Members)
	if err != nil {
		return nil, err
	}
	f := &Fleet{section: s, relay: relay, store: store, client: lease.NewClient(relay, s.Cluster, members, s.TTL(), s.Guard(), slog.Default())}
	if s.Resend {
		f.resend = &Resend{client: f.client, turns: NewTurns()}
	}
	return f, nil
}

// Resend is what lets resends through, one relay of the fleet at a time; nil where the section does not want that.
func (f *Fleet) Resend() *Resend { return f.resend }

// Run does the relay's part until its context ends. Nothing on a message's path waits for it.
func (f *Fleet) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for _, t := range f.tasks() {
		work.Go(func() {
			if err := f.client.RunTask(ctx, t); err != nil && ctx.Err() == nil {
				slog.Error("a fleet task", "lease", t.Lease, "err", err)
			}
		})
	}
	if f.resend != nil {
		work.Go(func() { f.resend.run(ctx) })
	}
	f.client.Run(ctx)
}

// tasks are those that take turns by themselves.
func (f *Fleet) tasks() (list []lease.Task) {
	if f.section.Beat != nil {
		list = append(list, beat(f.section.Beat, f.relay))
	}
	if f.section.Export != nil {
		list = append(list, newExport(f.section.Export, f.relay, f.client, f.store).task())
	}
	return list
}
