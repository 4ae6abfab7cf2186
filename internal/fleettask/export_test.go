package fleettask

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"frostlink/internal/coord/server/servertest"
	"frostlink/internal/deadletter"
	"frostlink/internal/lease"
)

// newStore returns a relay's dead-letter store with n records.
func newStore(t *testing.T, relay string, n int) *deadletter.Store {
	t.Helper()
	store, err := deadletter.Open(filepath.Join(t.TempDir(), relay), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	addRecords(t, store, relay, 0, n)
	return store
}

func addRecords(t *testing.T, store *deadletter.Store, relay string, from, to int) {
	t.Helper()
	now := time.Now()
	for i := from; i < to; i++ {
		id := fmt.Sprintf("%s-%d", relay, i)
		m := deadletter.Message{Record: deadletter.Record{
			ID: id, Class: "c", State: deadletter.Held, Since: now,
			Incarnations: []deadletter.Incarnation{{ID: id, Relay: relay, AcceptedAt: now, Deadline: now.Add(time.Second), Reason: deadletter.AttemptsExhausted}},
		}, Body: []byte(id)}
		if err := store.Put([]deadletter.Message{m}); err != nil {
			t.Fatal(err)
		}
	}
}

// readExport returns the ledger, and how often each record occurs in the valid slices.
func readExport(t *testing.T, client *lease.Client, folder string) (Ledger, map[string]int) {
	t.Helper()
	raw, _, err := client.Value(t.Context(), ExportKey)
	if err != nil {
		t.Fatal(err)
	}
	l, err := DecodeLedger(raw)
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	if _, err := l.VerifyChain(func(name string) (SliceHeader, error) {
		return ReadSlice(folder, name, func(raw []byte) error {
			var line sliceLine
			if err := json.Unmarshal(raw, &line); err != nil {
				return err
			}
			if string(line.Body) != line.Record.ID {
				return fmt.Errorf("record %s has the body %q", line.Record.ID, line.Body)
			}
			counts[line.Record.ID]++
			return nil
		})
	}); err != nil {
		t.Fatal(err)
	}
	return l, counts
}

// TestExporter_ExportsEachRecordOnce: three relays add their undelivered messages to one export by
// turns. Meanwhile one relay restarts and the leader of the coordination service stops. The export
// must contain each record exactly once.
func TestExporter_ExportsEachRecordOnce(t *testing.T) {
	c := servertest.New(t)
	folder := t.TempDir()
	const each = 1200
	stores := map[string]*deadletter.Store{}
	var work sync.WaitGroup
	stops := map[string]context.CancelFunc{}
	start := func(relay string) *lease.Client {
		ctx, stop := context.WithCancel(context.Background())
		stops[relay] = stop
		client := lease.NewClient(relay, servertest.Name, c.Members, 2*time.Second, 50*time.Millisecond, slog.Default())
		task := newExporter(&Export{Folder: folder, IntervalSeconds: 0.02}, relay, client, func() *deadletter.Store { return stores[relay] }).task()
		work.Go(func() { client.Run(ctx) })
		work.Go(func() { _ = client.RunTask(ctx, task) }) // returns when its context ends
		return client
	}
	defer work.Wait()
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for _, relay := range []string{"a", "b", "c"} {
		stores[relay] = newStore(t, relay, each)
	}
	reader := start("a")
	start("b")
	start("c")
	servertest.Eventually(t, "a slice is exported", func() bool { l, _ := readExport(t, reader, folder); return l.Slices > 0 })
	stops["b"]()
	start("b")
	c.Stop(c.Leader())
	addRecords(t, stores["a"], "a", each, each+10)
	servertest.Eventually(t, "all records are exported", func() bool { l, _ := readExport(t, reader, folder); return l.Records == 3*each+10 })
	l, counts := readExport(t, reader, folder)
	for id, n := range counts {
		if n != 1 {
			t.Errorf("%s was exported %d times", id, n)
		}
	}
	if len(counts) != 3*each+10 || len(l.Positions) != 3 {
		t.Errorf("exported %d records of %d relays", len(counts), len(l.Positions))
	}
}

// TestExporter_FencesPausedHolder: a lease holder that is paused after it has read its next slice,
// until another relay has the lease, must not add the slice to the ledger.
func TestExporter_FencesPausedHolder(t *testing.T) {
	c := servertest.New(t)
	folder := t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	exporters := map[string]*exporter{}
	for _, relay := range []string{"a", "b"} {
		client := lease.NewClient(relay, servertest.Name, c.Members, 2*time.Second, 50*time.Millisecond, slog.Default())
		store := newStore(t, relay, 10)
		exporters[relay] = newExporter(&Export{Folder: folder}, relay, client, func() *deadletter.Store { return store })
		work.Go(func() { client.Run(ctx) })
	}
	a, b := exporters["a"], exporters["b"]
	act := func(e *exporter) *lease.Act {
		t.Helper()
		var act *lease.Act
		servertest.Eventually(t, e.relay+" holds the lease", func() bool {
			e.client.Request(ExportLease, "test")
			var err error
			act, err = e.client.Act(ctx, ExportLease, 100*time.Millisecond)
			return err == nil
		})
		return act
	}
	first := act(a)
	paused, err := a.nextSlice(ctx, maxSliceRecords)
	if err != nil || paused == nil {
		t.Fatalf("no slice for the paused holder: %v, %v", paused, err)
	}
	first.End()
	a.client.Request("other", "keeps its session alive") // without a session, a put fails before it is sent to the service
	servertest.Eventually(t, "a holds its other lease", func() bool { _, ok := a.client.Holds("other"); return ok })
	a.client.Release(ExportLease, "")
	second := act(b)
	next, err := b.nextSlice(ctx, maxSliceRecords)
	if err != nil || next == nil {
		t.Fatalf("no slice for the next holder: %v, %v", next, err)
	}
	// The ledger has not changed since the paused holder has read it, so only the old token shows
	// that its slice is late. Its context is not cancelled, as if it had not noticed yet that its
	// lease was lost.
	if err := a.addSlice(ctx, first.Token, paused); err == nil {
		t.Error("the slice of a paused holder was added to the ledger")
	}
	if err := b.addSlice(second.Ctx, second.Token, next); err != nil {
		t.Fatal(err)
	}
	second.End()
	l, counts := readExport(t, b.client, folder)
	if l.Records != 10 || len(counts) != 10 || counts["a-0"] != 0 {
		t.Errorf("unexpected export: ledger %+v, %d records", l, len(counts))
	}
	if _, err := os.Stat(filepath.Join(folder, "slice-"+fmt.Sprintf("%016x-%08d-a.jsonl", first.Token, 1))); errors.Is(err, os.ErrNotExist) {
		t.Error("the paused holder's slice was not written, so the test does not check the fencing")
	}
}

// TestLedger_VerifyChainFindsDamage: VerifyChain detects each kind of mismatch between slices and
// ledger.
func TestLedger_VerifyChainFindsDamage(t *testing.T) {
	var l Ledger
	headers := map[string]SliceHeader{}
	for i, relay := range []string{"a", "b", "a", "a"} {
		from := l.NextRecord(relay, "s")
		var h SliceHeader
		h, l = l.PlanSlice(relay, "s", uint64(i+1), from, from+10, 10)
		headers[h.Name] = h
	}
	check := func() error {
		_, err := l.VerifyChain(func(name string) (SliceHeader, error) {
			h, ok := headers[name]
			if !ok {
				return h, os.ErrNotExist
			}
			return h, nil
		})
		return err
	}
	if err := check(); err != nil {
		t.Fatal(err)
	}
	last := headers[l.LastSlice]
	for name, damage := range map[string]func(h *SliceHeader){
		"missing":                            func(h *SliceHeader) { delete(headers, h.Previous); h.Previous += "x" },
		"under another name":                 func(h *SliceHeader) { h.Name = "x" },
		"records twice":                      func(h *SliceHeader) { h.FirstRecord -= 5 },
		"records missed":                     func(h *SliceHeader) { h.FirstRecord += 5 },
		"fewer records":                      func(h *SliceHeader) { h.Records-- },
		"earlier slices cut off":             func(h *SliceHeader) { h.Previous = "" },
		"names itself as the previous slice": func(h *SliceHeader) { h.Previous = h.Name },
		"ends early":                         func(h *SliceHeader) { h.EndRecord-- },
	} {
		t.Run(name, func(t *testing.T) {
			damaged := last
			previous := headers[last.Previous]
			damage(&damaged)
			headers[l.LastSlice] = damaged
			if check() == nil {
				t.Error("the damage was not detected")
			}
			headers[last.Previous], headers[l.LastSlice] = previous, last
		})
	}
}
