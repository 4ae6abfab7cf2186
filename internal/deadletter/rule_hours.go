package deadletter

import (
	"fmt"
	"strings"
	"time"
)

// day is the length of a day in Hours: what a rule says of hours is of the wall clock's.
const day = 24 * time.Hour

// parseHours reads "08:00-18:30". A span may go over midnight.
func parseHours(text string) (span [2]time.Duration, err error) {
	from, to, ok := strings.Cut(text, "-")
	if !ok {
		return span, fmt.Errorf("%q is no span such as \"08:00-18:30\"", text)
	}
	for i, part := range []string{from, to} {
		t, err := time.Parse("15:04", strings.TrimSpace(part))
		if err != nil {
			return span, fmt.Errorf("%q is no time of the day such as 08:00", part)
		}
		span[i] = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	}
	if span[0] == span[1] {
		return span, fmt.Errorf("%q is a span of nothing", text)
	}
	return span, nil
}

// inHours tells whether a rule's hours are on, and if not when they begin.
func (r *Rule) inHours(now time.Time) (bool, time.Time) {
	if r.Hours == "" {
		return true, now
	}
	midnight := time.Date(now.Year(), now.Month(), now.Day(), 0, 0, 0, 0, now.Location())
	at, from, to := now.Sub(midnight), r.hours[0], r.hours[1]
	if from < to && at >= from && at < to || from > to && (at >= from || at < to) {
		return true, now
	}
	if at >= from {
		midnight = midnight.Add(day)
	}
	return false, midnight.Add(from)
}
