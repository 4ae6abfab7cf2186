package journal

import (
	"testing"
	"time"

	"frostlink/internal/clock"
)

// A delivery that is recorded before its attempt has ended is found by the next process, also after a compaction. The end of the
// attempt replaces it.
func TestMarkDelivered_IsReplacedByTheEndOfTheAttempt(t *testing.T) {
	for _, ended := range []bool{false, true} {
		dir, at := t.TempDir(), clock.New().Now()
		j := openJournal(t, dir, 3)
		j.Accept(&Entry{ID: "m", Class: "order", Deadline: at.Add(time.Minute)})
		commit(t, j)
		e := j.Entry("m")
		j.BeginAttempt(e, "h", at)
		j.MarkDelivered(e)
		if ended {
			j.EndAttempt(e, false, "reset", at)
		}
		commit(t, j)
		for range 2 { // from the appended records, and from the compaction of the first Open
			found := openJournal(t, dir, 3).Entry("m")
			if found == nil || found.Delivered == ended || len(found.Attempts) != 1 || found.Attempts[0].Ended != ended {
				t.Errorf("attempt ended: %v; the next process finds %+v", ended, found)
			}
		}
	}
}
