package journal

import (
	"bytes"
	"fmt"
	"syscall"
	"testing"
)

// failingFile is a journal file whose n-th write fails after a part of it was written.
type failingFile struct {
	writableFile
	n int
}

func (f *failingFile) Write(p []byte) (int, error) {
	if f.n--; f.n > 0 {
		return f.writableFile.Write(p)
	}
	n, _ := f.writableFile.Write(p[:len(p)/2])
	return n, syscall.EIO
}

// largeBatch adds requests with bodies below and above the size from which they are written on their own.
func largeBatch(j *Journal) (bodies map[string][]byte) {
	bodies = map[string][]byte{}
	for i, size := range []int{10, copiedBodySize, copiedBodySize + 1, 60 << 10, 0, 9 << 10} {
		id := fmt.Sprint("large", i)
		bodies[id] = bytes.Repeat([]byte{byte('a' + i)}, size)
		j.Accept(&Entry{ID: id, Body: bodies[id]})
	}
	return bodies
}

// Requests are read back whole, in the order in which they were accepted, whatever the sizes of their bodies, after a commit and after a
// compaction.
func TestCommit_WritesLargeBodies(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3)
	bodies := largeBatch(j)
	commit(t, j)
	for _, step := range []string{"commit", "compaction"} {
		later, err := Inspect(dir)
		if err != nil || len(later.Entries()) != len(bodies) {
			t.Fatalf("%s: %d entries, %v", step, len(later.Entries()), err)
		}
		for i, e := range later.Entries() {
			if e.ID != fmt.Sprint("large", i) || !bytes.Equal(e.Body, bodies[e.ID]) {
				t.Errorf("%s: entry %d is %s with a body of %d bytes", step, i, e.ID, len(e.Body))
			}
		}
		if err := j.Compact(); err != nil {
			t.Fatal(err)
		}
	}
}

// If one of the writes of a batch fails, none of its records is read by a later process, and the next commit writes all of them.
func TestCommit_CutsOffBatchOfSeveralWrites(t *testing.T) {
	for n := 1; n <= 6; n++ {
		dir := t.TempDir()
		j := openJournal(t, dir, 3)
		commit(t, j)
		good := j.file
		j.file = &failingFile{good, n}
		bodies := largeBatch(j)
		if j.Commit() == nil {
			t.Fatalf("write %d did not fail", n)
		}
		if later, err := Inspect(dir); err != nil || len(later.Entries()) != 0 {
			t.Errorf("write %d failed: %d entries are read, %v", n, len(later.Entries()), err)
		}
		j.file = good
		commit(t, j)
		if later, err := Inspect(dir); err != nil || len(later.Entries()) != len(bodies) {
			t.Errorf("after write %d failed: %d entries, %v", n, len(later.Entries()), err)
		}
	}
}
