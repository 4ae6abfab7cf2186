package journal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// tornFile writes a part of what it is given and fails, as a disk that is full.
type tornFile struct {
	openFile
	takes     int   // bytes of a write
	truncates error // what becomes of cutting them off again
}

func (f *tornFile) Write(b []byte) (int, error) {
	n, err := f.openFile.Write(b[:min(f.takes, len(b))])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f *tornFile) Truncate(size int64) error {
	if f.truncates != nil {
		return f.truncates
	}
	return f.openFile.Truncate(size)
}

// Wherever a write is cut off, a process that is killed then leaves nothing of a batch that was not written: its clients were told
// that their messages were not accepted. Where it can't be cut off the journal says so. The next good commit has all.
func TestTornWrites(t *testing.T) {
	batch := func(j *Journal) {
		for _, id := range []string{"first", "second"} {
			j.Accept(&Entry{ID: id, Deadline: j.Timeline().Now().Add(time.Minute)})
		}
	}
	whole := func() int {
		j := openJournal(t, t.TempDir(), 3)
		batch(j)
		return len(j.pending)
	}()
	for takes := range whole {
		for _, stuck := range []error{nil, syscall.EIO} {
			dir := t.TempDir()
			j := openJournal(t, dir, 3)
			j.Accept(&Entry{ID: "before"})
			commit(t, j)
			good := j.file
			j.file = &tornFile{good, takes, stuck}
			batch(j)
			if j.Commit() == nil || !j.Failed() || j.MayHoldUncommitted() != (stuck != nil) || j.Durable(j.LastRecord()) {
				t.Fatalf("%d bytes taken: broken %v, doubtful %v", takes, j.Failed(), j.MayHoldUncommitted())
			}
			left, err := Inspect(dir)
			if err != nil || left.Get("before") == nil || stuck == nil && len(left.Entries()) != 1 {
				t.Fatalf("%d bytes taken: a later process finds %d entries, %v", takes, len(left.Entries()), err)
			}
			commit(t, j)
			if left, err = Inspect(dir); err != nil || len(left.Entries()) != 3 || j.MayHoldUncommitted() || !j.Durable(j.LastRecord()) {
				t.Fatalf("%d bytes taken: after the next commit a later process finds %d entries, %v", takes, len(left.Entries()), err)
			}
		}
	}
}

// A kill at any point of a compaction, its file cut at any byte, costs no record: the old file stands until the new one is whole.
func TestKilledCompaction(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	fill(t, j, j.Timeline().Now())
	old, err := os.ReadFile(filepath.Join(dir, Name))
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	compacted, err := os.ReadFile(filepath.Join(dir, Name))
	if err != nil {
		t.Fatal(err)
	}
	want := len(j.Entries())
	for cut := 0; cut <= len(compacted)+1; cut++ {
		dir := t.TempDir()
		main, temporary := old, compacted[:min(cut, len(compacted))]
		if cut > len(compacted) { // renamed
			main, temporary = compacted, nil
		}
		if err := os.WriteFile(filepath.Join(dir, Name), main, 0o600); err != nil {
			t.Fatal(err)
		}
		if temporary != nil {
			if err := os.WriteFile(filepath.Join(dir, Name+".new"), temporary, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if again := openJournal(t, dir, 3); len(again.Entries()) != want || len(again.CompletedRequests()) != len(j.CompletedRequests()) {
			t.Fatalf("killed after %d of %d bytes: %d entries of %d", cut, len(compacted), len(again.Entries()), want)
		}
	}
}
