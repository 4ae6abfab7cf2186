package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile contains an id that changes with each boot of the machine (proc(5)).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// SinceBoot returns the time since the machine was booted, including the time in which it was suspended
// (clock_gettime(2), CLOCK_BOOTTIME). This clock can't be set, and is the same for all processes of the
// machine.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error()) // unreachable: Linux has had CLOCK_BOOTTIME since 2.6.39
	}
	return time.Duration(t.Nano())
}

// readBootID returns the id of this boot, or an empty string if it can't be read.
func readBootID() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}
