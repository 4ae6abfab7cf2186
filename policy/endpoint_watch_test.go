package policy

import (
	"testing"
)

func TestWatchEndpoints_RetriedAfterFailure(t *testing.T) {
	s := plain()
	s.WatchEndpoints = true
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "at the start", d.Handle(0, nil), "subscribe")
	expect(t, "failed", d.Handle(ms, []Event{WatchFailed{}}), "")
	expect(t, "again", d.Handle(ms+watchRetryDelay, []Event{TimerFired{}}), "subscribe")
}
