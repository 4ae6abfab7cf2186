// Package clock gives a relay one timeline that no step of the wall clock moves.
//
// Within a process spans are measured by the monotonic clock, which the time package reads along with the wall clock
// (package time, "Monotonic Clocks"). Between processes, as from a restart to the next or from a process to the one that takes
// its place, that reading is lost: what is written down would be wall time. A Timeline ties the two together: an Instant is
// counted in nanoseconds since 1970 from one reading of the wall clock, the Anchor, which is written down with the boot it was
// taken in. Later processes of the same boot go on from it by CLOCK_BOOTTIME and never ask the wall clock.
//
// This is the only package that may ask for the wall clock (lint_test.go): all others hold spans, Instants, or a time.Time that
// was read in the same process and carries its monotonic reading.
package clock

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// Instant is a point of a Timeline: nanoseconds since 1970, as of its Anchor. The zero Instant is none.
type Instant int64

// Add gives the instant a span later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub gives the span from another instant of the same timeline.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// IsZero tells whether it is none.
func (i Instant) IsZero() bool { return i == 0 }

// Time gives the instant as a date, for records and people. It has no monotonic reading: spans to time.Now are not to be
// taken from it.
func (i Instant) Time() time.Time {
	if i.IsZero() {
		return time.Time{}
	}
	return time.Unix(0, int64(i)).UTC()
}

// FromTime is the instant of a date that Calendar gave.
func FromTime(t time.Time) Instant {
	if t.IsZero() {
		return 0
	}
	return Instant(t.UnixNano())
}

// Milliseconds since 1970 are the form in which an instant is stored where room is short.
func (i Instant) Milliseconds() int64 { return int64(i) / int64(time.Millisecond) }

// FromMilliseconds is the instant of what Milliseconds gave.
func FromMilliseconds(ms int64) Instant { return Instant(ms * int64(time.Millisecond)) }

// MarshalJSON writes an instant as a date (RFC 3339), as programs before this package wrote wall times.
func (i Instant) MarshalJSON() ([]byte, error) { return i.Time().MarshalJSON() }

// UnmarshalJSON reads what MarshalJSON wrote.
func (i *Instant) UnmarshalJSON(raw []byte) error {
	var t time.Time
	if err := t.UnmarshalJSON(raw); err != nil {
		return err
	}
	*i = FromTime(t)
	return nil
}

// Anchor ties a timeline to the clock that all processes of one boot share.
type Anchor struct {
	Boot  string        `json:"boot"`  // the boot's id
	Since time.Duration `json:"since"` // CLOCK_BOOTTIME, in nanoseconds
	At    Instant       `json:"at"`    // and the timeline's instant then
}

// Timeline is the clock of a relay, through all its processes of one boot of the machine. It is safe for concurrent use.
type Timeline struct {
	anchor    Anchor
	started   time.Time // with a monotonic reading
	at        Instant   // of started
	continued bool
	mixed     atomic.Int64 // times without a monotonic reading that Of was given
}

// sources are what a timeline is made from.
type sources struct {
	boot  string
	since time.Duration
	wall  time.Time // with a monotonic reading
}

// New begins a timeline at the wall clock's time.
func New() *Timeline { return Continue(nil, 0) }

// Continue goes on with the timeline that an earlier process has anchored; latest is the latest instant that is known to have
// passed on it. Without an anchor of this boot it begins a new one at the wall clock's time, but not before latest: where the
// wall clock was stepped back meanwhile, no time counts as passed since then, so that waits and windows end late by at most
// the time that no process ran.
func Continue(anchor *Anchor, latest Instant) *Timeline {
	return resume(anchor, latest, sources{boot: bootID(), since: SinceBoot(), wall: time.Now()})
}

func resume(anchor *Anchor, latest Instant, now sources) *Timeline {
	if anchor != nil && anchor.Boot != "" && anchor.Boot == now.boot && now.since >= anchor.Since {
		return &Timeline{anchor: *anchor, started: now.wall, at: anchor.At.Add(now.since - anchor.Since), continued: true}
	}
	at := max(Instant(now.wall.UnixNano()), latest)
	return &Timeline{anchor: Anchor{Boot: now.boot, Since: now.since, At: at}, started: now.wall, at: at}
}

// Anchor is what a later process needs to go on with this timeline.
func (t *Timeline) Anchor() Anchor { return t.anchor }

// SameBoot tells whether an earlier process's timeline goes on: spans from its instants to those of this one are exact.
func (t *Timeline) SameBoot() bool { return t.continued }

// Now is the present instant.
func (t *Timeline) Now() Instant { return t.at.Add(time.Since(t.started)) }

// InstantOf gives the instant of a time that was read in this process. One without a monotonic reading was not, and is counted: its
// distance to the wall clock as of the start is no span.
func (t *Timeline) InstantOf(read time.Time) Instant {
	if read == read.Round(0) {
		t.mixed.Add(1)
	}
	return t.at.Add(read.Sub(t.started))
}

// MixedReadings is how often Of was given a time that was not read in this process, since it was last asked.
func (t *Timeline) MixedReadings() int64 { return t.mixed.Swap(0) }

// TimeOf gives an instant as a time of this process, for deadlines of sockets and contexts: it has a monotonic reading.
func (t *Timeline) TimeOf(i Instant) time.Time { return t.started.Add(i.Sub(t.at)) }

// ahead is how far the wall clock is ahead of the timeline.
func (t *Timeline) ahead() time.Duration {
	return time.Duration(time.Now().UnixNano() - int64(t.Now()))
}

// Milliseconds of the wall clock since 1970, for records that people read and that nothing is reckoned from.
func WallMilliseconds() int64 { return time.Now().UnixMilli() }

// leastStep is the smallest change of the wall clock that counts as a step: clocks that are slewed move by less in a second.
const leastStep = 100 * time.Millisecond

// StepDetector notices steps of the wall clock, so that logs from before and after one can be put in order.
type StepDetector struct {
	timeline *Timeline
	ahead    time.Duration
}

// NewStepDetector makes a watch. Where a timeline goes on from an earlier process, a step since its anchor counts as one now.
func NewStepDetector(t *Timeline) *StepDetector { return &StepDetector{timeline: t} }

// Check tells how far the wall clock was stepped since the last look, and logs it.
func (w *StepDetector) Check() (step time.Duration, stepped bool) {
	ahead := w.timeline.ahead()
	step = ahead - w.ahead
	if step.Abs() < leastStep {
		return 0, false
	}
	w.ahead = ahead
	slog.Warn("the wall clock was stepped; deadlines, waits and windows go on unchanged", "by", step, "ahead", ahead)
	return step, true
}
