package fleettask

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"frostlink/internal/coord"
	"frostlink/internal/deadletter"
	"frostlink/internal/lease"
)

const (
	// ExportLease is the lease of the export, and ExportKey the key of its ledger.
	ExportLease = "export"
	ExportKey   = "export/ledger"
	// sliceMost is how many records a slice has at most: a hand-over loses one.
	sliceMost = 500
	// sliceCost is how long one may take, as a share of the time to live.
	sliceCost = 4
	// callsWithin bounds what is asked of the service for one slice.
	callsWithin = 5 * time.Second
)

// export collects what all relays keep: each adds its own, slice by slice, in its turn.
type export struct {
	section *Export
	relay   string
	client  *lease.Client
	store   func() *deadletter.Store
	cost    time.Duration
}

func newExport(s *Export, relay string, client *lease.Client, store func() *deadletter.Store) *export {
	return &export{section: s, relay: relay, client: client, store: store, cost: client.TTL() / sliceCost}
}

func (e *export) task() lease.Task {
	return lease.Task{
		Lease: ExportLease, Reason: "collects undelivered messages in " + e.section.Folder, Interval: e.section.Every(),
		Guard: lease.Fenced("the ledger, a value of the coordination service"), Due: e.due, Run: e.turn,
	}
}

// due tells whether the relay keeps something that is not in the export yet.
func (e *export) due(ctx context.Context) bool {
	next, err := e.look(ctx, 1)
	return err == nil && next != nil
}

// found is what a relay can add to the export.
type found struct {
	ledger   Ledger
	version  uint64
	store    *deadletter.Store
	name     string // of the store
	from, to uint64
	records  []*deadletter.Record
}

// look gives what comes next of this relay's, or nil.
func (e *export) look(ctx context.Context, most int) (*found, error) {
	store := e.store()
	if store == nil {
		return nil, nil
	}
	ctx, stop := context.WithTimeout(ctx, callsWithin)
	defer stop()
	raw, version, err := e.client.Value(ctx, ExportKey)
	if err != nil {
		return nil, err
	}
	n := &found{version: version, store: store}
	if n.ledger, err = ReadLedger(raw); err != nil {
		return nil, err
	}
	if n.name, err = store.ID(); err != nil {
		return nil, err
	}
	n.from = n.ledger.From(e.relay, n.name)
	if n.records, n.to, err = store.Slice(n.from, most); err != nil || n.to == n.from {
		return nil, err
	}
	return n, nil
}

// turn adds slices until nothing is left, or somebody waits.
func (e *export) turn(ctx context.Context, h *lease.Hold) error {
	for {
		next, err := e.look(ctx, sliceMost)
		if err != nil || next == nil {
			return err
		}
		act, err := h.Act(ctx, e.cost)
		if err != nil {
			return err
		}
		err = e.add(act, next)
		act.End()
		if err != nil {
			return err
		}
		if g, _ := e.client.Grant(ExportLease); g.QueueLength > 0 {
			return nil
		}
	}
}

// add writes one slice, and has it count. A slice that is written and does not count stays as a file that nothing names.
func (e *export) add(act *lease.Act, n *found) error {
	head, ledger := n.ledger.Next(e.relay, n.name, act.Token, n.from, n.to, len(n.records))
	if err := writeSlice(e.section.Folder, head, n); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(act.Ctx, callsWithin)
	defer stop()
	r, err := e.client.Put(ctx, ExportLease, act.Token, ExportKey, ledger.Encode(), n.version)
	switch {
	case err != nil:
		return fmt.Errorf("export: slice %s: %w", head.Name, err) // the next holder reads whether it counts
	case r.Code != coord.CodeOK:
		return fmt.Errorf("export: slice %s does not count: %s %s", head.Name, r.Code, r.Detail)
	}
	return nil
}

// sliceLine is one record of a slice.
type sliceLine struct {
	Record *deadletter.Record `json:"record"`
	Body   []byte             `json:"body,omitempty"`
}

// writeSlice writes a slice whole, under its name, and syncs it before it may count.
func writeSlice(folder string, head SliceHead, n *found) (err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("export: %w", err)
	}
	path := filepath.Join(folder, head.Name)
	f, err := os.OpenFile(path+".part", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("export: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(path + ".part")
			err = fmt.Errorf("export: %w", err)
		}
	}()
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	err = enc.Encode(head)
	for _, rec := range n.records {
		body, bodyErr := n.store.Body(rec.ID)
		if bodyErr != nil {
			body = nil // damaged, or left by a bound meanwhile: the record says how long it was
		}
		err = errors.Join(err, enc.Encode(sliceLine{rec, body}))
	}
	if err = errors.Join(err, w.Flush(), f.Sync(), f.Close()); err != nil {
		return err
	}
	if err = os.Rename(path+".part", path); err != nil {
		return err
	}
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// ReadSlice reads a slice's head, and gives each of its lines to a function.
func ReadSlice(folder, name string, line func(raw []byte) error) (SliceHead, error) {
	var head SliceHead
	if !fs.ValidPath(name) || filepath.Base(name) != name {
		return head, fmt.Errorf("%q is no slice's name", name)
	}
	f, err := os.Open(filepath.Join(folder, name))
	if err != nil {
		return head, err
	}
	defer f.Close()
	d := json.NewDecoder(bufio.NewReader(f))
	if err := d.Decode(&head); err != nil {
		return head, fmt.Errorf("its head: %w", err)
	}
	if head.Version != LedgerVersion {
		return head, fmt.Errorf("version %d; this program reads version %d", head.Version, LedgerVersion)
	}
	for n := range head.Records {
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return head, fmt.Errorf("record %d of %d: %w", n+1, head.Records, err)
		}
		if line != nil {
			if err := line(raw); err != nil {
				return head, err
			}
		}
	}
	return head, nil
}
