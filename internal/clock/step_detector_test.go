package clock

import (
	"testing"
	"time"
)

// Each step is reported once, with its size.
func TestStepDetector_ReportsEachStepOnce(t *testing.T) {
	timeline := New()
	detector := NewStepDetector(timeline)
	if step, stepped := detector.Check(); stepped {
		t.Errorf("step of %v detected, want none", step)
	}
	timeline.originInstant = timeline.originInstant.Add(time.Hour) // as if the wall clock had been stepped back
	if step, stepped := detector.Check(); !stepped || (step+time.Hour).Abs() > time.Minute {
		t.Errorf("step of %v detected, want about -1h", step)
	}
	if step, stepped := detector.Check(); stepped {
		t.Errorf("the same step was detected again: %v", step)
	}
}
