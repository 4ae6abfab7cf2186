package journal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/notification"
)

func openJournal(t *testing.T, dir string, mb float64) *Journal {
	t.Helper()
	j, err := Open(dir, mb, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

func commit(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Commit(); err != nil {
		t.Fatal(err)
	}
}

// fill commits three requests: one completed, one with two attempts, and one with a pending notice.
func fill(t *testing.T, j *Journal, at clock.Instant) {
	t.Helper()
	for _, id := range []string{"completed", "attempted", "pending"} {
		j.Accept(&Entry{
			ID: id, Class: "order", Destination: 7, IdempotencyKey: "k", Deadline: at.Add(time.Minute),
			Body: []byte("body\x00" + id),
		})
	}
	commit(t, j)
	j.Complete(j.Entry("completed"), at)
	e := j.Entry("attempted")
	j.BeginAttempt(e, "h1", at)
	j.EndAttempt(e, true, "", 0)
	j.BeginAttempt(e, "h2", at.Add(time.Second))
	j.DecideOutcome(j.Entry("pending"), notification.Notice{ID: "pending", Status: notification.Deferred, RetryAfterMS: 30}, "", 0)
	j.SetHealth("h2", Health{Unhealthy: true, At: at})
	commit(t, j)
}

func TestOpen_ReplaysLogAndCompaction(t *testing.T) {
	dir, at := t.TempDir(), clock.New().Now()
	fill(t, openJournal(t, dir, 3), at)
	for range 2 { // from the appended records, and from the compaction of the first Open
		j := openJournal(t, dir, 3)
		list := j.Entries()
		if len(list) != 2 || list[0].ID != "attempted" || list[1].ID != "pending" {
			t.Fatalf("entries: %v", list)
		}
		e := list[0]
		if e.Class != "order" || e.Destination != 7 || e.IdempotencyKey != "k" || e.Deadline != at.Add(time.Minute) ||
			!bytes.Equal(e.Body, []byte("body\x00attempted")) {
			t.Errorf("entry: %+v", e)
		}
		if len(e.Attempts) != 2 || !e.Attempts[0].NotExecuted || e.Attempts[1].Ended || e.Attempts[1].Endpoint != "h2" ||
			e.Attempts[1].StartedAt != at.Add(time.Second) {
			t.Errorf("attempts: %+v", e.Attempts)
		}
		if n := list[1].PendingNotice; n == nil || *n != (notification.Notice{ID: "pending", Status: notification.Deferred, RetryAfterMS: 30}) {
			t.Errorf("notice: %v", n)
		}
		if h := j.Health()["h2"]; !h.Unhealthy || h.At != at {
			t.Errorf("health: %v", j.Health())
		}
	}
}

// If a file is truncated or damaged at any byte, all complete records before that byte are read, and new
// records are appended after them.
func TestOpen_SkipsCorruptTail(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "a", Body: []byte("1")})
	commit(t, j)
	firstSize := j.fileSize
	j.Accept(&Entry{ID: "b", Body: []byte("2")})
	commit(t, j)
	raw, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for end := firstSize; end <= len(raw); end++ {
		damaged := [][]byte{raw[:end]}
		if end < len(raw) {
			noise := bytes.Clone(raw)
			noise[end] ^= 0x41
			damaged = append(damaged, noise)
		}
		for i, tail := range damaged {
			other := t.TempDir()
			if err := os.WriteFile(filepath.Join(other, FileName), tail, 0o600); err != nil {
				t.Fatal(err)
			}
			want := 1
			if end == len(raw) {
				want = 2
			}
			j := openJournal(t, other, 3)
			if list := j.Entries(); len(list) != want || list[0].ID != "a" {
				t.Fatalf("damage %d at byte %d: %d entries, want %d", i, end, len(list), want)
			}
			j.Accept(&Entry{ID: "c"})
			commit(t, j)
			if reopened := openJournal(t, other, 3); reopened.Entry("c") == nil {
				t.Fatalf("damage %d at byte %d: a record that was added afterwards is lost", i, end)
			}
		}
	}
}

