package faults

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// recorder collects what happens in a run.
type recorder struct {
	mu           sync.Mutex // guards all fields
	pauses       []Pause
	violations   []Violation
	holderDeaths []time.Duration
	injected     map[Kind]int
	closed       bool // the run is over: processes may exit
}

func (r *recorder) countFault(k Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected[k]++
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

// recordProcessViolation records that a process did not start or exit as it should.
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

// observations are what a run recorded.
type observations struct {
	executions   []Execution
	pauses       []Pause
	violations   []Violation
	holderDeaths []time.Duration
	injected     map[Kind]int
	maxLateness  time.Duration // of the harness's own timers
	end          time.Duration
}

// observations returns a copy of what was recorded so far, without what others record.
func (r *recorder) observations() observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return observations{
		pauses: slices.Clone(r.pauses), violations: slices.Clone(r.violations), holderDeaths: slices.Clone(r.holderDeaths),
		injected: maps.Clone(r.injected),
	}
}
