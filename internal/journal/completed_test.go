package journal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostlink/internal/clock"
)

// Completed requests are remembered through replay and compaction, in order, until they expire. A request
// whose completion time an earlier version of the program did not write is not remembered.
func TestCompletedRequests_SurviveRestartUntilExpired(t *testing.T) {
	dir, at := t.TempDir(), clock.FromMilliseconds(clock.New().Now().Milliseconds())
	j := openJournal(t, dir, 3)
	for i := range 5 {
		e := &Entry{ID: fmt.Sprint("m", i)}
		j.Accept(e)
		j.Complete(e, at.Add(time.Duration(i)*time.Second))
	}
	old := &Entry{ID: "old"}
	j.Accept(old)
	j.addRecord(record{Kind: kindCompleted, ID: "old"}) // as written by an earlier version, without a time
	commit(t, j)
	for range 3 { // from the appended records, from their compaction, and from a second compaction
		j = openJournal(t, dir, 3)
		completed := j.CompletedRequests()
		if len(completed) != 5 || completed[0].ID != "m0" || completed[4].At != at.Add(4*time.Second) ||
			!j.IsCompleted("m2") || j.IsCompleted("old") || j.IsCompleted("new") {
			t.Fatalf("completed requests: %v", completed)
		}
	}
	j.ExpireCompleted(at.Add(2 * time.Second))
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	if j = openJournal(t, dir, 3); j.IsCompleted("m1") || !j.IsCompleted("m2") || len(j.CompletedRequests()) != 3 {
		t.Errorf("after expiry: %v", j.CompletedRequests())
	}
}

// However many requests are completed, only the latest maxCompleted of them are kept in memory, and a
// compaction writes only the latest that fit into completedCapacity bytes. Completed requests never cause a
// new request to be rejected.
func TestCompletedRequests_AreBounded(t *testing.T) {
	const mb = 1
	dir, at := t.TempDir(), clock.New().Now()
	j := openJournal(t, dir, mb)
	compactions, sizeBefore := 0, 0
	for i := range maxCompleted + 100 {
		e := &Entry{ID: fmt.Sprintf("%s%08d", strings.Repeat("i", 24), i)}
		if !j.Reserve(e) {
			t.Fatalf("request %d was rejected", i)
		}
		j.Accept(e)
		j.Complete(e, at)
		if i%64 == 0 {
			commit(t, j)
		}
		if j.fileSize < sizeBefore {
			compactions++
		}
		if sizeBefore = j.fileSize; j.fileSize+j.liveSize > mb*1e6 {
			t.Fatalf("file of %d bytes and %d live bytes exceed the limit", j.fileSize, j.liveSize)
		}
	}
	commit(t, j)
	if len(j.CompletedRequests()) != maxCompleted || len(j.completed.ids) != maxCompleted {
		t.Errorf("%d completed requests in memory, %d ids", len(j.CompletedRequests()), len(j.completed.ids))
	}
	if compactions > 60 {
		t.Errorf("%d compactions", compactions)
	}
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	last := j.CompletedRequests()[maxCompleted-1]
	reopened := openJournal(t, dir, mb)
	n := len(reopened.CompletedRequests())
	capacity := completedFraction * usableFraction * mb * 1e6
	if n < int(capacity)/50 || n > int(capacity)/32 || !reopened.IsCompleted(last.ID) {
		t.Errorf("%d completed requests read from a file with capacity for %.0f bytes of them", n, capacity)
	}
}

// The memory of completed requests has a bound of its own: long ids leave room for fewer.
func TestCompletedRequests_StayWithinTheirMemory(t *testing.T) {
	const limit = 100 << 10
	j := openJournal(t, t.TempDir(), 3)
	j.LimitCompleted(limit)
	at := clock.New().Now()
	id := func(i int) string { return fmt.Sprintf("%s%08d", strings.Repeat("i", 200), i) }
	const requests = 5000
	for i := range requests {
		e := &Entry{ID: id(i)}
		j.Accept(e)
		j.Complete(e, at)
	}
	if memory := j.CompletedMemory(); memory > limit || memory < limit/2 {
		t.Errorf("%d bytes, limit %d", memory, limit)
	}
	if !j.IsCompleted(id(requests-1)) || j.IsCompleted(id(0)) {
		t.Error("the latest request is not remembered, or the first one still is")
	}
}

// If the record of completed requests is malformed, only the completed requests are lost.
func TestReplay_SkipsMalformedCompletedRequests(t *testing.T) {
	dir := t.TempDir()
	raw := appendRecord(nil, record{Kind: kindCompletedRequests, Body: []byte{200, 'x'}})
	raw = appendRecord(raw, record{Kind: kindAccepted, Entry: &Entry{ID: "a"}})
	if err := os.WriteFile(filepath.Join(dir, FileName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if j := openJournal(t, dir, 3); len(j.CompletedRequests()) != 0 || j.Entry("a") == nil {
		t.Errorf("completed requests %v, entry %v", j.CompletedRequests(), j.Entry("a"))
	}
}

// Requests that readCompleted has decoded are unchanged when they are encoded and decoded again, and their
// encoding is not longer than the input.
func FuzzReadCompleted(f *testing.F) {
	f.Add(encodeCompleted([]CompletedRequest{
		{ID: "9b1f03aa5c7e2d41", At: clock.FromMilliseconds(1764625871000)},
		{ID: "", At: clock.FromMilliseconds(-1)},
	}))
	f.Add([]byte{200, 'x'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		completed, err := readCompleted(raw)
		if err != nil {
			return
		}
		b := encodeCompleted(completed)
		again, err := readCompleted(b)
		if err != nil || len(again) != len(completed) {
			t.Fatalf("%v encoded and decoded is %v, err %v", completed, again, err)
		}
		for i := range completed {
			if again[i].ID != completed[i].ID || again[i].At != completed[i].At {
				t.Fatalf("%v encoded and decoded is %v", completed[i], again[i])
			}
		}
		if len(b) > len(raw) || len(b) == len(raw) && !bytes.Equal(b, raw) {
			t.Fatalf("%x decoded and encoded is %x", raw, b)
		}
	})
}
