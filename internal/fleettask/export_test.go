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

// filled is a store with records a relay keeps.
func filled(t *testing.T, relay string, n int) *deadletter.Store {
	t.Helper()
	store, err := deadletter.Open(filepath.Join(t.TempDir(), relay), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	put(t, store, relay, 0, n)
	return store
}

func put(t *testing.T, store *deadletter.Store, relay string, from, to int) {
	t.Helper()
	now := time.Now()
	for i := from; i < to; i++ {
		id := fmt.Sprintf("%s-%d", relay, i)
		k := deadletter.Kept{Record: deadletter.Record{
			ID: id, Class: "c", State: deadletter.Held, Since: now,
			Lives: []deadletter.Life{{ID: id, Relay: relay, Taken: now, Expires: now.Add(time.Second), Reason: deadletter.Spent}},
		}, Body: []byte(id)}
		if err := store.Put([]deadletter.Kept{k}); err != nil {
			t.Fatal(err)
		}
	}
}

// ledger reads what counts, and every record of it.
func ledger(t *testing.T, client *lease.Client, folder string) (Ledger, map[string]int) {
	t.Helper()
	raw, _, err := client.Value(context.Background(), ExportKey)
	if err != nil {
		t.Fatal(err)
	}
	l, err := ReadLedger(raw)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]int{}
	if _, err := l.Chain(func(name string) (SliceHead, error) {
		return ReadSlice(folder, name, func(raw []byte) error {
			var line sliceLine
			if err := json.Unmarshal(raw, &line); err != nil {
				return err
			}
			if string(line.Body) != line.Record.ID {
				return fmt.Errorf("record %s has the body %q", line.Record.ID, line.Body)
			}
			seen[line.Record.ID]++
			return nil
		})
	}); err != nil {
		t.Fatal(err)
	}
	return l, seen
}

// TestExport: three relays collect what they keep into one export, in turns. One ends in between and comes again, and the
// members' leader ends, too. No record is missing, none is there twice.
func TestExport(t *testing.T) {
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
		task := newExport(&Export{Folder: folder, EveryS: 0.02}, relay, client, func() *deadletter.Store { return stores[relay] }).task()
		work.Go(func() { client.Run(ctx) })
		work.Go(func() { _ = client.RunTask(ctx, task) }) // ends with its context
		return client
	}
	defer work.Wait()
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	for _, relay := range []string{"a", "b", "c"} {
		stores[relay] = filled(t, relay, each)
	}
	reader := start("a")
	start("b")
	start("c")
	servertest.Eventually(t, "a slice", func() bool { l, _ := ledger(t, reader, folder); return l.Slices > 0 })
	stops["b"]()
	start("b")
	c.Stop(c.Leader())
	put(t, stores["a"], "a", each, each+10)
	servertest.Eventually(t, "all records", func() bool { l, _ := ledger(t, reader, folder); return l.Records == 3*each+10 })
	l, seen := ledger(t, reader, folder)
	for id, n := range seen {
		if n != 1 {
			t.Errorf("%s is there %d times", id, n)
		}
	}
	if len(seen) != 3*each+10 || len(l.Places) != 3 {
		t.Errorf("%d records of %d relays", len(seen), len(l.Places))
	}
}

// TestPausedExporter: a holder that was paused with its slice written, until another has gone on, adds nothing.
func TestPausedExporter(t *testing.T) {
	c := servertest.New(t)
	folder := t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	exports := map[string]*export{}
	for _, relay := range []string{"a", "b"} {
		client := lease.NewClient(relay, servertest.Name, c.Members, 2*time.Second, 50*time.Millisecond, slog.Default())
		store := filled(t, relay, 10)
		exports[relay] = newExport(&Export{Folder: folder}, relay, client, func() *deadletter.Store { return store })
		work.Go(func() { client.Run(ctx) })
	}
	a, b := exports["a"], exports["b"]
	act := func(e *export) *lease.Act {
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
	paused, err := a.look(ctx, sliceMost)
	if err != nil || paused == nil {
		t.Fatalf("%v, %v", paused, err)
	}
	first.End()
	a.client.Request("other", "keeps its session") // so that the service is asked
	servertest.Eventually(t, "a's other lease", func() bool { _, ok := a.client.Holds("other"); return ok })
	a.client.Release(ExportLease, "")
	second := act(b)
	next, err := b.look(ctx, sliceMost)
	if err != nil || next == nil {
		t.Fatalf("%v, %v", next, err)
	}
	// The ledger is as the paused one has read it: its token alone keeps it out.
	late := *first
	late.Ctx = ctx // it does not know that its time is over
	if err := a.add(&late, paused); err == nil {
		t.Error("the slice of a paused holder counts")
	}
	if err := b.add(second, next); err != nil {
		t.Fatal(err)
	}
	second.End()
	l, seen := ledger(t, b.client, folder)
	if l.Records != 10 || len(seen) != 10 || seen["a-0"] != 0 {
		t.Errorf("%+v, %d records", l, len(seen))
	}
	if _, err := os.Stat(filepath.Join(folder, "slice-"+fmt.Sprintf("%016x-%08d-a.jsonl", first.Token, 1))); errors.Is(err, os.ErrNotExist) {
		t.Error("the paused holder's slice was not written: the test says nothing")
	}
}

// TestChain: each way in which slices can't be the ledger's is found.
func TestChain(t *testing.T) {
	var l Ledger
	heads := map[string]SliceHead{}
	for i, relay := range []string{"a", "b", "a", "a"} {
		from := l.From(relay, "s")
		var h SliceHead
		h, l = l.Next(relay, "s", uint64(i+1), from, from+10, 10)
		heads[h.Name] = h
	}
	check := func() error {
		_, err := l.Chain(func(name string) (SliceHead, error) {
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
	last := heads[l.Head]
	for name, spoil := range map[string]func(h *SliceHead){
		"missing":        func(h *SliceHead) { delete(heads, h.Before); h.Before += "x" },
		"under another":  func(h *SliceHead) { h.Name = "x" },
		"records twice":  func(h *SliceHead) { h.From -= 5 },
		"records missed": func(h *SliceHead) { h.From += 5 },
		"fewer records":  func(h *SliceHead) { h.Records-- },
		"cut":            func(h *SliceHead) { h.Before = "" },
		"in a circle":    func(h *SliceHead) { h.Before = h.Name },
		"ends early":     func(h *SliceHead) { h.To-- },
	} {
		t.Run(name, func(t *testing.T) {
			spoilt := last
			kept := heads[last.Before]
			spoil(&spoilt)
			heads[l.Head] = spoilt
			if check() == nil {
				t.Error("not found")
			}
			heads[last.Before], heads[l.Head] = kept, last
		})
	}
}
