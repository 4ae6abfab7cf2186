package journal

import (
	"testing"

	"frostlink/internal/deadletter"
)

// The journal knows the highest arrival, which store was told, and what it is still to be told, also when compacted.
func TestTheJournalKnowsWhatTheStoreWasTold(t *testing.T) {
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
	over := &Entry{ID: "a", Class: "status", Subject: "k-1", Order: &deadletter.Order{Whole: 4, Arrival: 900}}
	owed := &Entry{ID: "b", Class: "status", Subject: "k-1", Order: &deadletter.Order{Whole: 5, Arrival: 800}}
	j.SetStore("store")
	j.Accept(over)
	j.Complete(over, j.Timeline().Now())
	j.Accept(owed)
	j.MarkDelivered(owed)
	if err := j.Commit(); err != nil {
		t.Fatal(err)
	}
	for range 2 { // as written, and as compacted
		j = open(true)
		e := j.Get("b")
		if j.arrivals != 900 || j.store != "store" || e == nil || !e.Delivered || e.Subject != "k-1" || *e.Order != *owed.Order {
			t.Errorf("arrivals %d, store %q, %+v", j.arrivals, j.store, e)
		}
	}
	if j = open(false); j.store != "" {
		t.Errorf("a process that tells no store leaves %q", j.store)
	}
	if j = open(true); j.store != "" || j.arrivals != 900 {
		t.Errorf("after it %q, %d", j.store, j.arrivals)
	}
}
