package journal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// tornFile writes only the first bytes of each write and returns ENOSPC, as a full disk does.
type tornFile struct {
	writableFile
	written     int // number of bytes of each write that reach the file
	truncateErr error
}

func (f *tornFile) Write(b []byte) (int, error) {
	n, err := f.writableFile.Write(b[:min(f.written, len(b))])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f *tornFile) Truncate(size int64) error {
	if f.truncateErr != nil {
		return f.truncateErr
	}
	return f.writableFile.Truncate(size)
}

// At whichever byte a write fails, a later process reads none of the requests of the failed commit, because
// their clients were told that the requests were rejected. If a partial write can't be truncated,
// MayHoldUncommitted reports it. The next successful commit writes all records.
func TestCommit_CutsOffTornWrite(t *testing.T) {
	batch := func(j *Journal) {
		for _, id := range []string{"first", "second"} {
			j.Accept(&Entry{ID: id, Deadline: j.Timeline().Now().Add(time.Minute)})
		}
	}
	batchSize := func() int {
		j := openJournal(t, t.TempDir(), 3)
		batch(j)
		return j.buffer.size
	}()
	for written := range batchSize {
		for _, truncateErr := range []error{nil, syscall.EIO} {
			dir := t.TempDir()
			j := openJournal(t, dir, 3)
			j.Accept(&Entry{ID: "before"})
			commit(t, j)
			good := j.file
			j.file = &tornFile{good, written, truncateErr}
			batch(j)
			if j.Commit() == nil || !j.Failed() || j.MayHoldUncommitted() != (truncateErr != nil) || j.Durable(j.LastRecord()) {
				t.Fatalf("%d bytes written: failed %v, may hold uncommitted %v", written, j.Failed(), j.MayHoldUncommitted())
			}
			later, err := Inspect(dir)
			if err != nil || later.Entry("before") == nil || truncateErr == nil && len(later.Entries()) != 1 {
				t.Fatalf("%d bytes written: a later process reads %d entries, err %v", written, len(later.Entries()), err)
			}
			commit(t, j)
			later, err = Inspect(dir)
			if err != nil || len(later.Entries()) != 3 || j.MayHoldUncommitted() || !j.Durable(j.LastRecord()) {
				t.Fatalf("%d bytes written: after the next commit a later process reads %d entries, err %v",
					written, len(later.Entries()), err)
			}
		}
	}
}

// A process that is killed at any byte of a compaction loses no record, because the old file is replaced
// only when the new one is complete.
func TestCompact_KilledAtAnyPointLosesNothing(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	fill(t, j, j.Timeline().Now())
	old, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	compacted, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	want := len(j.Entries())
	for cut := 0; cut <= len(compacted)+1; cut++ {
		dir := t.TempDir()
		current, temporary := old, compacted[:min(cut, len(compacted))]
		if cut > len(compacted) { // renamed
			current, temporary = compacted, nil
		}
		if err := os.WriteFile(filepath.Join(dir, FileName), current, 0o600); err != nil {
			t.Fatal(err)
		}
		if temporary != nil {
			if err := os.WriteFile(filepath.Join(dir, FileName+".new"), temporary, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		reopened := openJournal(t, dir, 3)
		if len(reopened.Entries()) != want || len(reopened.CompletedRequests()) != len(j.CompletedRequests()) {
			t.Fatalf("killed after %d of %d bytes: %d entries of %d", cut, len(compacted), len(reopened.Entries()), want)
		}
	}
}
