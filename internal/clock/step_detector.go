package clock

import (
	"log/slog"
	"time"
)

// minStep is the smallest change of the wall clock that counts as a step. A clock that is slewed changes by
// less between two checks a second apart.
const minStep = 100 * time.Millisecond

// Keys of log attributes that only this package uses.
const (
	keyStep   = "by"    // size of the step of the wall clock
	keyOffset = "ahead" // time by which the wall clock is ahead of the timeline
)

// StepDetector detects steps of the wall clock, so that log messages from before and after a step can be put
// in order. It is not safe for concurrent use.
type StepDetector struct {
	timeline *Timeline
	offset   time.Duration // time by which the wall clock was ahead of the timeline after the last step
}

// NewStepDetector returns a detector. If the timeline was begun by an earlier process, the first Check detects
// a step that has occurred since the timeline's anchor.
func NewStepDetector(t *Timeline) *StepDetector { return &StepDetector{timeline: t} }

// Check reports whether the wall clock was stepped since the last call, and by how much, and logs the step.
func (d *StepDetector) Check() (step time.Duration, stepped bool) {
	offset := d.timeline.wallOffset()
	step = offset - d.offset
	if step.Abs() < minStep {
		return 0, false
	}
	d.offset = offset
	slog.Warn("wall clock was stepped; deadlines, waits and time windows are not affected", keyStep, step, keyOffset, offset)
	return step, true
}
