package faults

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// recorder records the injected faults, pauses, deaths of lease holders and process violations of a run.
type recorder struct {
	mu           sync.Mutex // guards all fields
	pauses       []Pause
	violations   []Violation
	holderDeaths []time.Duration
	injected     map[Kind]int
	copies       int  // responses that proxies wrote twice
	closed       bool // the run is over, and exits of processes are no longer violations
}

func (r *recorder) countFault(k Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected[k]++
}

func (r *recorder) countCopies(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copies += n
}

func (r *recorder) recordPause(p Pause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses = append(r.pauses, p)
}

func (r *recorder) recordHolderDeath(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holderDeaths = append(r.holderDeaths, at)
}

// recordProcessViolation records a process that could not be started or killed, or exited unexpectedly.
func (r *recorder) recordProcessViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.violations = append(r.violations, Violation{CheckProcess, fmt.Sprintf(format, args...)})
	}
}

// close ends the recording.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// observations are the records of a run that its result is calculated from.
type observations struct {
	executions   []Execution
	pauses       []Pause
	violations   []Violation
	holderDeaths []time.Duration
	injected     map[Kind]int
	copies       int           // responses that proxies wrote twice
	maxLateness  time.Duration // of the harness's own timers
	end          time.Duration // of the run, on the harness's clock
}

// observations returns a copy of the recorder's own records so far. The caller sets the other fields: executions, maxLateness and end.
func (r *recorder) observations() observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return observations{
		pauses: slices.Clone(r.pauses), violations: slices.Clone(r.violations), holderDeaths: slices.Clone(r.holderDeaths),
		injected: maps.Clone(r.injected), copies: r.copies,
	}
}