// Requests with bodies of the largest size never fill the folder beyond its limit, even during a compaction,
// when the old file and the new file exist.
func TestCommit_StaysUnderDiskLimit(t *testing.T) {
	const mb = 1
	dir := t.TempDir()
	j := openJournal(t, dir, mb)
	rejected := 0
	for i := range 100 {
		e := &Entry{ID: fmt.Sprint("m", i), Body: make([]byte, 64<<10)}
		if !j.Reserve(e) {
			rejected++
			j.Complete(j.Entries()[0], j.Timeline().Now())
			commit(t, j)
			continue
		}
		j.Accept(e)
		for range 12 {
			j.BeginAttempt(e, "endpoint-with-a-rather-long-id", j.Timeline().Now())
			j.EndAttempt(e, true, "", 0)
		}
		commit(t, j)
		// During a compaction the old file exists beside a new one with all live records.
		if j.fileSize+j.liveSize > mb*1e6 {
			t.Fatalf("file of %d bytes and %d live bytes exceed the limit", j.fileSize, j.liveSize)
		}
		if st, err := os.Stat(j.path); err != nil || int(st.Size()) != j.fileSize {
			t.Fatalf("file info %v, err %v; the journal counts %d bytes", st, err, j.fileSize)
		}
	}
	if rejected == 0 {
		t.Error("no request was rejected")
	}
}

// Reserved requests count against the size limit before their records are committed.
func TestReserve_CountsUncommittedRequests(t *testing.T) {
	j := openJournal(t, t.TempDir(), 1)
	n := 0
	for j.Reserve(&Entry{ID: "m", Body: make([]byte, 64<<10)}) {
		if n++; n > 100 {
			t.Fatal("Reserve enforces no limit")
		}
	}
	if n == 0 || 2*n*64<<10 > 1e6 {
		t.Errorf("%d requests reserved without a commit", n)
	}
}

// After a failed commit, Reserve rejects requests until a new file with all records has been written.
func TestCommit_RewritesFileAfterFailure(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	j.Accept(&Entry{ID: "a"})
	commit(t, j)
	_ = j.file.Close()
	j.Accept(&Entry{ID: "b"})
	if j.Commit() == nil || j.Reserve(&Entry{ID: "c"}) {
		t.Error("a failed write is not reported")
	}
	commit(t, j)
	if reopened := openJournal(t, dir, 3); len(reopened.Entries()) != 2 {
		t.Errorf("%d entries after the next commit", len(reopened.Entries()))
	}
}

// The timeline of a journal continues from one process to the next. The instants of an unanchored file are
// read unchanged, and the new timeline does not begin before them, even if the wall clock was stepped back.
func TestTimeline_ContinuesAcrossProcesses(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	if j.Timeline().SameBoot() {
		t.Error("the journal of an empty folder continues a timeline")
	}
	first := j.Timeline().Anchor()
	fill(t, j, j.Timeline().Now())
	for range 2 {
		j = openJournal(t, dir, 3)
		if !j.Timeline().SameBoot() || j.Timeline().Anchor() != first {
			t.Errorf("anchored at %+v, want %+v", j.Timeline().Anchor(), first)
		}
	}

	ahead := clock.New().Now().Add(time.Hour) // the file was written while the wall clock was an hour ahead
	unanchored := appendRecord(nil, record{Kind: kindAccepted, Entry: &Entry{ID: "a", Deadline: ahead.Add(time.Minute)}})
	unanchored = appendRecord(unanchored, record{Kind: kindAttemptStarted, ID: "a", Endpoint: "h", At: ahead})
	if err := os.WriteFile(filepath.Join(dir, FileName), unanchored, 0o600); err != nil {
		t.Fatal(err)
	}
	j = openJournal(t, dir, 3)
	e := j.Entry("a")
	if e == nil || e.Attempts[0].StartedAt != ahead || j.Timeline().SameBoot() {
		t.Fatalf("%+v, continued: %v", e, j.Timeline().SameBoot())
	}
	if left := e.Deadline.Sub(j.Timeline().Now()); left > time.Minute {
		t.Errorf("%v left until the deadline, want at most a minute", left)
	}
}
