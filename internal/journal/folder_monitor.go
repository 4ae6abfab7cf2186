package journal

import (
	"time"

	"frostlink/internal/syserr"
)

// FolderState describes whether a journal's folder can be written.
type FolderState int

// The states of a folder. A failed commit leads from each state to Degraded; successful commits lead
// from Degraded to Recovering, and from there to Healthy.
const (
	// Healthy: no recent commit has failed.
	Healthy FolderState = iota
	// Degraded: the last commit failed. The relay accepts and sends nothing until a commit succeeds.
	Degraded
	// Recovering: commits have succeeded again for less than recoveryPeriod. If one fails in this state,
	// the backoff continues to grow from its last value.
	Recovering
)

func (s FolderState) String() string { return [...]string{"healthy", "degraded", "recovering"}[s] }

const (
	// minBackoff and maxBackoff bound the backoff between commits to a degraded folder. The backoff is
	// needed because each of these commits writes the whole file.
	minBackoff, maxBackoff = 20 * time.Millisecond, 100 * time.Millisecond
	// recoveryPeriod is the time for which commits must succeed before a recovering folder is healthy.
	recoveryPeriod = time.Second
)

// FolderMonitor tracks the state of a folder from the results of commits. It does no I/O and reads no
// clock: times are offsets on any monotonic clock. Its zero value is healthy.
type FolderMonitor struct {
	state     FolderState
	retryAt   time.Duration // while degraded
	healthyAt time.Duration // while recovering
	backoff   syserr.Backoff
}

// State returns the state after the last commit.
func (m *FolderMonitor) State() FolderState { return m.state }

// MayWrite reports whether a commit may be attempted now.
func (m *FolderMonitor) MayWrite(now time.Duration) bool {
	return m.state != Degraded || now >= m.retryAt
}

// RetryAt returns the time from which a commit to a degraded folder may be attempted again.
func (m *FolderMonitor) RetryAt() time.Duration { return m.retryAt }

// WriteFailed must be called after a commit that failed.
func (m *FolderMonitor) WriteFailed(now time.Duration) {
	m.backoff.Min, m.backoff.Max = minBackoff, maxBackoff
	m.state, m.retryAt = Degraded, now+m.backoff.Next()
}

// WriteSucceeded must be called after a commit that succeeded.
func (m *FolderMonitor) WriteSucceeded(now time.Duration) {
	switch {
	case m.state == Degraded:
		m.state, m.healthyAt = Recovering, now+recoveryPeriod
	case m.state == Recovering && now >= m.healthyAt:
		m.state = Healthy
		m.backoff.Reset()
	}
}
