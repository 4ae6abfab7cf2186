package fleettask

import (
	"context"
	"log/slog"
	"sync"

	"frostlink/internal/coord/api"
	"frostlink/internal/deadletter"
	"frostlink/internal/lease"
	"frostlink/internal/logkey"
)

// keyLease is the key of a log attribute: the name of a lease.
const keyLease = "lease"

// Fleet is a relay's part of the fleet's tasks.
type Fleet struct {
	section    *Section
	relay      string
	client     *lease.Client
	resendGate *ResendGate // nil: each relay resends by itself
	store      func() *deadletter.Store
}

// New returns a relay's part of the tasks that a section turns on. It begins with Run. store
// returns the relay's dead-letter store, or nil while it has none.
func New(s *Section, relay string, store func() *deadletter.Store) (*Fleet, error) {
	members, err := api.ParseMembers(s.Members)
	if err != nil {
		return nil, err
	}
	client := lease.NewClient(relay, s.Cluster, members, s.TTL(), s.Guard(), slog.Default())
	f := &Fleet{section: s, relay: relay, store: store, client: client}
	if s.Resend {
		f.resendGate = &ResendGate{client: client, rotation: NewRotation()}
	}
	return f, nil
}

// ResendGate returns the gate that lets resends through, one relay of the fleet at a time. It is nil
// where the section does not want that.
func (f *Fleet) ResendGate() *ResendGate { return f.resendGate }

// Run does the relay's part until its context ends.
func (f *Fleet) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for _, t := range f.tasks() {
		work.Go(func() {
			if err := f.client.RunTask(ctx, t); err != nil && ctx.Err() == nil {
				slog.Error("fleet task failed", keyLease, t.Lease, logkey.Err, err)
			}
		})
	}
	if f.resendGate != nil {
		work.Go(func() { f.resendGate.run(ctx) })
	}
	f.client.Run(ctx)
}

// tasks returns the tasks that the lease client runs.
func (f *Fleet) tasks() []lease.Task {
	var tasks []lease.Task
	if f.section.Heartbeat != nil {
		tasks = append(tasks, heartbeatTask(f.section.Heartbeat, f.relay))
	}
	if f.section.Export != nil {
		tasks = append(tasks, newExporter(f.section.Export, f.relay, f.client, f.store).task())
	}
	return tasks
}
