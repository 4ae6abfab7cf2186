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
	// ExportLease is the lease of the export.
	ExportLease = "export"
	// ExportKey is the key of its ledger.
	ExportKey = "export/ledger"
	// maxSliceRecords bounds the records of a slice: a change of the holder loses the work on one
	// slice.
	maxSliceRecords = 500
	// sliceTTLDivisor divides the session's time to live: one slice may take that long.
	sliceTTLDivisor = 4
	// callTimeout bounds each call to the service for a slice.
	callTimeout = 5 * time.Second
)

// exporter collects the undelivered messages of all relays: each adds its own, slice by slice,
// while it holds the lease.
type exporter struct {
	section *Export
	relay   string
	client  *lease.Client
	store   func() *deadletter.Store
	cost    time.Duration // that one slice may take
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

// due reports whether the relay has records that are not exported yet.
func (e *exporter) due(ctx context.Context) bool {
	slice, err := e.nextSlice(ctx, 1)
	return err == nil && slice != nil
}

// exportSlice is the next slice that a relay can add to the export.
type exportSlice struct {
	ledger     Ledger // as it was read
	revision   uint64 // of the ledger's value
	store      *deadletter.Store
	storeID    string
	first, end uint64 // numbers of its records: up to, not including, end
	records    []*deadletter.Record
}

// nextSlice returns this relay's next slice, of maxRecords records at most, or nil where there is
// none.
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

// run adds slices until there is none, or another relay is queued for the lease.
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
		err = e.addSlice(act.Ctx, act.Token, slice) //nolint:contextcheck // act.Ctx is ctx, cancelled when the act has to end
		act.End()
		if err != nil {
			return err
		}
		if grant, _ := e.client.Grant(ExportLease); grant.QueueLength > 0 {
			return nil
		}
	}
}

// addSlice writes a slice, and then puts it on the ledger. One that is written and does not get
// there remains as a file that nothing names.
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
		return fmt.Errorf("export: slice %s: %w", header.Name, err) // the next holder reads whether it counts
	case r.Code != coord.CodeOK:
		return fmt.Errorf("export: slice %s does not count: %s %s", header.Name, r.Code, r.Detail)
	}
	return nil
}
