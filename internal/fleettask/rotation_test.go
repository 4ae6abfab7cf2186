package fleettask

import (
	"fmt"
	"testing"
	"time"
)

// TestTurns: a turn is asked for while something is due, kept while nobody waits, given back after a while when somebody
// does or when nothing is due, and asked for again only once it is gone.
func TestTurns(t *testing.T) {
	turns := NewTurns()
	token, wait := uint64(0), 0
	now := time.Duration(0)
	step := func(d time.Duration) string {
		now += d
		want, drop := turns.Step(now, func(int) (uint64, int, bool) { return token, wait, token != 0 })
		return fmt.Sprint(want, drop)
	}
	expect := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	expect("nothing due", step(time.Second), "[] []")
	turns.Need(3, now)
	expect("due", step(time.Millisecond), "[3] []")
	token = 7
	for range 30 {
		turns.Need(3, now)
		expect("held, nobody waits", step(time.Second), "[] []")
	}
	wait = 1
	expect("somebody waits, and it was held long", step(0), "[] [3]")
	if turns.May(3) {
		t.Error("it may be used although it is being given back")
	}
	expect("being given back", step(0), "[] []")
	token, wait = 0, 0
	turns.Need(3, now)
	expect("gone", step(0), "[] []")
	expect("due again", step(0), "[3] []")
	token = 9
	turns.Need(3, now)
	expect("held anew", step(0), "[] []")
	wait = 1
	turns.Need(3, now)
	expect("held for a moment, somebody waits", step(time.Second), "[] []")
	expect("nothing was due for a while", step(idleMost+time.Millisecond), "[] [3]")
	token = 0
	expect("gone, nothing due", step(0), "[] []")
	if len(turns.lanes) != 0 {
		t.Errorf("%d turns are kept for nothing", len(turns.lanes))
	}
}
