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

// keyLease is the key of the log attribute for a lease's name.
const keyLease = "lease"

// Fleet runs a relay's part of the fleet's tasks.
type Fleet struct {
	section    *Section
	relay      string
	client     *lease.Client
	resendGate *ResendGate // nil: each relay resends independently
	store      func() *deadletter.Store
}

// New returns a Fleet for the tasks that a section enables; Run starts them. store returns the
// relay's dead-letter store, or nil while the relay has none.
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

// ResendGate returns the gate that lets one relay of the fleet at a time resend to a destination.
// It is nil if the section does not enable that.
func (f *Fleet) ResendGate() *ResendGate { return f.resendGate }

// Run runs the tasks until its context ends.
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
