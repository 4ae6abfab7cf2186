package harness

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"frostlink/internal/faultinjection/checker"
	"frostlink/internal/faultinjection/pressure"
)

const (
	// sampleInterval is the time between two samples of the relays' usage.
	sampleInterval = 500 * time.Millisecond
	// clockTicks is the number of clock ticks per second (USER_HZ, which is 100 on every Linux). The times in /proc/PID/stat
	// are in clock ticks.
	clockTicks = 100
	// quarters is the number of parts of a run for which maxima are kept separately, so that growth shows.
	quarters = 4
)

// ProcessUsage is the amount of the machine's resources that one relay's processes used.
type ProcessUsage struct {
	Name         string            `json:"name"`
	Starts       int               `json:"starts"`
	Crashes      int               `json:"crashes"`
	MemoryMB     [quarters]float64 `json:"memory_mb"`   // maximum resident in each quarter of the run
	Descriptors  [quarters]int     `json:"descriptors"` // maximum open in each quarter
	CPUSeconds   float64           `json:"cpu_s"`
	StateKB      float64           `json:"state_kb"`             // maximum size of the state folder
	AdminReads   int               `json:"door_reads,omitempty"` // reads of metrics at the admin endpoint
	AdminLatency checker.Quantiles `json:"door_s"`               // latency of those reads
}

// sampleUsage samples the usage of all relays until ctx ends.
func (h *harness) sampleUsage(ctx context.Context) {
	for n := 1; h.until(ctx, time.Duration(n)*sampleInterval); n++ {
		quarter := min(quarters-1, int(quarters*h.now().Seconds()/h.scenario.Length))
		for _, relay := range h.relays {
			relay.sampleUsage(quarter)
		}
	}
}

// sampleUsage takes one sample of the process that serves clients.
func (r *relay) sampleUsage(quarter int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return
	}
	proc := filepath.Join("/proc", strconv.Itoa(r.process.pid))
	memory, ok := statusMB(proc, "VmRSS:")
	if !ok {
		return // the process has just ended
	}
	u := &r.usage
	u.MemoryMB[quarter] = max(u.MemoryMB[quarter], memory)
	u.Descriptors[quarter] = max(u.Descriptors[quarter], openDescriptors(proc))
	if seconds, ok := cpuSeconds(proc); ok {
		u.CPUSeconds = r.endedCPUSeconds + seconds
	}
	size := float64(pressure.FolderBytes(r.stateDir()))
	if peak, ok := statusMB(proc, "VmHWM:"); ok && peak+size/(1<<20) > r.h.scenario.Relay.MemoryMB {
		r.h.recordFailure("%s has taken %.1f MB, and its folder %.1f MB: more than memory_mb", r.name, peak, size/(1<<20))
	}
	u.StateKB = max(u.StateKB, size/1000)
	if size > r.h.scenario.Relay.DiskMB*1e6 {
		r.h.recordFailure("%s has %.0f kB in its folder, more than disk_mb allows", r.name, size/1000)
	}
}

// measuredUsage returns the usage of the whole run.
func (r *relay) measuredUsage() ProcessUsage {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usage
	u.AdminReads, u.AdminLatency = len(r.metricsLatencies), checker.QuantilesOf(r.metricsLatencies)
	return u
}

// statusMB returns a figure of the memory of the process whose folder in /proc is given; 0: the process is a zombie.
func statusMB(proc, name string) (mb float64, ok bool) {
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name {
			kb, _ := strconv.ParseFloat(fields[1], 64) // the kernel writes a number
			return kb / 1024, true
		}
	}
	return 0, true
}

// openDescriptors returns the number of a process's open descriptors; 0: it has ended.
func openDescriptors(proc string) int {
	entries, err := os.ReadDir(filepath.Join(proc, "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// cpuSeconds returns the user and system time of a process.
func cpuSeconds(proc string) (seconds float64, ok bool) {
	stat, err := os.ReadFile(filepath.Join(proc, "stat"))
	if err != nil {
		return 0, false
	}
	// After the name, which ends with the last parenthesis, user and system time are the 12th and 13th field.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) <= 12 {
		return 0, false
	}
	user, _ := strconv.ParseFloat(fields[11], 64) // the kernel writes numbers
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks, true
}
