package fleettask

import (
	"context"
	"fmt"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/deadletter"
	"frostlink/internal/lease"
)

const (
	// ExportLease is the name of the export's lease.
	ExportLease = "export"
	// ExportKey is the key of the ledger in the coordination service.
	ExportKey = "export/ledger"
	// maxSliceRecords bounds the records of a slice. When the lease passes to another relay, at
	// most the work on one slice is lost.
	maxSliceRecords = 500
	// sliceTTLDivisor determines the time limit for adding one slice: the session's time to live
	// divided by sliceTTLDivisor.
	sliceTTLDivisor = 4
	// callTimeout bounds each call to the coordination service.
	callTimeout = 5 * time.Second
)

// exporter adds a relay's undelivered messages to the export, slice by slice, while the relay holds
// the lease.
type exporter struct {
	section *Export
	relay   string
	client  *lease.Client
	store   func() *deadletter.Store
	cost    time.Duration // the time that adding one slice may take
}

func newExporter(s *Export, relay string, client *lease.Client, store func() *deadletter.Store) *exporter {
	return &exporter{section: s, relay: relay, client: client, store: store, cost: client.TTL() / sliceTTLDivisor}
}

func (e *exporter) task() lease.Task {
	return lease.Task{
		Lease: ExportLease, Reason: "collects undelivered messages in " + e.section.Folder, Interval: e.section.Interval(),
		Guard: lease.Fenced("the ledger, a value of the coordination service"), Due: e.due, Run: e.run,
	}
}

// due reports whether the relay has records that are not exported yet. It reports false if the ledger
// or the store can't be read.
func (e *exporter) due(ctx context.Context) bool {
	slice, err := e.nextSlice(ctx, 1)
	return err == nil && slice != nil
}

// exportSlice is the next slice that a relay can add to the export.
type exportSlice struct {
	ledger     Ledger // as read before the slice was planned
	revision   uint64 // revision of the ledger's value
	store      *deadletter.Store
	storeID    string
	first, end uint64 // record numbers; end is exclusive
	records    []*deadletter.Record
}

// nextSlice returns this relay's next slice, of at most maxRecords records, or nil if all records
// are exported or the relay has no store.
func (e *exporter) nextSlice(ctx context.Context, maxRecords int) (*exportSlice, error) {
	store := e.store()
	if store == nil {
		return nil, nil
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	raw, revision, err := e.client.Value(ctx, ExportKey)
	if err != nil {
		return nil, err
	}
	slice := &exportSlice{revision: revision, store: store}
	if slice.ledger, err = DecodeLedger(raw); err != nil {
		return nil, err
	}
	if slice.storeID, err = store.ID(); err != nil {
		return nil, err
	}
	slice.first = slice.ledger.NextRecord(e.relay, slice.storeID)
	slice.records, slice.end, err = store.Slice(slice.first, maxRecords)
	if err != nil || slice.end == slice.first {
		return nil, err
	}
	return slice, nil
}

// run adds slices until all records are exported, or another relay is queued for the lease.
func (e *exporter) run(ctx context.Context, hold *lease.Hold) error {
	for {
		slice, err := e.nextSlice(ctx, maxSliceRecords)
		if err != nil || slice == nil {
			return err
		}
		act, err := hold.Act(ctx, e.cost)
		if err != nil {
			return err
		}
		err = e.addSlice(act.Ctx, act.Token, slice) //nolint:contextcheck // act.Ctx is derived from ctx, and cancelled when the act has to end
		act.End()
		if err != nil {
			return err
		}
		if grant, _ := e.client.Grant(ExportLease); grant.QueueLength > 0 {
			return nil
		}
	}
}

// addSlice writes a slice and then adds it to the ledger. If the second step fails, the slice
// remains as a file that the ledger does not reach.
func (e *exporter) addSlice(ctx context.Context, token uint64, slice *exportSlice) error {
	header, ledger := slice.ledger.PlanSlice(e.relay, slice.storeID, token, slice.first, slice.end, len(slice.records))
	if err := writeSlice(e.section.Folder, header, slice); err != nil {
		return fmt.Errorf("export: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	r, err := e.client.Put(ctx, ExportLease, token, ExportKey, ledger.Encode(), slice.revision)
	switch {
	case err != nil:
		return fmt.Errorf("export: slice %s: %w", header.Name, err) // the next holder reads from the ledger whether the slice was added
	case r.Code != coord.CodeOK:
		return fmt.Errorf("export: slice %s was not added to the ledger: %s %s", header.Name, r.Code, r.Detail)
	}
	return nil
}
