package clock

import (
	"fmt"
	"time"
)

// Instant is a point on a Timeline: nanoseconds since 1970, as of its Anchor. The zero Instant is none.
type Instant int64

// Add returns the instant a span later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the span from another instant of the same timeline.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// IsZero reports whether i is none.
func (i Instant) IsZero() bool { return i == 0 }

// Time returns the instant as a date, for records and people. It has no monotonic reading: a span to
// time.Now taken from it would be wall time.
func (i Instant) Time() time.Time {
	if i.IsZero() {
		return time.Time{}
	}
	return time.Unix(0, int64(i)).UTC()
}

// FromTime returns the instant of a date that Time returned.
func FromTime(t time.Time) Instant {
	if t.IsZero() {
		return 0
	}
	return Instant(t.UnixNano())
}

// Milliseconds returns the instant in milliseconds since 1970, its compact stored form.
func (i Instant) Milliseconds() int64 { return int64(i) / int64(time.Millisecond) }

// FromMilliseconds returns the instant of what Milliseconds returned.
func FromMilliseconds(ms int64) Instant { return Instant(ms * int64(time.Millisecond)) }

// MarshalJSON encodes an instant as a date (RFC 3339), the form in which programs before this package
// wrote wall times.
func (i Instant) MarshalJSON() ([]byte, error) {
	raw, err := i.Time().MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("clock: encode instant: %w", err)
	}
	return raw, nil
}

// UnmarshalJSON decodes what MarshalJSON returned, and dates of any time zone.
func (i *Instant) UnmarshalJSON(raw []byte) error {
	var t time.Time
	if err := t.UnmarshalJSON(raw); err != nil {
		return fmt.Errorf("clock: decode instant: %w", err)
	}
	*i = FromTime(t)
	return nil
}
