package relay

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"frostlink/internal/clock"
	"frostlink/internal/discovery"
	"frostlink/internal/invariant"
	"frostlink/internal/journal"
	"frostlink/policy"
)

// The time within which an attempt must be written counts from the batch's time, and is passed on as a point in time.
func TestPlanAttempt_SetsWriteByOnBatchClock(t *testing.T) {
	j, err := journal.Open(t.TempDir(), 1, false)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	l := &loop{timeline: j.Timeline(), journal: j, violations: &invariant.Counts{}, endpoints: map[string]discovery.Endpoint{"h": {ID: "h", Destination: 3}}, requests: map[string]*request{}}
	now := l.now() + time.Second
	for i, within := range []time.Duration{0, 300 * time.Millisecond} {
		id := strconv.Itoa(i) // a request of its own, since a request has at most one attempt in flight
		e := &journal.Entry{ID: id, Destination: 3, Deadline: l.timeline.Now().Add(time.Minute)}
		j.Accept(e)
		l.requests[id] = &request{Entry: e}
		l.planAttempt(now, policy.Send{ID: id, Endpoint: "h", WriteWithin: within})
		got := l.attempts[i].writeBy
		if want := l.timeline.TimeOf(clock.Instant(now + within)); within == 0 && !got.IsZero() || within > 0 && !got.Equal(want) {
			t.Errorf("write within %v from %v: writeBy %v", within, now, got)
		}
	}
}

// CancelBeforeSend cancels only the named attempt, not a later attempt of the request or an attempt of another request.
func TestCancelBeforeSend_CancelsOnlyTheNamedAttempt(t *testing.T) {
	flags := map[string]*atomic.Bool{"m": {}, "other": {}}
	l := &loop{requests: map[string]*request{"resting": {Entry: &journal.Entry{ID: "resting"}}}}
	for id, flag := range flags {
		l.requests[id] = &request{Entry: &journal.Entry{ID: id, Attempts: make([]journal.Attempt, 2)}, cancelBeforeSend: flag}
	}
	for _, a := range []policy.CancelBeforeSend{{ID: "m"}, {ID: "resting"}, {ID: "gone"}} {
		l.applyAction(0, a)
	}
	if flags["m"].Load() {
		t.Error("the cancellation of an ended attempt cancels the next one")
	}
	l.applyAction(0, policy.CancelBeforeSend{ID: "m", Attempt: 1})
	if !flags["m"].Load() || flags["other"].Load() {
		t.Errorf("cancelled: %v, and of another request: %v", flags["m"].Load(), flags["other"].Load())
	}
}
