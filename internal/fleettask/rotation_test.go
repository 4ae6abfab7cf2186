package fleettask

import (
	"fmt"
	"testing"
	"time"
)

// TestRotation_RequestsAndReleases: a lease is requested while something is due, held while nobody
// is queued, released after a while when somebody is or when nothing is due, and requested again
// only once it is not held any more.
func TestRotation_RequestsAndReleases(t *testing.T) {
	rotation := NewRotation()
	token, queueLength := uint64(0), 0
	now := time.Duration(0)
	step := func(elapsed time.Duration) string {
		now += elapsed
		request, release := rotation.Step(now, func(int) (uint64, int, bool) { return token, queueLength, token != 0 })
		return fmt.Sprint(request, release)
	}
	expect := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	expect("nothing due", step(time.Second), "[] []")
	rotation.RecordDue(3, now)
	expect("due", step(time.Millisecond), "[3] []")
	token = 7
	for range 30 {
		rotation.RecordDue(3, now)
		expect("held, nobody queued", step(time.Second), "[] []")
	}
	queueLength = 1
	expect("somebody queued, held long", step(0), "[] [3]")
	if rotation.MayResend(3) {
		t.Error("it may be used although it is being released")
	}
	expect("being released", step(0), "[] []")
	token, queueLength = 0, 0
	rotation.RecordDue(3, now)
	expect("not held any more", step(0), "[] []")
	expect("due again", step(0), "[3] []")
	token = 9
	rotation.RecordDue(3, now)
	expect("held again", step(0), "[] []")
	queueLength = 1
	rotation.RecordDue(3, now)
	expect("held shortly, somebody queued", step(time.Second), "[] []")
	expect("nothing due for a while", step(maxIdle+time.Millisecond), "[] [3]")
	token = 0
	expect("not held any more, nothing due", step(0), "[] []")
	if len(rotation.turns) != 0 {
		t.Errorf("%d turns are left", len(rotation.turns))
	}
}
