package harness

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"frostlink/internal/faultinjection/checker"
)

const (
	// lateThreshold is the lateness above which an event of the harness counts as late.
	lateThreshold = 5 * time.Millisecond
	// eventBlockSize is the number of events in a block of the log.
	eventBlockSize = 4096
)

// recorder keeps the event log, the failures, and the lateness of the harness's own events.
type recorder struct {
	start      time.Time    // when the recorder was made
	zeroOffset atomic.Int64 // the run's time 0, in nanoseconds since start

	mu          sync.Mutex        // guards the fields below
	blocks      [][]checker.Event // growing a single slice would copy all events and delay the stand-ins meanwhile
	events      int               // the harness's own events that had a due time
	lateEvents  int
	maxLateness time.Duration
	failures    []string
	occurred    map[Occurrence]int
}

func newRecorder() *recorder { return &recorder{start: time.Now(), occurred: map[Occurrence]int{}} }

// now returns the time of the run.
func (r *recorder) now() time.Duration {
	return time.Since(r.start) - time.Duration(r.zeroOffset.Load())
}

// setTimeZero makes the present time 0 of the run. Events that were recorded before get negative times.
func (r *recorder) setTimeZero() {
	r.mu.Lock()
	defer r.mu.Unlock()
	shift := r.now()
	r.zeroOffset.Add(int64(shift))
	for _, block := range r.blocks {
		for i := range block {
			block[i].At -= shift
			block[i].FirstByte -= shift
		}
	}
}

// record appends an event to the log with the present time, and returns that time.
func (r *recorder) record(e checker.Event) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.now()
	last := len(r.blocks) - 1
	if last < 0 || len(r.blocks[last]) == eventBlockSize {
		r.blocks = append(r.blocks, make([]checker.Event, 0, eventBlockSize))
		last++
	}
	r.blocks[last] = append(r.blocks[last], e)
	return e.At
}

// eventLog returns a copy of the log so far.
func (r *recorder) eventLog() []checker.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.blocks...)
}

// recordTiming counts an event of the harness that was due at a time of the run.
func (r *recorder) recordTiming(due time.Duration) {
	lateness := r.now() - due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	if lateness > lateThreshold {
		r.lateEvents++
	}
	r.maxLateness = max(r.maxLateness, lateness)
}

// recordFailure records a failure. A run with a failure does not pass, even if the relays broke none of the checker's rules.
func (r *recorder) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf("%.3f s: ", r.now().Seconds())+fmt.Sprintf(format, args...))
}

// count counts one occurrence.
func (r *recorder) count(o Occurrence) { r.countMany(o, 1) }

// countMany counts an occurrence a number of times.
func (r *recorder) countMany(o Occurrence, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.occurred[o] += times
}
