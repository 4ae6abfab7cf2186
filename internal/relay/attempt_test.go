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

// A call that may leave within a time only is given that as a moment of the batch's clock.
func TestPlanAttempt_SetsWriteByOnBatchClock(t *testing.T) {
	j, err := journal.Open(t.TempDir(), 1, false)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	l := &loop{timeline: j.Timeline(), journal: j, violations: &invariant.Counts{}, endpoints: map[string]discovery.Endpoint{"h": {Host: "h", Block: 3}}, requests: map[string]*request{}}
	now := l.now() + time.Second
	for i, within := range []time.Duration{0, 300 * time.Millisecond} {
		id := strconv.Itoa(i) // each has one call out at most
		e := &journal.Entry{ID: id, Destination: 3, Deadline: l.timeline.Now().Add(time.Minute)}
		j.Accept(e)
		l.requests[id] = &request{Entry: e}
		l.planAttempt(now, policy.Send{ID: id, Endpoint: "h", WriteWithin: within})
		got := l.attempts[i].writeBy
		if want := l.timeline.TimeOf(clock.Instant(now + within)); within == 0 && !got.IsZero() || within > 0 && !got.Equal(want) {
			t.Errorf("within %v of %v: by %v", within, now, got)
		}
	}
}

// The module takes back the call that is out, and no later one of the message, nor one of another.
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
		t.Error("an attempt that is over takes back the next one")
	}
	l.applyAction(0, policy.CancelBeforeSend{ID: "m", Attempt: 1})
	if !flags["m"].Load() || flags["other"].Load() {
		t.Errorf("taken back: %v, and of another message: %v", flags["m"].Load(), flags["other"].Load())
	}
}
