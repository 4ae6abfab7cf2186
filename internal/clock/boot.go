package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds an id that is new with each boot (proc(5)).
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// SinceBoot returns the time since the machine was booted, suspends included (clock_gettime(2),
// CLOCK_BOOTTIME). It can't be set, and all processes of the machine read the same.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}

// readBootID returns the id of this boot; empty where it can't be read.
func readBootID() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}
