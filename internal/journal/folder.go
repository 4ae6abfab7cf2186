package journal

import (
	"time"

	"frostlink/internal/syserr"
)

// FolderState says whether a journal's folder takes what is written to it.
type FolderState int

// The states of a folder.
const (
	Healthy    FolderState = iota // every commit was written
	Degraded                      // the last was not: nothing is accepted or sent until one is
	Recovering                    // one was written, not long ago: the next failure has a longer pause follow
)

func (s FolderState) String() string { return [...]string{"healthy", "degraded", "recovering"}[s] }

const (
	// leastRetry and mostRetry bound the pause before a folder that failed is written to again: each try writes the whole file anew.
	leastRetry, mostRetry = 20 * time.Millisecond, 100 * time.Millisecond
	// recoverTime without a failure makes a folder healthy again.
	recoverTime = time.Second
)

// FolderMonitor follows a folder through its failures. It has no I/O and no clock: times are spans of any steady clock. Its zero value is
// healthy.
type FolderMonitor struct {
	state   FolderState
	retryAt time.Duration // while degraded
	until   time.Duration // while recovering
	pause   syserr.Backoff
}

// State gives the state as of the last event.
func (f *FolderMonitor) State() FolderState { return f.state }

// MayWrite tells whether a commit may be tried now.
func (f *FolderMonitor) MayWrite(now time.Duration) bool {
	return f.state != Degraded || now >= f.retryAt
}

// RetryAt is when a degraded folder is to be tried again.
func (f *FolderMonitor) RetryAt() time.Duration { return f.retryAt }

// WriteFailed takes in a commit that failed.
func (f *FolderMonitor) WriteFailed(now time.Duration) {
	f.pause.Min, f.pause.Max = leastRetry, mostRetry
	f.state, f.retryAt = Degraded, now+f.pause.Next()
}

// WriteSucceeded takes in a commit that was written.
func (f *FolderMonitor) WriteSucceeded(now time.Duration) {
	switch {
	case f.state == Degraded:
		f.state, f.until = Recovering, now+recoverTime
	case f.state == Recovering && now >= f.until:
		f.state = Healthy
		f.pause.Reset()
	}
}
