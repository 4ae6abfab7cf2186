package fleettask

import (
	"fmt"
	"testing"
	"time"
)

// TestRotation_RequestsAndReleases: a lease is requested while a resend is due, and held while no
// other relay is queued. It is released after maxHoldTime if another relay is queued, or after
// maxIdle if no resend is due. It is requested again only once it is not held any more.
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
		expect("held, no other relay queued", step(time.Second), "[] []")
	}
	queueLength = 1
	expect("another relay queued, held for maxHoldTime", step(0), "[] [3]")
	if rotation.MayResend(3) {
		t.Error("the lease may be used although it is being released")
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
	expect("another relay queued, held for a second", step(time.Second), "[] []")
	expect("nothing due for maxIdle", step(maxIdle+time.Millisecond), "[] [3]")
	token = 0
	expect("not held any more, nothing due", step(0), "[] []")
	if len(rotation.destinations) != 0 {
		t.Errorf("%d destinations are left", len(rotation.destinations))
	}
}
