package journal

import (
	"time"

	"frostlink/internal/syserr"
)

// FolderState says whether a journal's folder can be written.
type FolderState int

// The states of a folder. A failed commit leads from each to Degraded; successful ones lead from
// Degraded to Recovering, and from there to Healthy.
const (
	// Healthy: every commit of late succeeded.
	Healthy FolderState = iota
	// Degraded: the last commit failed. Nothing is accepted or sent until one succeeds.
	Degraded
	// Recovering: commits succeed again since less than recoveryPeriod. A failure goes on with the longer
	// backoff.
	Recovering
)

func (s FolderState) String() string { return [...]string{"healthy", "degraded", "recovering"}[s] }

const (
	// minBackoff and maxBackoff bound the backoff before a folder that failed is written to again: each
	// attempt writes the whole file.
	minBackoff, maxBackoff = 20 * time.Millisecond, 100 * time.Millisecond
	// recoveryPeriod is how long after the first good commit a folder becomes healthy again.
	recoveryPeriod = time.Second
)

// FolderMonitor follows a folder through its failures. It has no I/O and no clock: times are offsets on
// any monotonic clock. Its zero value is healthy.
type FolderMonitor struct {
	state     FolderState
	retryAt   time.Duration // while degraded
	healthyAt time.Duration // while recovering
	backoff   syserr.Backoff
}

// State returns the state as of the last event.
func (m *FolderMonitor) State() FolderState { return m.state }

// MayWrite reports whether a commit may be attempted now.
func (m *FolderMonitor) MayWrite(now time.Duration) bool {
	return m.state != Degraded || now >= m.retryAt
}

// RetryAt returns when a degraded folder is to be written to again.
func (m *FolderMonitor) RetryAt() time.Duration { return m.retryAt }

// WriteFailed is called after a commit that failed.
func (m *FolderMonitor) WriteFailed(now time.Duration) {
	m.backoff.Min, m.backoff.Max = minBackoff, maxBackoff
	m.state, m.retryAt = Degraded, now+m.backoff.Next()
}

// WriteSucceeded is called after a commit that succeeded.
func (m *FolderMonitor) WriteSucceeded(now time.Duration) {
	switch {
	case m.state == Degraded:
		m.state, m.healthyAt = Recovering, now+recoveryPeriod
	case m.state == Recovering && now >= m.healthyAt:
		m.state = Healthy
		m.backoff.Reset()
	}
}
