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

// newStore returns a relay's dead-letter store with some records.
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
		k := deadletter.Message{Record: deadletter.Record{
			ID: id, Class: "c", State: deadletter.Held, Since: now,
			Incarnations: []deadletter.Incarnation{{ID: id, Relay: relay, AcceptedAt: now, Deadline: now.Add(time.Second), Reason: deadletter.AttemptsExhausted}},
		}, Body: []byte(id)}
		if err := store.Put([]deadletter.Message{k}); err != nil {
			t.Fatal(err)
		}
	}
}

// readExport reads the ledger, and how often each record is in the slices that count.
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

// TestExporter_ExportsEachRecordOnce: three relays add their undelivered messages to one export, in
// turns. One relay restarts in between, and the service's leader stops, too. No record is missing,
// and none is there twice.
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
		work.Go(func() { _ = client.RunTask(ctx, task) }) // it ends with its context
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
	servertest.Eventually(t, "a slice", func() bool { l, _ := readExport(t, reader, folder); return l.Slices > 0 })
	stops["b"]()
	start("b")
	c.Stop(c.Leader())
	addRecords(t, stores["a"], "a", each, each+10)
	servertest.Eventually(t, "all records", func() bool { l, _ := readExport(t, reader, folder); return l.Records == 3*each+10 })
	l, counts := readExport(t, reader, folder)
	for id, n := range counts {
		if n != 1 {
			t.Errorf("%s is there %d times", id, n)
		}
	}
	if len(counts) != 3*each+10 || len(l.Positions) != 3 {
		t.Errorf("%d records of %d relays", len(counts), len(l.Positions))
	}
}

// TestExporter_FencesPausedHolder: a holder that was paused with its slice written, until another
// has added one, adds nothing.
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
		servertest.Eventually(t, e.relay+" holds", func() bool {
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
		t.Fatalf("%v, %v", paused, err)
	}
	first.End()
	a.client.Request("other", "keeps its session alive") // so that its put reaches the service
	servertest.Eventually(t, "a's other lease", func() bool { _, ok := a.client.Holds("other"); return ok })
	a.client.Release(ExportLease, "")
	second := act(b)
	next, err := b.nextSlice(ctx, maxSliceRecords)
	if err != nil || next == nil {
		t.Fatalf("%v, %v", next, err)
	}
	// The ledger is as the paused holder has read it: only its token shows that it is late. Its
	// context is not cancelled: it does not know that its lease has passed on.
	if err := a.addSlice(ctx, first.Token, paused); err == nil {
		t.Error("the slice of a paused holder counts")
	}
	if err := b.addSlice(second.Ctx, second.Token, next); err != nil {
		t.Fatal(err)
	}
	second.End()
	l, counts := readExport(t, b.client, folder)
	if l.Records != 10 || len(counts) != 10 || counts["a-0"] != 0 {
		t.Errorf("%+v, %d records", l, len(counts))
	}
	if _, err := os.Stat(filepath.Join(folder, "slice-"+fmt.Sprintf("%016x-%08d-a.jsonl", first.Token, 1))); errors.Is(err, os.ErrNotExist) {
		t.Error("the paused holder's slice was not written: the test shows nothing")
	}
}

// TestLedger_VerifyChainFindsDamage: each way in which slices can't be the ledger's is found.
func TestLedger_VerifyChainFindsDamage(t *testing.T) {
	var l Ledger
	heads := map[string]SliceHeader{}
	for i, relay := range []string{"a", "b", "a", "a"} {
		from := l.NextRecord(relay, "s")
		var h SliceHeader
		h, l = l.PlanSlice(relay, "s", uint64(i+1), from, from+10, 10)
		heads[h.Name] = h
	}
	check := func() error {
		_, err := l.VerifyChain(func(name string) (SliceHeader, error) {
			h, ok := heads[name]
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
	last := heads[l.LastSlice]
	for name, damage := range map[string]func(h *SliceHeader){
		"missing":        func(h *SliceHeader) { delete(heads, h.Previous); h.Previous += "x" },
		"under another":  func(h *SliceHeader) { h.Name = "x" },
		"records twice":  func(h *SliceHeader) { h.FirstRecord -= 5 },
		"records missed": func(h *SliceHeader) { h.FirstRecord += 5 },
		"fewer records":  func(h *SliceHeader) { h.Records-- },
		"cut off":        func(h *SliceHeader) { h.Previous = "" },
		"in a circle":    func(h *SliceHeader) { h.Previous = h.Name },
		"ends early":     func(h *SliceHeader) { h.EndRecord-- },
	} {
		t.Run(name, func(t *testing.T) {
			damaged := last
			previous := heads[last.Previous]
			damage(&damaged)
			heads[l.LastSlice] = damaged
			if check() == nil {
				t.Error("the damage was not found")
			}
			heads[last.Previous], heads[l.LastSlice] = previous, last
		})
	}
}
