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

// Ends are remembered through replay and compaction, in order, until they are forgotten; a log of a program that noted no time of
// its ends is read as before.
func TestEndsOutlastTheProcess(t *testing.T) {
	dir, at := t.TempDir(), clock.FromMilliseconds(clock.New().Now().Milliseconds())
	j := openJournal(t, dir, 3)
	for i := range 5 {
		e := &Entry{ID: fmt.Sprint("m", i)}
		j.Accept(e)
		j.Complete(e, at.Add(time.Duration(i)*time.Second))
	}
	old := &Entry{ID: "old"}
	j.Accept(old)
	j.note(record{Op: opOver, ID: "old"}, nil)
	commit(t, j)
	for range 3 { // the log, its compaction, and that one's
		j = openJournal(t, dir, 3)
		ends := j.CompletedRequests()
		if len(ends) != 5 || ends[0].ID != "m0" || ends[4].At != at.Add(4*time.Second) || !j.IsCompleted("m2") || j.IsCompleted("old") || j.IsCompleted("new") {
			t.Fatalf("%v", ends)
		}
	}
	j.ExpireCompleted(at.Add(2 * time.Second))
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	if j = openJournal(t, dir, 3); j.IsCompleted("m1") || !j.IsCompleted("m2") || len(j.CompletedRequests()) != 3 {
		t.Errorf("after forgetting: %v", j.CompletedRequests())
	}
}

// However many ends there are, memory keeps the latest mostPast, the file the latest of those that have room, and messages are
// taken on as if there were none.
func TestEndsAreBounded(t *testing.T) {
	const mb = 1
	dir, at := t.TempDir(), clock.New().Now()
	j := openJournal(t, dir, mb)
	written, before := 0, 0
	for i := range mostPast + 100 {
		e := &Entry{ID: fmt.Sprintf("%s%08d", strings.Repeat("i", 24), i)}
		if !j.Reserve(e) {
			t.Fatalf("message %d is refused", i)
		}
		j.Accept(e)
		j.Complete(e, at)
		if i%64 == 0 {
			commit(t, j)
		}
		if j.size < before {
			written++
		}
		if before = j.size; j.size+j.live > mb*1e6 {
			t.Fatalf("%d bytes on disk with %d live", j.size, j.live)
		}
	}
	commit(t, j)
	if len(j.CompletedRequests()) != mostPast || len(j.past.ids) != mostPast {
		t.Errorf("%d ends in memory, %d ids", len(j.CompletedRequests()), len(j.past.ids))
	}
	if written > 60 {
		t.Errorf("the file was written anew %d times", written)
	}
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	last := j.CompletedRequests()[mostPast-1]
	again := openJournal(t, dir, mb)
	n := len(again.CompletedRequests())
	if room := pastShare * diskShare * mb * 1e6; n < int(room)/50 || n > int(room)/32 || !again.IsCompleted(last.ID) {
		t.Errorf("%d ends come back of a room of %.0f bytes", n, room)
	}
}

// A damaged record of ends loses these ends and nothing else.
func TestUnreadableEnds(t *testing.T) {
	dir := t.TempDir()
	whole := appendRecord(nil, record{Op: opPast}, []byte{200, 'x'})
	whole = appendRecord(whole, record{Op: opTaken, Entry: &Entry{ID: "a"}}, nil)
	if err := os.WriteFile(filepath.Join(dir, Name), whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if j := openJournal(t, dir, 3); len(j.CompletedRequests()) != 0 || j.Get("a") == nil {
		t.Errorf("%v, %v", j.CompletedRequests(), j.Get("a"))
	}
}

func FuzzReadEnds(f *testing.F) {
	f.Add(appendEnd(appendEnd(nil, CompletedRequest{"9b1f03aa5c7e2d41", clock.FromMilliseconds(1764625871000)}), CompletedRequest{"", clock.FromMilliseconds(-1)}))
	f.Add([]byte{200, 'x'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		ends, err := readEnds(raw)
		if err != nil {
			return
		}
		var b []byte
		for _, e := range ends {
			b = appendEnd(b, e)
		}
		again, err := readEnds(b)
		if err != nil || len(again) != len(ends) {
			t.Fatalf("%v read again as %v, %v", ends, again, err)
		}
		for i := range ends {
			if again[i].ID != ends[i].ID || again[i].At != ends[i].At {
				t.Fatalf("%v read again as %v", ends[i], again[i])
			}
		}
		if len(b) > len(raw) || len(b) == len(raw) && !bytes.Equal(b, raw) {
			t.Fatalf("%x written again as %x", raw, b)
		}
	})
}
