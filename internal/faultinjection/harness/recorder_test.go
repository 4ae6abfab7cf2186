package harness

import (
	"testing"
	"time"

	"frostlink/internal/faultinjection/checker"
)

// Events that were recorded before time 0 of the run have negative times, and stay in the order in which they were recorded.
func TestRecorder_SetsTimeZero(t *testing.T) {
	r := newRecorder()
	r.record(checker.Event{Kind: checker.Started})
	time.Sleep(time.Millisecond)
	r.setTimeZero()
	r.record(checker.Event{Kind: checker.Ready})
	log := r.eventLog()
	if len(log) != 2 || log[0].Kind != checker.Started || log[1].Kind != checker.Ready {
		t.Fatalf("log %+v", log)
	}
	if log[0].At >= 0 || log[1].At < 0 {
		t.Errorf("times %v and %v", log[0].At, log[1].At)
	}
}

// Only events that come later than the threshold count as late.
func TestRecorder_CountsLateEvents(t *testing.T) {
	r := newRecorder()
	r.recordTiming(r.now() + time.Second)
	r.recordTiming(r.now() - 2*lateThreshold)
	if r.events != 2 || r.lateEvents != 1 || r.maxLateness < 2*lateThreshold {
		t.Errorf("%d events, %d late, the latest by %v", r.events, r.lateEvents, r.maxLateness)
	}
}

// Missing names an occurrence only if no run contained it.
func TestMissing_NamesWhatNeverHappened(t *testing.T) {
	first, second := map[Occurrence]int{}, map[Occurrence]int{}
	for i, o := range Occurrences() {
		if i%2 == 0 {
			first[o] = 1
		} else {
			second[o] = 2
		}
	}
	if missing := Missing(first, second); len(missing) != 0 {
		t.Errorf("missing %v", missing)
	}
	second[Crowded], first[Crowded] = 0, 0
	if missing := Missing(first, second); len(missing) != 1 || missing[0] != Crowded {
		t.Errorf("missing %v, want %v", missing, Crowded)
	}
}
