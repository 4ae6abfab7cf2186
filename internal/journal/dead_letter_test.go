package journal

import (
	"testing"

	"frostlink/internal/deadletter"
)

// The highest arrival number, the store's name and the deliveries that have not been reported to the store
// survive restarts. A process without a store clears the name.
func TestStore_SurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	open := func(detailed bool) *Journal {
		t.Helper()
		j, err := Open(dir, 3, detailed)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = j.Close() })
		return j
	}
	j := open(true)
	completed := &Entry{ID: "a", Class: "status", Subject: "k-1", Order: &deadletter.Order{Whole: 4, Arrival: 900}}
	delivered := &Entry{ID: "b", Class: "status", Subject: "k-1", Order: &deadletter.Order{Whole: 5, Arrival: 800}}
	j.SetStore("store")
	j.Accept(completed)
	j.Complete(completed, j.Timeline().Now())
	j.Accept(delivered)
	j.MarkDelivered(delivered)
	if err := j.Commit(); err != nil {
		t.Fatal(err)
	}
	for range 2 { // from the appended records, and from their compaction
		j = open(true)
		e := j.Entry("b")
		if j.lastArrival != 900 || j.store != "store" || e == nil || !e.Delivered || e.Subject != "k-1" || *e.Order != *delivered.Order {
			t.Errorf("last arrival %d, store %q, %+v", j.lastArrival, j.store, e)
		}
	}
	if j = open(false); j.store != "" {
		t.Errorf("store %q in a process without a store", j.store)
	}
	if j = open(true); j.store != "" || j.lastArrival != 900 {
		t.Errorf("after a process without a store: store %q, last arrival %d", j.store, j.lastArrival)
	}
}
