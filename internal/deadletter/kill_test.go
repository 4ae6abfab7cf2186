package deadletter

import (
	"bytes"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"time"
)

// changedPages returns the pages in which two states of a file differ, in the order in which bbolt writes them: by number,
// except that the two meta pages come last, because writing one of them commits the transaction.
func changedPages(before, after []byte) (pages []int) {
	for n := 0; n*pageSize < len(after); n++ {
		from, to := n*pageSize, min(len(after), (n+1)*pageSize)
		if to > len(before) || !bytes.Equal(before[from:to], after[from:to]) {
			pages = append(pages, n)
		}
	}
	sort.SliceStable(pages, func(i, j int) bool { return pages[i] > 1 && pages[j] <= 1 })
	return pages
}

// partlyWritten returns the state of a file after some of its changed pages were written. If torn is set, the first half of
// the next page was written too.
func partlyWritten(before, after []byte, pages []int, written int, torn bool) []byte {
	file := append(append([]byte{}, before...), make([]byte, max(0, len(after)-len(before)))...)
	for i, page := range pages[:min(len(pages), written+1)] {
		from, to := page*pageSize, min(len(after), (page+1)*pageSize)
		if i == written {
			if !torn {
				break
			}
			to = from + (to-from)/2
		}
		copy(file[from:to], after[from:to])
	}
	return file
}

// killStep is a change of a store.
type killStep struct {
	change func(s *Store) error
	done   func(s *Store) bool // reports whether the change is in the store
}

// If a process is killed between two writes of a change, or during a write, everything stored before remains, and the
// change is stored either completely or not at all. The change can then be repeated.
func TestStore_SurvivesKillAtEveryWrite(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	storeMessages(t, s, "a", "b", "c")
	trackSubjects(t, s, time.Hour)
	_ = s.Close()
	for _, c := range []struct { // each step begins with the result of the previous one
		name string
		step killStep
	}{
		{"put", killStep{
			func(s *Store) error { return s.Put([]Message{newMessage("d")}) },
			func(s *Store) bool { _, err := s.Get("d"); return err == nil },
		}},
		{"redelivery", killStep{
			func(s *Store) error {
				return s.Change("b", func(r *Record) (time.Time, error) {
					r.State, r.Incarnations = Redelivering, append(r.Incarnations, Incarnation{ID: "b2"})
					return noon, nil
				})
			},
			func(s *Store) bool { r, err := s.Get("b2"); return err == nil && r.State == Redelivering },
		}},
		{"newer message delivered", killStep{
			func(s *Store) error {
				return s.RecordDelivered([]Delivery{{"new", Topic{"c", 3, "s"}, Order{Whole: 9}}})
			},
			func(s *Store) bool { id, _ := s.Newer(recordAbout("s", Order{Whole: 5})); return id == "new" },
		}},
		{"remove", killStep{
			func(s *Store) error { return s.Remove([]string{"a"}) },
			func(s *Store) bool { _, err := s.Get("a"); return err != nil },
		}},
	} {
		t.Run(c.name, func(t *testing.T) { killAtEveryWrite(t, dir, c.step) })
	}
}

// killAtEveryWrite makes a change to the store in a folder, and checks each state that the file can have in between.
func killAtEveryWrite(t *testing.T, dir string, step killStep) {
	t.Helper()
	path := filepath.Join(dir, fileName)
	before, _ := os.ReadFile(path)
	s := openStore(t, dir)
	if err := step.change(s); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	after, _ := os.ReadFile(path)
	pages := changedPages(before, after)
	if len(pages) < 3 {
		t.Fatalf("%d pages differ, want at least 3: the test can't simulate a kill between writes", len(pages))
	}
	seen := map[bool]int{} // number of states with and without the change
	for written := 0; written <= len(pages); written++ {
		for _, torn := range []bool{false, true} {
			folder := t.TempDir()
			if err := os.WriteFile(filepath.Join(folder, fileName), partlyWritten(before, after, pages, written, torn), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := Open(folder, 0, 0)
			if err != nil {
				t.Fatalf("open after %d writes of %d: %v", written, len(pages), err)
			}
			for _, id := range []string{"b", "c"} {
				if _, err := s.Get(id); err != nil {
					t.Errorf("after %d writes of %d: message %s: %v", written, len(pages), id, err)
				}
			}
			if _, faults := s.Verify(); len(faults) > 0 {
				t.Errorf("after %d writes: faults %v", written, faults)
			}
			done := step.done(s)
			seen[done]++
			if done && written < len(pages)-1 {
				t.Errorf("the change is stored after only %d writes of %d", written, len(pages))
			}
			if err := step.change(s); err != nil || !step.done(s) {
				t.Errorf("the change repeated after %d writes: %v", written, err)
			}
			_ = s.Close()
		}
	}
	if seen[true] == 0 || seen[false] == 0 {
		t.Errorf("%d states with the change, %d without; want some of both", seen[true], seen[false])
	}
}
