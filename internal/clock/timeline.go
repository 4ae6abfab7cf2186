package clock

import (
	"sync/atomic"
	"time"
)

// Anchor ties a timeline to CLOCK_BOOTTIME, which all processes of one boot share.
type Anchor struct {
	Boot  string        `json:"boot"`  // the boot's id
	Since time.Duration `json:"since"` // CLOCK_BOOTTIME at the anchor
	At    Instant       `json:"at"`    // the timeline's instant there
}

// Timeline is the clock of a relay, through all its processes of one boot of the machine. It is safe
// for concurrent use.
type Timeline struct {
	anchor        Anchor
	origin        time.Time // when this process made it, with a monotonic reading
	originInstant Instant   // the instant of origin
	continued     bool
	mixed         atomic.Int64 // times without a monotonic reading that InstantOf was given
}

// sources are readings of the clocks from which a timeline is made.
type sources struct {
	bootID    string
	sinceBoot time.Duration
	wall      time.Time // with a monotonic reading
}

// New begins a timeline at the wall clock's time.
func New() *Timeline { return Continue(nil, 0) }

// Continue continues the timeline that an earlier process has anchored. latest is the latest instant
// that is known to have passed on it. Without an anchor of this boot it begins a new timeline at the
// wall clock's time, but not before latest: against spans below zero where the wall clock was stepped
// back meanwhile.
func Continue(anchor *Anchor, latest Instant) *Timeline {
	return newTimeline(anchor, latest, sources{bootID: readBootID(), sinceBoot: SinceBoot(), wall: time.Now()})
}

func newTimeline(anchor *Anchor, latest Instant, now sources) *Timeline {
	if anchor.continuesTo(now) {
		return &Timeline{
			anchor:        *anchor,
			origin:        now.wall,
			originInstant: anchor.At.Add(now.sinceBoot - anchor.Since),
			continued:     true,
		}
	}
	at := max(Instant(now.wall.UnixNano()), latest)
	return &Timeline{
		anchor:        Anchor{Boot: now.bootID, Since: now.sinceBoot, At: at},
		origin:        now.wall,
		originInstant: at,
	}
}

// continuesTo reports whether an anchor is there, and of the boot in which now was read. A boot whose id
// could not be read is none that can be told from others.
func (a *Anchor) continuesTo(now sources) bool {
	return a != nil && a.Boot != "" && a.Boot == now.bootID && now.sinceBoot >= a.Since
}

// Anchor returns what a later process needs to continue this timeline.
func (t *Timeline) Anchor() Anchor { return t.anchor }

// SameBoot reports whether this timeline continues an earlier process's: spans between their instants
// are exact.
func (t *Timeline) SameBoot() bool { return t.continued }

// Now returns the present instant.
func (t *Timeline) Now() Instant { return t.originInstant.Add(time.Since(t.origin)) }

// InstantOf returns the instant of a time that was read in this process. A time without a monotonic
// reading was not, and is counted: its span to the timeline's origin is wall time.
func (t *Timeline) InstantOf(read time.Time) Instant {
	if !hasMonotonicReading(read) {
		t.mixed.Add(1)
	}
	return t.originInstant.Add(read.Sub(t.origin))
}

// hasMonotonicReading reports whether t has one: Round(0) strips it. Not by Equal, which ignores it.
func hasMonotonicReading(t time.Time) bool { return t != t.Round(0) }

// MixedReadings returns how often InstantOf was given a time that was not read in this process, since
// the last call.
func (t *Timeline) MixedReadings() int64 { return t.mixed.Swap(0) }

// TimeOf returns an instant as a time of this process, for deadlines of sockets and contexts. It has a
// monotonic reading.
func (t *Timeline) TimeOf(i Instant) time.Time { return t.origin.Add(i.Sub(t.originInstant)) }

// wallOffset returns by how much the wall clock is ahead of the timeline.
func (t *Timeline) wallOffset() time.Duration {
	return time.Duration(time.Now().UnixNano() - int64(t.Now()))
}

// WallMilliseconds returns the wall clock's milliseconds since 1970, for records that people read and
// from which no span is taken.
func WallMilliseconds() int64 { return time.Now().UnixMilli() }
