package clock

import (
	"sync/atomic"
	"time"
)

// Anchor ties a timeline to CLOCK_BOOTTIME, which all processes of one boot share.
type Anchor struct {
	Boot  string        `json:"boot"`  // the boot's id
	Since time.Duration `json:"since"` // CLOCK_BOOTTIME when the timeline began
	At    Instant       `json:"at"`    // the instant at which the timeline began
}

// Timeline is the clock of a relay. All processes of the relay within one boot of the machine share it. It
// is safe for concurrent use.
type Timeline struct {
	anchor        Anchor
	origin        time.Time // when this process created the Timeline, with a monotonic reading
	originInstant Instant   // the instant of origin
	continued     bool
	mixed         atomic.Int64 // calls of InstantOf with a time without a monotonic reading
}

// clockReadings contains the readings of the clocks from which a timeline is created.
type clockReadings struct {
	bootID    string
	sinceBoot time.Duration
	wall      time.Time // with a monotonic reading
}

// New returns a timeline that begins at the time of the wall clock.
func New() *Timeline { return Continue(nil, 0) }

// Continue continues the timeline of the earlier process that stored the anchor. latest is the latest
// instant that is known to have passed on that timeline. Without an anchor of this boot, Continue begins a
// new timeline at the time of the wall clock, but not before latest, so that spans are not negative if the
// wall clock was stepped back in the meantime.
func Continue(anchor *Anchor, latest Instant) *Timeline {
	return newTimeline(anchor, latest, clockReadings{bootID: readBootID(), sinceBoot: SinceBoot(), wall: time.Now()})
}

func newTimeline(anchor *Anchor, latest Instant, now clockReadings) *Timeline {
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

// continuesTo reports whether there is an anchor from the boot in which now was read. It returns false if
// the boot's id could not be read, because then one boot can't be told from another.
func (a *Anchor) continuesTo(now clockReadings) bool {
	return a != nil && a.Boot != "" && a.Boot == now.bootID && now.sinceBoot >= a.Since
}

// Anchor returns the anchor from which a later process can continue this timeline.
func (t *Timeline) Anchor() Anchor { return t.anchor }

// SameBoot reports whether this timeline continues the timeline of an earlier process of the same boot. If so,
// spans between the instants of both processes are exact.
func (t *Timeline) SameBoot() bool { return t.continued }

// Covers reports whether an instant of the past belongs to this timeline, so that its span to Now is exact. Earlier instants were
// read before the machine's last reboot, or on another timeline.
func (t *Timeline) Covers(i Instant) bool { return i > t.anchor.At }

// Now returns the current instant.
func (t *Timeline) Now() Instant { return t.originInstant.Add(time.Since(t.origin)) }

// InstantOf returns the instant of a time that was read in this process. A time without a monotonic reading
// was not read in this process: its span to the timeline's origin depends on the wall clock, so InstantOf
// counts such calls, see MixedReadings.
func (t *Timeline) InstantOf(read time.Time) Instant {
	if !hasMonotonicReading(read) {
		t.mixed.Add(1)
	}
	return t.originInstant.Add(read.Sub(t.origin))
}

// hasMonotonicReading reports whether t has a monotonic reading, which Round(0) strips. The comparison uses
// != because Time.Equal ignores monotonic readings.
func hasMonotonicReading(t time.Time) bool { return t != t.Round(0) }

// MixedReadings returns the number of calls of InstantOf with a time that was not read in this process, since
// the last call of MixedReadings.
func (t *Timeline) MixedReadings() int64 { return t.mixed.Swap(0) }

// TimeOf returns the time.Time of an instant, for deadlines of sockets and contexts. The result has a
// monotonic reading of this process.
func (t *Timeline) TimeOf(i Instant) time.Time { return t.origin.Add(i.Sub(t.originInstant)) }

// wallOffset returns the time by which the wall clock is ahead of the timeline.
func (t *Timeline) wallOffset() time.Duration {
	return time.Duration(time.Now().UnixNano() - int64(t.Now()))
}

// WallMilliseconds returns the time of the wall clock in milliseconds since 1970. It is only for records that
// people read; no span may be computed from it.
func WallMilliseconds() int64 { return time.Now().UnixMilli() }
