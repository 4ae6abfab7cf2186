package goldentest

import "time"

// instant gives a time that differs for each number.
func instant(n int) time.Time {
	return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(n) * time.Second)
}
