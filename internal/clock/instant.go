package clock

import (
	"fmt"
	"time"
)

// Instant is a point on a Timeline, in nanoseconds since 1970 as given by the timeline's Anchor. The zero
// value means that there is no instant.
type Instant int64

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the span i-other. Both instants must belong to the same timeline.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// IsZero reports whether i is the zero value.
func (i Instant) IsZero() bool { return i == 0 }

// Time returns the instant as a date, for records and for people. The result has no monotonic reading, so a
// span between it and time.Now would depend on the wall clock.
func (i Instant) Time() time.Time {
	if i.IsZero() {
		return time.Time{}
	}
	return time.Unix(0, int64(i)).UTC()
}

// FromTime returns the instant for a result of Time.
func FromTime(t time.Time) Instant {
	if t.IsZero() {
		return 0
	}
	return Instant(t.UnixNano())
}

// Milliseconds returns the instant in milliseconds since 1970, its compact encoding in stored data.
func (i Instant) Milliseconds() int64 { return int64(i) / int64(time.Millisecond) }

// FromMilliseconds returns the instant for a result of Milliseconds.
func FromMilliseconds(ms int64) Instant { return Instant(ms * int64(time.Millisecond)) }

// MarshalJSON encodes an instant as a date (RFC 3339). Versions of the program that did not have this
// package yet wrote wall-clock times in the same form.
func (i Instant) MarshalJSON() ([]byte, error) {
	raw, err := i.Time().MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("clock: encode instant: %w", err)
	}
	return raw, nil
}

// UnmarshalJSON decodes results of MarshalJSON, and dates of any other time zone.
func (i *Instant) UnmarshalJSON(raw []byte) error {
	var t time.Time
	if err := t.UnmarshalJSON(raw); err != nil {
		return fmt.Errorf("clock: decode instant: %w", err)
	}
	*i = FromTime(t)
	return nil
}
