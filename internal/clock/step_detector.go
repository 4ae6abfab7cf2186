package clock

import (
	"log/slog"
	"time"
)

// minStep is the smallest change of the wall clock that counts as a step: a clock that is slewed moves
// by less between two checks a second apart.
const minStep = 100 * time.Millisecond

// Keys of log attributes that only clocks have.
const (
	keyStep   = "by"    // by how much the wall clock was stepped
	keyOffset = "ahead" // by how much it is ahead of the timeline since its start
)

// StepDetector detects steps of the wall clock, so that log lines from before and after one can be put
// in order. It is not safe for concurrent use.
type StepDetector struct {
	timeline *Timeline
	offset   time.Duration // of the wall clock, as of the last step
}

// NewStepDetector returns a detector. On a timeline that continues an earlier process's, a step since
// its anchor is detected by the first Check.
func NewStepDetector(t *Timeline) *StepDetector { return &StepDetector{timeline: t} }

// Check returns by how much the wall clock was stepped since the last call, and logs it.
func (d *StepDetector) Check() (step time.Duration, stepped bool) {
	offset := d.timeline.wallOffset()
	step = offset - d.offset
	if step.Abs() < minStep {
		return 0, false
	}
	d.offset = offset
	slog.Warn("the wall clock was stepped; deadlines, waits and windows go on unchanged", keyStep, step, keyOffset, offset)
	return step, true
}
