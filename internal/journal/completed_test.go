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

// However many requests are completed, none is forgotten before it expires, by a compaction or a restart. Instead further requests are
// rejected. The file and its next compaction stay within the limit.
func TestCompletedRequests_AreNotForgottenTooEarly(t *testing.T) {
	const mb = 1
	dir, at := t.TempDir(), clock.FromMilliseconds(clock.New().Now().Milliseconds())
	j := openJournal(t, dir, mb)
	compactions, sizeBefore, completed := 0, 0, 0
	reserve := func(e *Entry) bool {
		if j.Reserve(e) {
			return true
		}
		if err := j.Compact(); err != nil { // without the records of this commit and the appended ones there may be space
			t.Fatal(err)
		}
		return j.Reserve(e)
	}
	for ; ; completed++ {
		e := &Entry{ID: completedID(completed)}
		if !reserve(e) {
			break
		}
		j.Accept(e)
		j.Complete(e, at.Add(time.Duration(completed)*time.Millisecond))
		if completed%32 == 0 {
			commit(t, j)
		}
		if j.fileSize < sizeBefore {
			compactions++
		}
		if sizeBefore = j.fileSize; j.fileSize+j.liveSize+j.completed.size > usableFraction*mb*1e6 {
			t.Fatalf("file of %d bytes, %d live bytes and %d bytes of completed requests exceed the limit", j.fileSize, j.liveSize, j.completed.size)
		}
	}
	commit(t, j)
	if completed < 8000 || len(j.CompletedRequests()) != completed || compactions > 60 {
		t.Errorf("%d requests completed, %d remembered, %d compactions", completed, len(j.CompletedRequests()), compactions)
	}
	for range 2 { // from the appended records, and from their compaction
		j = openJournal(t, dir, mb)
		if n := len(j.CompletedRequests()); n != completed || !j.IsCompleted(completedID(0)) || !j.IsCompleted(completedID(completed-1)) {
			t.Errorf("%d of %d completed requests are remembered after a restart", n, completed)
		}
	}
	if reserve(&Entry{ID: completedID(completed)}) {
		t.Error("a request was accepted while there is no space for its id")
	}
	j.ExpireCompleted(at.Add(time.Duration(completed/2) * time.Millisecond))
	if !reserve(&Entry{ID: completedID(completed)}) || j.IsCompleted(completedID(0)) || !j.IsCompleted(completedID(completed/2)) {
		t.Error("after the expiry of half of the completed requests there is no space, or the wrong ones are remembered")
	}
}

// completedID returns the id of the i-th completed request of a test.
func completedID(i int) string { return fmt.Sprintf("%s%08d", strings.Repeat("i", 24), i) }

// While the journal is full of open requests, a compaction that the size limit causes keeps the completed ones too.
func TestCompletedRequests_SurviveCompactionOfFullJournal(t *testing.T) {
	dir, at := t.TempDir(), clock.New().Now()
	j := openJournal(t, dir, 3)
	accept := func(id string, bodySize int) *Entry {
		e := &Entry{ID: id, Body: make([]byte, bodySize)}
		if !j.Reserve(e) {
			return nil
		}
		j.Accept(e)
		commit(t, j)
		return e
	}
	j.Complete(accept("first", 0), at)
	for i := 0; accept(fmt.Sprint("open", i), 64<<10) != nil; i++ {
	}
	compactions, sizeBefore, completed := 0, j.fileSize, 1
	for i := 0; compactions < 2; i++ {
		if e := accept(completedID(i), 0); e != nil {
			j.Complete(e, at)
			completed++
		} else {
			j.SetHealth("endpoint", Health{At: at}) // no further request is accepted: other records grow the file
		}
		commit(t, j)
		if j.fileSize < sizeBefore {
			compactions++
		}
		sizeBefore = j.fileSize
	}
	if j = openJournal(t, dir, 3); !j.IsCompleted("first") || len(j.CompletedRequests()) != completed {
		t.Errorf("%d of %d completed requests are remembered, the first one: %v", len(j.CompletedRequests()), completed, j.IsCompleted("first"))
	}
}

// The memory of completed requests has a bound of its own: long ids leave room for fewer. A request for whose id there is none is
// rejected.
func TestCompletedRequests_StayWithinTheirMemory(t *testing.T) {
	const limit = 100 << 10
	j := openJournal(t, t.TempDir(), 3)
	j.LimitCompleted(limit)
	at := clock.New().Now()
	id := func(i int) string { return fmt.Sprintf("%s%08d", strings.Repeat("i", 200), i) }
	completed := 0
	for ; ; completed++ {
		e := &Entry{ID: id(completed)}
		if !j.Reserve(e) {
			break
		}
		j.Accept(e)
		j.Complete(e, at)
		commit(t, j)
	}
	if memory := j.CompletedMemory(); memory > limit || memory < limit/2 || j.CanRemember(id(completed)) || j.SpaceLeft() < limit {
		t.Errorf("%d bytes, limit %d; %d bytes left in the file", memory, limit, j.SpaceLeft())
	}
	if !j.IsCompleted(id(completed-1)) || !j.IsCompleted(id(0)) {
		t.Error("a completed request is not remembered")
	}
	j.ExpireCompleted(at.Add(1))
	if j.CompletedMemory() != 0 || !j.CanRemember(id(completed)) {
		t.Errorf("%d bytes after all requests expired", j.CompletedMemory())
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
