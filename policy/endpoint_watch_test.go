package policy

import (
	"testing"
)

func TestWatchEndpoints_RetriedAfterFailure(t *testing.T) {
	s := testSettings()
	s.WatchEndpoints = true
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	wantActions(t, "at the start", d.Handle(0, nil), "watch")
	wantActions(t, "failed", d.Handle(ms, []Event{WatchFailed{}}), "")
	wantActions(t, "again", d.Handle(ms+watchRetryDelay, []Event{TimerFired{}}), "watch")
}
