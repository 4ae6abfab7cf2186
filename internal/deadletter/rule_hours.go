package deadletter

import (
	"fmt"
	"strings"
	"time"
)

// day is the length of a day. A rule's hours refer to local time.
const day = 24 * time.Hour

// parseHours parses a span such as "08:00-18:30" into two times since midnight. A span may include midnight.
func parseHours(text string) (span [2]time.Duration, err error) {
	from, to, ok := strings.Cut(text, "-")
	if !ok {
		return span, fmt.Errorf("%q is not a time span such as \"08:00-18:30\"", text)
	}
	for i, part := range []string{from, to} {
		t, err := time.Parse("15:04", strings.TrimSpace(part))
		if err != nil {
			return span, fmt.Errorf("%q is not a time of day such as 08:00", part)
		}
		span[i] = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	}
	if span[0] == span[1] {
		return span, fmt.Errorf("%q is a span of nothing", text)
	}
	return span, nil
}

// inHours reports whether a time is within a rule's hours. If it is not, from is when the hours begin next.
func (r *Rule) inHours(now time.Time) (in bool, from time.Time) {
	if r.Hours == "" {
		return true, now
	}
	midnight := time.Date(now.Year(), now.Month(), now.Day(), 0, 0, 0, 0, now.Location())
	sinceMidnight, begin, end := now.Sub(midnight), r.hours[0], r.hours[1]
	if begin < end && sinceMidnight >= begin && sinceMidnight < end || begin > end && (sinceMidnight >= begin || sinceMidnight < end) {
		return true, now
	}
	if sinceMidnight >= begin {
		midnight = midnight.Add(day)
	}
	return false, midnight.Add(begin)
}
