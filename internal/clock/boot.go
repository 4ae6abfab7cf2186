package clock

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile names the boot of this machine: proc(5), /proc/sys/kernel/random/boot_id.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// SinceBoot is the time since the machine was started, including what it was suspended for (clock_gettime(2),
// CLOCK_BOOTTIME). Nobody sets it, and all processes of the machine read the same.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(t.Nano())
}

// bootID names this boot, or is empty where that can't be read.
func bootID() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}
