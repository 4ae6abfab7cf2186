// Package boottime reads the clock that leases are counted by.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine was started, including what it was suspended for (clock_gettime(2),
// CLOCK_BOOTTIME). Nobody sets it, and it does not leap.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}
